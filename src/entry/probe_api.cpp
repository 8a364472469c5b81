#include "entry/probe_api.hpp"

#include "entry/error_reply.hpp"

namespace acaciastile
{

namespace
{

/// A control thread that is silent for longer counts as stuck.
constexpr milliseconds longest_silence{5'000};
constexpr const char* exposition_type =
    "text/plain; version=0.0.4; charset=utf-8";

api_reply health(const readiness& state, instant now)
{
    if (!state.alive(now, longest_silence))
    {
        return make_error_reply(
            {refusal_code::overloaded,
             verdict::not_run,
             "the control thread is silent",
             {}});
    }
    return {200, R"({"healthy":true})"};
}

api_reply ready(const readiness& state)
{
    if (!state.ready())
    {
        return make_error_reply(
            {refusal_code::shutting_down,
             verdict::not_run,
             "takes no new work: starting or shutting down",
             {}});
    }
    return {200, R"({"ready":true})"};
}

} // namespace

std::vector<api_route> probe_routes(
    const readiness& state, const clock_source& clock, const metrics& measured)
{
    return {
        {"GET",
         "/health",
         "health",
         [&](const api_request&) { return health(state, clock.now()); }},
        {"GET",
         "/ready",
         "ready",
         [&](const api_request&) { return ready(state); }},
        {"GET",
         "/metrics",
         "metrics",
         [&](const api_request&) {
             return api_reply{200, measured.expose(), exposition_type};
         }},
    };
}

} // namespace acaciastile
