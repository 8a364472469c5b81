// Parses any text as documents. What is accepted must survive its text.

#include "codec/document_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace
{

template<class Parse>
void check(std::string_view text, Parse parse)
{
    using namespace acaciastile;
    if (auto value = parse(text))
    {
        if (parse(to_json_text(*value)) != value)
        {
            std::abort();
        }
    }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace acaciastile;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check(text, parse_inventory);
    check(text, parse_rules);
    check(text, parse_job_spec);
    check(text, parse_key_entry);
    check(text, parse_error);
    return 0;
}
