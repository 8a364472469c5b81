#include "cli/config/config_report.hpp"
#include "codec/document_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

/// What was read and written again must read as the same.
template<class Value, class Parse>
void check_round_trip(const std::string& text, Parse parse)
{
    const acaciastile::result<Value> read = parse(text);
    if (!read)
    {
        if (read.error().effect != acaciastile::verdict::not_run)
        {
            std::abort();
        }
        return;
    }
    const acaciastile::result<Value> again =
        parse(acaciastile::to_json_text(*read));
    if (!again || !(*again == *read))
    {
        std::abort();
    }
}

/// The check refuses what the codec refuses, and always says something.
void check_report(const std::string& text)
{
    using namespace acaciastile;
    config_report report;
    report.check = config_check::of_text(text);
    const bool valid = report.check.is_inventory()
                           ? parse_inventory(text).has_value()
                           : parse_rules(text).has_value();
    if (valid == report.check.has_errors() || to_text(report).empty())
    {
        std::abort();
    }
}

} // namespace

/// Inventories, rules, jobs and keys as documents.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace acaciastile;
    const std::string text(reinterpret_cast<const char*>(data), size);
    check_round_trip<inventory>(text, parse_inventory);
    check_round_trip<rules>(text, parse_rules);
    check_round_trip<job_spec>(text, parse_job_spec);
    check_round_trip<key_entry>(text, parse_key_entry);
    check_report(text);
    return 0;
}
