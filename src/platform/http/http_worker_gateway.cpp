#include "platform/http/http_worker_gateway.hpp"

#include "codec/url_text.hpp"
#include "platform/http/reply_reader.hpp"
#include "platform/http/worker_messages.hpp"

namespace acaciastile
{

namespace
{

std::string path_of(const worker_id& worker)
{
    return "/v1/worker/" + escape_url(worker.str()) + "/call";
}

} // namespace

std::unique_ptr<http_worker_gateway>
http_worker_gateway::create(http_client& client, http_worker_settings settings)
{
    return std::unique_ptr<http_worker_gateway>(
        new http_worker_gateway(client, std::move(settings)));
}

http_worker_gateway::http_worker_gateway(
    http_client& client, http_worker_settings settings)
    : client_(client), settings_(std::move(settings))
{
}

void http_worker_gateway::call(
    worker_call message, completion<worker_report> done)
{
    std::string address = message.address;
    std::string path = path_of(message.worker);
    const worker_call_message sent{settings_.caller, std::move(message)};
    client_.post(
        {std::move(address), std::move(path), encode(sent), settings_.timeout},
        decoding<worker_report>(
            refusal_code::unreachable, decode_worker_report, std::move(done)));
}

void http_worker_gateway::on_notice(
    std::function<void(const worker_notice&)> handler)
{
    handler_ = std::move(handler);
}

result<void> http_worker_gateway::take_notice(const std::string& body)
{
    const result<worker_notice> notice = decode_worker_notice(body);
    if (!notice)
    {
        return tl::unexpected(notice.error());
    }
    if (handler_)
    {
        handler_(*notice);
    }
    return {};
}

} // namespace acaciastile
