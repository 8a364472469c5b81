#include "entry/caller_api.hpp"

#include "entry/request_reader.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

api_reply submit(const api_context& context, const api_request& call)
{
    auto spec = read_job(call.body);
    if (!spec)
    {
        return make_error_reply(spec.error());
    }
    auto work = [&cell = *context.cell, key = call.key, spec = *spec](
                    instant now, completion<job_status> done)
    { cell.submit(now, key, spec, std::move(done)); };
    return make_reply(
        context.thread->call<job_status>(work, context.bounds.call));
}

api_reply request(const api_context& context, const api_request& call)
{
    auto spec = read_request_spec(call.body);
    if (!spec)
    {
        return make_error_reply(spec.error());
    }
    const call_bounds& bounds = context.bounds;
    if (spec->deadline > bounds.longest)
    {
        return make_error_reply(
            {refusal_code::invalid_value,
             verdict::not_run,
             "'deadline_ms' is longer than " +
                 std::to_string(bounds.longest.count()),
             {}});
    }
    if (spec->deadline <= milliseconds::zero())
    {
        spec->deadline = bounds.request;
    }
    auto work = [&cell = *context.cell, key = call.key, spec = *spec](
                    instant now, completion<request_answer> done)
    { cell.request(now, key, spec, std::move(done)); };
    return make_reply(context.thread->call<request_answer>(
        work, spec->deadline + bounds.answer_slack));
}

api_reply status(const api_context& context, const api_request& call)
{
    const auto why = read_flag(call, "why");
    if (!why)
    {
        return make_error_reply(why.error());
    }
    auto work = [&cell = *context.cell,
                 key = call.key,
                 id = job_id(call.variable("id")),
                 why = *why](instant now, completion<job_status> done)
    { cell.status(now, key, id, why, std::move(done)); };
    return make_reply(
        context.thread->call<job_status>(work, context.bounds.call));
}

api_reply cancel(const api_context& context, const api_request& call)
{
    auto work = [&cell = *context.cell,
                 key = call.key,
                 id = job_id(call.variable("id"))](
                    instant now, completion<job_status> done)
    { cell.cancel(now, key, id, std::move(done)); };
    return make_reply(
        context.thread->call<job_status>(work, context.bounds.call));
}

api_reply list(const api_context& context, const api_request& call)
{
    auto filter = read_filter(call);
    if (!filter)
    {
        return make_error_reply(filter.error());
    }
    using jobs = std::vector<job_status>;
    auto work = [&cell = *context.cell, key = call.key, filter = *filter](
                    instant now, completion<jobs> done)
    { cell.list(now, key, filter, std::move(done)); };
    return make_list_reply(
        "jobs", context.thread->call<jobs>(work, context.bounds.call));
}

} // namespace

std::vector<api_route> caller_routes(const api_context& context)
{
    auto bind = [&context](auto handler) -> api_handler
    {
        return [context, handler](const api_request& call)
        { return handler(context, call); };
    };
    return {
        {"POST", "/v1/jobs", "submit", bind(submit)},
        {"GET", "/v1/jobs", "list", bind(list)},
        {"GET", "/v1/jobs/:id", "status", bind(status)},
        {"DELETE", "/v1/jobs/:id", "cancel", bind(cancel)},
        {"POST", "/v1/requests", "request", bind(request)},
    };
}

} // namespace acaciastile
