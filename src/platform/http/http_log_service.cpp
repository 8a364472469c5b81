#include "platform/http/http_log_service.hpp"

#include "platform/http/log_messages.hpp"
#include "platform/http/reply_reader.hpp"

namespace acaciastile
{

std::unique_ptr<log_service>
http_log_service::create(http_client& client, http_log_settings settings)
{
    return std::unique_ptr<log_service>(
        new http_log_service(client, std::move(settings)));
}

http_log_service::http_log_service(
    http_client& client, http_log_settings settings)
    : client_(client), settings_(std::move(settings))
{
}

void http_log_service::append(
    const stream_name& stream,
    std::vector<std::string> bodies,
    completion<append_receipt> done)
{
    const log_append_message message{
        settings_.caller, stream, std::move(bodies)};
    client_.post(
        {settings_.address,
         "/v1/log/append",
         encode(message),
         settings_.append_timeout},
        decoding<append_receipt>(
            refusal_code::log_unavailable,
            decode_append_receipt,
            std::move(done)));
}

void http_log_service::read(
    const stream_name& stream,
    log_offset from,
    std::size_t limit_bytes,
    completion<log_page> done)
{
    const log_read_message message{settings_.caller, stream, from, limit_bytes};
    client_.post(
        {settings_.address,
         "/v1/log/read",
         encode(message),
         settings_.read_timeout},
        decoding<log_page>(
            refusal_code::log_unavailable, decode_log_page, std::move(done)));
}

} // namespace acaciastile
