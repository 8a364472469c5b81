#include "edge/peer_api.hpp"

namespace acaciastile::edge
{

namespace
{

namespace http = boost::beast::http;

net::http_response reply(http::status status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.set(http::field::content_type, "application/msgpack");
    response.body() = std::move(body);
    return response;
}

} // namespace

void peer_api::handle(
    const net::http_request& request, net::http_responder respond)
{
    const std::string path(request.target().data(), request.target().size());
    if (path == peer_paths::accept)
    {
        accept(request.body(), std::move(respond));
        return;
    }
    const std::shared_ptr<fleet::fleet_owner> owner = owner_.local();
    if (owner == nullptr)
    {
        respond(reply(http::status::conflict, "not the owner"));
        return;
    }
    if (path == peer_paths::alive)
    {
        respond(reply(
            http::status::ok, std::to_string(owner->store_silence().count())));
        return;
    }
    if (!owner->loaded())
    {
        respond(reply(http::status::service_unavailable, "loading"));
        return;
    }
    if (path == peer_paths::state)
    {
        owner->look_up(
            job_id(request.body()),
            [respond = std::move(respond)](const result<fleet::job_view>& view)
            {
                respond(
                    view ? reply(http::status::ok, encode(*view))
                         : reply(
                               http::status::service_unavailable,
                               view.error().message));
            });
        return;
    }
    if (path == peer_paths::cancel)
    {
        owner->cancel(
            job_id(request.body()),
            [respond = std::move(respond)](const result<bool>& known)
            {
                respond(
                    known ? reply(http::status::ok, *known ? "1" : "0")
                          : reply(
                                http::status::service_unavailable,
                                known.error().message));
            });
        return;
    }
    if (path == peer_paths::pending)
    {
        // Asked by VMs of builds before `peer_paths::count`.
        owner->count_waiting(
            queue_name(request.body()),
            [respond =
                 std::move(respond)](const result<fleet::waiting_count>& count)
            {
                respond(
                    count
                        ? reply(
                              http::status::ok, std::to_string(count->waiting))
                        : reply(
                              http::status::service_unavailable,
                              count.error().message));
            });
        return;
    }
    if (path == peer_paths::count)
    {
        owner->count_waiting(
            queue_name(request.body()),
            [respond =
                 std::move(respond)](const result<fleet::waiting_count>& count)
            {
                respond(
                    count ? reply(http::status::ok, encode(*count))
                          : reply(
                                http::status::service_unavailable,
                                count.error().message));
            });
        return;
    }
    if (path == peer_paths::work)
    {
        work(*owner, request.body(), std::move(respond));
        return;
    }
    respond(reply(http::status::not_found, {}));
}

void peer_api::accept(const std::string& body, net::http_responder respond)
{
    auto request = decode_accept_request(body);
    if (!request)
    {
        respond(reply(http::status::bad_request, request.error().message));
        return;
    }
    submit_(
        std::move(request->job),
        request->deadline,
        [respond = std::move(respond)](
            fleet::intake_outcome outcome, const std::string& reason)
        {
            respond(reply(
                outcome == fleet::intake_outcome::stored ? http::status::ok
                : outcome == fleet::intake_outcome::refused
                    ? http::status::service_unavailable
                    : http::status::gateway_timeout,
                reason));
        });
}

void peer_api::work(
    fleet::fleet_owner& owner,
    const std::string& body,
    net::http_responder respond)
{
    const auto work = decode_work_request(body);
    if (!work)
    {
        respond(reply(http::status::bad_request, work.error().message));
        return;
    }
    if (work->last_answer)
    {
        owner.on_policy_answer(
            work->vm,
            work->last_answer->step,
            work->last_answer->question,
            work->last_answer->granted,
            work->last_answer->age);
    }
    owner.request_work(
        work->vm,
        work->wait,
        [this,
         known = work->config_version,
         received = clock_.now_with_suspends(),
         respond =
             std::move(respond)](std::optional<fleet::permit_request> question)
        {
            work_reply answer;
            answer.held = clock_.now_with_suspends() - received;
            answer.question = std::move(question);
            answer.failing_token = owner_.failing_token();
            if (const fleet::configuration* config = config_.current())
            {
                answer.config_version = config->version();
                answer.config_age = config_.age();
                if (config->version() > known)
                {
                    answer.config = config_.stored_text();
                }
            }
            respond(reply(http::status::ok, encode(answer)));
        });
}

} // namespace acaciastile::edge
