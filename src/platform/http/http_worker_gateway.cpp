#include "platform/http/http_worker_gateway.hpp"

#include "platform/http/reply_reader.hpp"
#include "platform/http/worker_messages.hpp"

#include <curl/curl.h>

namespace acaciastile
{

namespace
{

struct curl_text_closer
{
    void operator()(char* text) const noexcept { curl_free(text); }
};

std::string path_of(const worker_id& worker)
{
    const std::string& id = worker.str();
    const std::unique_ptr<char, curl_text_closer> escaped(
        curl_easy_escape(nullptr, id.data(), static_cast<int>(id.size())));
    return "/v1/worker/" + std::string(escaped ? escaped.get() : "") + "/call";
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
