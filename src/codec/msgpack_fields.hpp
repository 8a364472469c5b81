#pragma once

#include "codec/json_text.hpp"

namespace acaciastile
{

/// Decodes MessagePack with `read`: `result<Value>(const json&)`. `read` may
/// throw the JSON library's exceptions if a field is missing or has another
/// type. Errors: `malformed`; those of `read`.
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
    catch (const nlohmann::json::exception& failure)
    {
        return refuse(refusal_code::malformed, failure.what());
    }
}

} // namespace acaciastile
