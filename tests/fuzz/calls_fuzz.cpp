#include "entry/error_reply.hpp"
#include "entry/request_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

namespace
{

/// Every refusal of a call's input is proven not to have run and makes an
/// answer that is JSON with a status of 400 or more.
template<class Value>
void check(const acaciastile::result<Value>& read)
{
    if (read)
    {
        return;
    }
    constexpr int first_error_status = 400;
    const auto reply = acaciastile::make_error_reply(read.error());
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (read.error().effect != acaciastile::verdict::not_run ||
        reply.status < first_error_status || body.is_discarded())
    {
        std::abort();
    }
}

} // namespace

/// Bodies and queries of the HTTP interface.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace acaciastile;
    const std::string text(reinterpret_cast<const char*>(data), size);
    check(read_job(text));
    check(read_request_spec(text));
    check(read_key_wish(text));
    check(read_workers(text));
    api_request call;
    call.variables = {{"base", text}, {"limit", text}, {"why", text}};
    check(read_base(call));
    check(read_filter(call));
    check(read_flag(call, "why"));
    return 0;
}
