#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace acaciastile::impl
{

/// Longest duration that documents accept.
inline constexpr milliseconds max_duration{std::chrono::years{10}};

/// Each `get` checks the type and range of a JSON value and stores it in
/// `into`. Returns null on success, otherwise a description of the expected
/// value, for error messages.
[[nodiscard]] inline const char*
get(const nlohmann::json& value, std::string& into)
{
    if (!value.is_string())
    {
        return "a string";
    }
    into = value.get_ref<const std::string&>();
    return nullptr;
}

template<class Tag>
[[nodiscard]] const char*
get(const nlohmann::json& value, tagged_name<Tag>& into)
{
    if (!value.is_string())
    {
        return "a string";
    }
    into = tagged_name<Tag>(value.get_ref<const std::string&>());
    return nullptr;
}

[[nodiscard]] inline const char* get(const nlohmann::json& value, bool& into)
{
    if (!value.is_boolean())
    {
        return "true or false";
    }
    into = value.get<bool>();
    return nullptr;
}

[[nodiscard]] inline const char* get(const nlohmann::json& value, double& into)
{
    if (!value.is_number())
    {
        return "a number";
    }
    into = value.get<double>();
    return nullptr;
}

template<std::integral Integer>
[[nodiscard]] const char* get(const nlohmann::json& value, Integer& into)
{
    if (value.is_number_unsigned())
    {
        auto number = value.get<std::uint64_t>();
        if (!std::in_range<Integer>(number))
        {
            return "a smaller integer";
        }
        into = static_cast<Integer>(number);
        return nullptr;
    }
    if (!value.is_number_integer())
    {
        return "an integer";
    }
    auto number = value.get<std::int64_t>();
    if (!std::in_range<Integer>(number))
    {
        return number < 0 && std::unsigned_integral<Integer>
                   ? "an integer that is not negative"
                   : "an integer within range";
    }
    into = static_cast<Integer>(number);
    return nullptr;
}

[[nodiscard]] inline const char*
get(const nlohmann::json& value, milliseconds& into)
{
    std::int64_t count = 0;
    if (const char* expected = get(value, count))
    {
        return expected;
    }
    if (count < 0 || count > max_duration.count())
    {
        return "a number of milliseconds from zero to ten years";
    }
    into = milliseconds(count);
    return nullptr;
}

} // namespace acaciastile::impl
