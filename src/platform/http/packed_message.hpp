#pragma once

#include "codec/json_text.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <cstdint>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

using packed = nlohmann::json;

[[nodiscard]] inline std::string pack(const packed& value)
{
    return to_msgpack_text(value);
}

/// Reads one MessagePack value and hands it to `read`, which may throw an
/// exception of the JSON library or `std::out_of_range`. Errors: `malformed`.
template<class Value, class Reader>
[[nodiscard]] result<Value> unpack(const std::string& bytes, Reader read)
{
    const result<packed> parsed = parse_msgpack(bytes);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    try
    {
        return read(*parsed);
    }
    catch (const std::exception& problem)
    {
        return refuse(
            refusal_code::malformed,
            std::string("cannot read the message: ") + problem.what());
    }
}

/// An enumeration as its number; `last` is its last value.
template<class Enum>
[[nodiscard]] Enum enum_at(const packed& list, std::size_t index, Enum last)
{
    const auto number = list.at(index).get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
    {
        throw std::out_of_range("unknown value of an enumeration");
    }
    return static_cast<Enum>(number);
}

template<class Name>
[[nodiscard]] Name name_at(const packed& list, std::size_t index)
{
    return Name(list.at(index).get<std::string>());
}

template<class Value, class Reader>
[[nodiscard]] std::vector<Value>
list_at(const packed& list, std::size_t index, Reader read)
{
    const packed& inner = list.at(index);
    if (!inner.is_array())
    {
        throw std::out_of_range("a list is wanted");
    }
    std::vector<Value> values;
    values.reserve(inner.size());
    for (const packed& each : inner)
    {
        values.push_back(read(each));
    }
    return values;
}

template<class Value, class Writer>
[[nodiscard]] packed list_of(const std::vector<Value>& values, Writer write)
{
    packed list = packed::array();
    for (const Value& each : values)
    {
        list.push_back(write(each));
    }
    return list;
}

} // namespace acaciastile::impl
