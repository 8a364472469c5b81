#include "entry/error_reply.hpp"

#include <nlohmann/json.hpp>

namespace acaciastile
{

int http_status_of(refusal_code code) noexcept
{
    switch (code)
    {
    case refusal_code::malformed:
    case refusal_code::invalid_value:
    case refusal_code::unknown_team:
    case refusal_code::unknown_queue:
        return 400;
    case refusal_code::unauthenticated:
        return 401;
    case refusal_code::forbidden:
        return 403;
    case refusal_code::unknown_job:
    case refusal_code::unknown_worker:
        return 404;
    case refusal_code::conflicting_id:
    case refusal_code::revision_conflict:
    case refusal_code::cancelled:
    case refusal_code::not_owner:
    case refusal_code::stale_epoch:
    case refusal_code::stale_lease:
        return 409;
    case refusal_code::offset_expired:
        return 410;
    case refusal_code::body_too_large:
        return 413;
    case refusal_code::can_never_run:
        return 422;
    case refusal_code::limit_exceeded:
    case refusal_code::queue_full:
        return 429;
    case refusal_code::overloaded:
    case refusal_code::stale_configuration:
    case refusal_code::log_unavailable:
    case refusal_code::no_owner:
    case refusal_code::worker_full:
    case refusal_code::worker_leaving:
    case refusal_code::shutting_down:
        return 503;
    case refusal_code::worker_failed:
    case refusal_code::unreachable:
    case refusal_code::outcome_unknown:
        return 502;
    case refusal_code::deadline_exceeded:
        return 504;
    case refusal_code::internal:
        return 500;
    }
    return 500;
}

bool may_pass_later(refusal_code code) noexcept
{
    switch (code)
    {
    case refusal_code::limit_exceeded:
    case refusal_code::queue_full:
    case refusal_code::overloaded:
    case refusal_code::stale_configuration:
    case refusal_code::log_unavailable:
    case refusal_code::no_owner:
    case refusal_code::shutting_down:
        return true;
    default:
        return false;
    }
}

api_reply make_error_reply(const error& refused)
{
    nlohmann::json inside{
        {"code", to_string(refused.code)},
        {"verdict", to_string(refused.effect)},
        {"message", refused.message},
        {"position", nullptr}};
    if (refused.position.line > 0)
    {
        inside["position"] = {
            {"line", refused.position.line},
            {"column", refused.position.column}};
    }
    const nlohmann::json whole{{"error", std::move(inside)}};
    api_reply reply;
    reply.status = http_status_of(refused.code);
    reply.refusal = to_string(refused.code);
    reply.body =
        whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (may_pass_later(refused.code))
    {
        reply.retry_after = come_back_after;
    }
    return reply;
}

} // namespace acaciastile
