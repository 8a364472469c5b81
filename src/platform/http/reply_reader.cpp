#include "platform/http/reply_reader.hpp"

#include "codec/document_codec.hpp"

namespace acaciastile
{

result<std::string> read_reply(result<http_reply> outcome, refusal_code failure)
{
    constexpr long status_ok = 200;
    if (!outcome)
    {
        error failed = outcome.error();
        const bool on_the_way = failed.code == refusal_code::unreachable;
        failed.code = on_the_way ? failure : failed.code;
        return tl::unexpected(std::move(failed));
    }
    if (outcome->status == status_ok)
    {
        return std::move(outcome->body);
    }
    if (auto told = parse_error(outcome->body))
    {
        return tl::unexpected(std::move(*told));
    }
    return refuse(
        failure,
        verdict::may_have_run,
        "unexpected HTTP status " + std::to_string(outcome->status));
}

} // namespace acaciastile
