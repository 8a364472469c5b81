#include "cell/log_relay.hpp"

#include "cell/relay_message.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

/// Upper bound on the bytes of entry bodies in a reply; it caps the limit in
/// the request.
constexpr std::size_t max_reply_bytes = 256 * 1024;

} // namespace

result<std::string> log_relay::serve(instant now, std::string_view body) const
{
    auto request = decode_relay_request(body);
    if (!request)
    {
        return tl::unexpected(request.error());
    }
    if (tail_.contact() == instant::min())
    {
        return refuse(
            refusal_code::log_unavailable,
            "this instance has never reached the head of the log");
    }
    const std::size_t limit = std::min(request->limit_bytes, max_reply_bytes);
    auto page = tail_.read(request->from, limit);
    if (!page)
    {
        return tl::unexpected(page.error());
    }
    relay_reply reply;
    reply.page = std::move(*page);
    reply.age = std::max(now - tail_.contact(), milliseconds{0});
    return encode(reply);
}

} // namespace acaciastile
