#include "entry/handle_request.hpp"

#include "entry/error_reply.hpp"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/match.h>
#include <chrono>
#include <exception>

namespace acaciastile
{

namespace
{

constexpr std::string_view bearer = "Bearer ";

result<presented_key> read_key(const std::string& header)
{
    if (header.empty())
    {
        return presented_key{};
    }
    if (!absl::StartsWithIgnoreCase(header, bearer.data()) ||
        header.size() == bearer.size())
    {
        return refuse(
            refusal_code::unauthenticated,
            "the header Authorization must be 'Bearer id.secret'");
    }
    return presented_key{header.substr(bearer.size())};
}

result<void> check_bounds(
    const listener_shared& shared,
    const api_route* route,
    const api_request& read)
{
    if (route == nullptr)
    {
        error unknown;
        unknown.code = refusal_code::malformed;
        unknown.message = "there is no such call; docs/API.md lists them";
        return tl::unexpected(unknown);
    }
    if (read.body.size() > shared.settings.body_limit)
    {
        return refuse(
            refusal_code::body_too_large,
            "the body exceeds " + std::to_string(shared.settings.body_limit) +
                " bytes");
    }
    return {};
}

api_reply call_handler(const api_route& route, const api_request& request)
{
    try
    {
        return route.handler(request);
    }
    catch (const std::exception& thrown)
    {
        return make_error_reply(
            {refusal_code::internal,
             verdict::may_have_run,
             std::string("fault of the program: ") + thrown.what(),
             {}});
    }
}

api_reply
answer(listener_shared& shared, const api_route* route, raw_request read)
{
    const std::size_t handling = shared.handling.fetch_add(1) + 1;
    absl::Cleanup done = [&] { shared.handling.fetch_sub(1); };
    if (auto checked = check_bounds(shared, route, read.request); !checked)
    {
        return make_error_reply(checked.error());
    }
    if (handling > shared.settings.requests_in_hand)
    {
        return make_error_reply(
            {refusal_code::overloaded,
             verdict::not_run,
             "too many requests are in hand",
             {}});
    }
    if (!read.trusted)
    {
        return make_error_reply(
            {refusal_code::unauthenticated,
             verdict::not_run,
             "a certificate of the callers' CA is needed",
             {}});
    }
    auto key = read_key(read.authorization);
    if (!key)
    {
        return make_error_reply(key.error());
    }
    read.request.key = *std::move(key);
    read.request.route = route->name;
    return call_handler(*route, read.request);
}

} // namespace

api_reply handle_request(
    listener_shared& shared, const api_route* route, raw_request read)
{
    const auto begun = std::chrono::steady_clock::now();
    const std::string name = route == nullptr ? "none" : route->name;
    api_reply reply = answer(shared, route, std::move(read));
    if (route == nullptr)
    {
        reply.status = 404;
    }
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begun;
    metric_sink& measured = *shared.measurements;
    measured.count("http_requests", name, 1);
    measured.sample("http_seconds", name, took.count());
    if (!reply.refusal.empty())
    {
        measured.count("http_refusals", reply.refusal, 1);
    }
    return reply;
}

} // namespace acaciastile
