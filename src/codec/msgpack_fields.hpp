#pragma once

#include "codec/json_text.hpp"

namespace acaciastile
{

/// Decodes MessagePack by a function from its value, which may throw the JSON
/// library's exceptions where a field is missing or of another type.
/// Errors: `malformed`.
template<class Value, class Read>
[[nodiscard]] result<Value> decode_msgpack(std::string_view text, Read read)
{
    const result<nlohmann::json> value = parse_msgpack(text);
    if (!value)
    {
        return tl::unexpected(value.error());
    }
    try
    {
        return read(*value);
    }
    catch (const nlohmann::json::exception& fault)
    {
        return refuse(refusal_code::malformed, fault.what());
    }
}

} // namespace acaciastile
