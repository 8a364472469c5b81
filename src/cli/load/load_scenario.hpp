#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile
{

/// Bounds of every load run, so that a trial cannot run away.
inline constexpr double most_load_rate = 20'000;
inline constexpr milliseconds longest_load{120'000};
inline constexpr std::size_t most_load_callers = 512;
inline constexpr std::size_t most_load_calls = 400'000;

/// One kind of call of a scenario.
struct load_call
{
    std::string name;
    unsigned weight = 1;
    std::string method; ///< POST or GET.
    std::string path;
    nlohmann::json body; ///< A job; its id is made for each call.
    std::string key_file;
};

/// How the rate is raised to find where the bound breaks.
struct load_search
{
    double from = 0;
    double to = 0;
    double factor = 1.5;
};

/// What `acaciastile load` sends.
struct load_scenario
{
    std::uint64_t seed = 1;
    double rate = 0; ///< Calls a second; arrivals are a Poisson process.
    milliseconds duration{10'000};
    std::size_t callers = 64;
    milliseconds bound_p99{1'200};
    std::optional<load_search> search;
    std::vector<load_call> calls;
};

/// Reads a scenario: JSON with comments. Errors: `malformed` with the place,
/// `invalid_value` naming the field.
[[nodiscard]] result<load_scenario>
parse_load_scenario(const std::string& text);

} // namespace acaciastile
