#include "entry/peer_api.hpp"

#include "codec/document_codec.hpp"

namespace acaciastile
{

namespace
{

constexpr const char* encoded_type = "application/msgpack";

/// Peers read the error as the codec writes it, so that code and verdict come
/// through whole.
api_reply make_peer_error(const error& refused)
{
    api_reply reply = make_error_reply(refused);
    reply.body = to_json_text(refused);
    return reply;
}

api_reply take_peer_call(const api_context& context, const api_request& call)
{
    auto work = [&cell = *context.cell,
                 method = call.variable("method"),
                 body = call.body](instant now, completion<std::string> done)
    { cell.on_peer(now, method, body, std::move(done)); };
    auto answer = context.thread->call<std::string>(
        work, context.bounds.longest + context.bounds.answer_slack);
    if (!answer)
    {
        return make_peer_error(answer.error());
    }
    return {200, *std::move(answer), encoded_type};
}

api_reply notice(const notice_handler& notices, const api_request& call)
{
    if (auto taken = notices(call.body); !taken)
    {
        return make_peer_error(taken.error());
    }
    return {200, "{}"};
}

} // namespace

std::vector<api_route>
peer_routes(const api_context& context, notice_handler notices)
{
    return {
        {"POST",
         "/v1/peer/:method",
         "peer",
         [context](const api_request& call)
         { return take_peer_call(context, call); }},
        {"POST",
         "/v1/notice",
         "notice",
         [notices = std::move(notices)](const api_request& call)
         { return notice(notices, call); }},
    };
}

} // namespace acaciastile
