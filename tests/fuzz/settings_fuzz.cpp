#include "cli/load/load_scenario.hpp"
#include "cli/register_import.hpp"
#include "cli/settings_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Settings, load scenarios and registers: whatever the text, each error has a
/// message, and nothing crashes.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace acaciastile;
    const std::string text(reinterpret_cast<const char*>(data), size);
    for (const error& each : read_settings(text, "fuzz.json").errors)
    {
        if (each.message.empty() || describe(each).empty())
        {
            std::abort();
        }
    }
    static_cast<void>(parse_load_scenario(text));
    static_cast<void>(import_register(text, "fuzz.csv"));
    return 0;
}
