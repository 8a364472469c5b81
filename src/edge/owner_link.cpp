#include "edge/owner_link.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace acaciastile::edge
{

namespace
{

namespace http = boost::beast::http;

/// Added to the wait of a call for work.
constexpr milliseconds beyond_wait{900};
/// Longest wait for the owner on a caller's behalf.
constexpr milliseconds longest_call{1'500};

tl::unexpected<error> no_owner(std::string reason)
{
    return refuse(refusal_code::no_owner, std::move(reason));
}

net::http_response reply(http::status status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.set(http::field::content_type, "application/msgpack");
    response.body() = std::move(body);
    return response;
}

} // namespace

owner_link::owner_link(net::http_client& http, fleet::leadership& leaders)
    : http_(http), leaders_(leaders)
{
}

void owner_link::set_local(std::shared_ptr<fleet::fleet_owner> owner)
{
    local_ = std::move(owner);
}

void owner_link::call(
    const char* path,
    std::string body,
    milliseconds timeout,
    fleet::completion<std::string> done)
{
    const auto& owner = leaders_.owner();
    if (!owner)
    {
        done(no_owner("no VM owns the fleet at the moment"));
        return;
    }
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(owner->address, ':');
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(parts.second, &port))
    {
        done(no_owner("the owner's address cannot be read"));
        return;
    }
    net::http_request request{http::verb::post, path, 11};
    request.set(http::field::content_type, "application/msgpack");
    request.body() = std::move(body);
    constexpr bool repeatable = true;
    http_.call(
        {parts.first, static_cast<std::uint16_t>(port)},
        std::move(request),
        timeout,
        repeatable,
        [this, token = owner->token, done = std::move(done)](
            net::http_outcome outcome)
        {
            if (outcome.status() == 200)
            {
                done(std::move(outcome.response.body()));
                return;
            }
            const bool refused_connection =
                outcome.effect == verdict::not_run &&
                outcome.failure != "timeout";
            if (outcome.status() == 409 || refused_connection)
            {
                leaders_.suspect(token);
            }
            done(no_owner(
                outcome.answered() ? "the owner is not ready"
                                   : outcome.failure));
        });
}

void owner_link::state(
    const job_id& id,
    milliseconds deadline,
    fleet::completion<fleet::job_view> done)
{
    if (local_)
    {
        local_->look_up(id, std::move(done));
        return;
    }
    call(
        peer_paths::state,
        id.str(),
        std::min(deadline, longest_call),
        [done = std::move(done)](const result<std::string>& body)
        {
            if (!body)
            {
                done(tl::unexpected(body.error()));
                return;
            }
            done(decode_job_view(*body));
        });
}

void owner_link::cancel(
    const job_id& id, milliseconds deadline, fleet::completion<bool> done)
{
    if (local_)
    {
        if (!local_->loaded())
        {
            done(no_owner("the owner is loading"));
            return;
        }
        local_->cancel(id, std::move(done));
        return;
    }
    call(
        peer_paths::cancel,
        id.str(),
        deadline,
        [done = std::move(done)](const result<std::string>& body)
        {
            if (!body)
            {
                done(tl::unexpected(body.error()));
                return;
            }
            done(*body == "1");
        });
}

void owner_link::pending(
    const queue_name& queue,
    milliseconds deadline,
    fleet::completion<std::size_t> done)
{
    if (local_)
    {
        if (!local_->loaded())
        {
            done(no_owner("the owner is loading"));
            return;
        }
        done(local_->pending(queue));
        return;
    }
    call(
        peer_paths::pending,
        queue.str(),
        std::min(deadline, longest_call),
        [done = std::move(done)](const result<std::string>& body)
        {
            std::uint64_t count = 0;
            if (!body)
            {
                done(tl::unexpected(body.error()));
            }
            else if (!absl::SimpleAtoi(*body, &count))
            {
                done(refuse(refusal_code::malformed, "the owner's count"));
            }
            else
            {
                done(static_cast<std::size_t>(count));
            }
        });
}

void owner_link::work(
    work_request request,
    fleet::completion<std::optional<fleet::ask_decision>> done)
{
    if (local_)
    {
        if (request.brought)
        {
            local_->take_answer(
                request.vm,
                request.brought->step,
                request.brought->granted,
                request.brought->age);
        }
        local_->come_for_work(
            request.vm,
            request.wait,
            [done =
                 std::move(done)](std::optional<fleet::ask_decision> question)
            { done(std::move(question)); });
        return;
    }
    const milliseconds timeout = request.wait + beyond_wait;
    call(
        peer_paths::work,
        encode(request),
        timeout,
        [done = std::move(done)](const result<std::string>& body)
        {
            if (!body)
            {
                done(tl::unexpected(body.error()));
                return;
            }
            done(decode_question(*body));
        });
}

void answer_peer(
    const std::shared_ptr<fleet::fleet_owner>& owner,
    const net::http_request& request,
    std::function<void(net::http_response)> respond)
{
    if (owner == nullptr)
    {
        respond(reply(http::status::conflict, "not the owner"));
        return;
    }
    if (!owner->loaded())
    {
        respond(reply(http::status::service_unavailable, "loading"));
        return;
    }
    const std::string path(request.target().data(), request.target().size());
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
        const std::size_t count = owner->pending(queue_name(request.body()));
        respond(reply(http::status::ok, std::to_string(count)));
        return;
    }
    if (path != peer_paths::work)
    {
        respond(reply(http::status::not_found, {}));
        return;
    }
    const auto work = decode_work_request(request.body());
    if (!work)
    {
        respond(reply(http::status::bad_request, work.error().message));
        return;
    }
    if (work->brought)
    {
        owner->take_answer(
            work->vm,
            work->brought->step,
            work->brought->granted,
            work->brought->age);
    }
    owner->come_for_work(
        work->vm,
        work->wait,
        [respond = std::move(respond)](
            const std::optional<fleet::ask_decision>& question)
        { respond(reply(http::status::ok, encode(question))); });
}

} // namespace acaciastile::edge
