#include "platform/http/http_transfer.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

constexpr long no_timeout_left = 1; // Milliseconds; zero would mean none.

} // namespace

http_transfer::http_transfer(http_request call, completion<http_reply> done)
    : call_(std::move(call)),
      done_(std::move(done)),
      deadline_(transfer_clock::now() + call_.timeout)
{
}

void http_transfer::prepare(
    curl_easy_ptr handle,
    const transfer_options& options,
    transfer_clock::time_point now)
{
    handle_ = std::move(handle);
    url_ = "http://" + call_.host + call_.path;
    reply_limit_ = options.settings.reply_bytes;
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline_ - now).count();
    const long timeout = std::max<long>(left, no_timeout_left);
    const long connect =
        static_cast<long>(options.settings.connect_timeout.count());
    CURL* easy = handle_.get();
    curl_easy_setopt(easy, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call_.body.data());
    curl_easy_setopt(
        easy,
        CURLOPT_POSTFIELDSIZE_LARGE,
        static_cast<curl_off_t>(call_.body.size()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, options.headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &http_transfer::receive);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
    if (!options.settings.keep_connections)
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

result<http_reply> http_transfer::outcome(CURLcode code)
{
    if (code == CURLE_OK)
    {
        curl_easy_getinfo(
            handle_.get(), CURLINFO_RESPONSE_CODE, &reply_.status);
        return std::move(reply_);
    }
    return given_up(curl_easy_strerror(code));
}

result<http_reply> http_transfer::given_up(const char* why) const
{
    return refuse(refusal_code::unreachable, effect(), call_.host + ": " + why);
}

void http_transfer::count(http_client_counts& counts) const
{
    ++counts.calls;
    if (!handle_)
    {
        return;
    }
    long connections = 0;
    long header_bytes = 0;
    curl_off_t body_bytes = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_NUM_CONNECTS, &connections);
    curl_easy_getinfo(handle_.get(), CURLINFO_HEADER_SIZE, &header_bytes);
    curl_easy_getinfo(handle_.get(), CURLINFO_SIZE_DOWNLOAD_T, &body_bytes);
    counts.connections += static_cast<std::uint64_t>(connections);
    counts.bytes_sent += static_cast<std::uint64_t>(bytes_sent());
    counts.bytes_received += static_cast<std::uint64_t>(header_bytes) +
                             static_cast<std::uint64_t>(body_bytes);
}

std::size_t http_transfer::receive(
    char* bytes, std::size_t size, std::size_t count, void* transfer)
{
    auto* self = static_cast<http_transfer*>(transfer);
    const std::size_t length = size * count;
    if (self->reply_.body.size() + length > self->reply_limit_)
    {
        return 0; // Ends the transfer with a write error.
    }
    self->reply_.body.append(bytes, length);
    return length;
}

verdict http_transfer::effect() const
{
    return bytes_sent() == 0 ? verdict::not_run : verdict::may_have_run;
}

long http_transfer::bytes_sent() const
{
    long bytes = 0;
    if (handle_)
    {
        curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &bytes);
    }
    return bytes;
}

} // namespace acaciastile::impl
