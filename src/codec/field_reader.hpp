#pragma once

#include "codec/scalar_value.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciastile
{

/// Reads the fields of a JSON object and rejects unknown fields. The reader
/// keeps the first error and skips all later reads, so that a caller reads all
/// fields and then checks `finish` once.
///
/// Errors have code `invalid_value` and effect `not_run`; the message starts
/// with the path of the field, such as `workers[3].capacity.memory_mib`. It
/// never contains the value, which may be a secret.
class field_reader
{
public:
    /// The object must outlive the reader. An empty path means the root.
    field_reader(const nlohmann::json& object, std::string path);

    /// Reads a required field: a string, name, bool, integer, double or a
    /// duration in milliseconds.
    template<class Value>
    field_reader& require(std::string_view name, Value& into)
    {
        store(find_field(name, true), name, into);
        return *this;
    }

    /// As `require`, but leaves `into` unchanged if the field is absent.
    template<class Value>
    field_reader& optional(std::string_view name, Value& into)
    {
        store(find_field(name, false), name, into);
        return *this;
    }

    /// Reads a required field with `decode`: `result<Value>(const json&,
    /// std::string path)`.
    template<class Value, class Decode>
    field_reader& require(std::string_view name, Value& into, Decode decode)
    {
        store_decoded(find_field(name, true), path_of(name), into, decode);
        return *this;
    }

    /// As `require`, but leaves `into` unchanged if the field is absent.
    template<class Value, class Decode>
    field_reader& optional(std::string_view name, Value& into, Decode decode)
    {
        store_decoded(find_field(name, false), path_of(name), into, decode);
        return *this;
    }

    /// Reads an array and each of its items with `each`, a function as above.
    /// Leaves `into` unchanged if the field is absent.
    template<class Value, class Decode>
    field_reader&
    optional_list(std::string_view name, std::vector<Value>& into, Decode each)
    {
        store_list(find_field(name, false), name, into, each);
        return *this;
    }

    /// As `optional_list`, for a required field.
    template<class Value, class Decode>
    field_reader&
    require_list(std::string_view name, std::vector<Value>& into, Decode each)
    {
        store_list(find_field(name, true), name, into, each);
        return *this;
    }

    /// Reads an array of values of the types that `require` accepts.
    template<class Value>
    field_reader& optional_list(std::string_view name, std::vector<Value>& into)
    {
        store_list(find_field(name, false), name, into, decode_scalar<Value>);
        return *this;
    }

    /// Reads an enumerator by its name in `names`, a table of (value, name)
    /// pairs. Leaves `into` unchanged if the field is absent.
    template<class Value, class Names>
    field_reader&
    optional_enum(std::string_view name, Value& into, const Names& names)
    {
        store_enum(find_field(name, false), name, into, names);
        return *this;
    }

    /// As `optional_enum`, for a required field.
    template<class Value, class Names>
    field_reader&
    require_enum(std::string_view name, Value& into, const Names& names)
    {
        store_enum(find_field(name, true), name, into, names);
        return *this;
    }

    /// Reports an error for a field if the condition is false.
    field_reader&
    check(bool condition, std::string_view name, std::string_view expected);

    /// Accepts a field without reading it.
    field_reader& ignore(std::string_view name);

    /// The first error, or an error for the first unknown field, or success.
    [[nodiscard]] result<void> finish() const;

private:
    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] const nlohmann::json*
    find_field(std::string_view name, bool required);
    void fail(const std::string& path, std::string_view expected);

    template<class Value>
    static result<Value>
    decode_scalar(const nlohmann::json& value, const std::string& path)
    {
        Value decoded{};
        if (const char* expected = impl::get(value, decoded))
        {
            return refuse(
                refusal_code::invalid_value, path + ": expected " + expected);
        }
        return decoded;
    }

    template<class Value>
    void store(const nlohmann::json* found, std::string_view name, Value& into)
    {
        if (found == nullptr || !error_.has_value())
        {
            return;
        }
        if (const char* expected = impl::get(*found, into))
        {
            fail(path_of(name), expected);
        }
    }

    template<class Value, class Decode>
    void store_decoded(
        const nlohmann::json* found,
        const std::string& path,
        Value& into,
        Decode& decode)
    {
        if (found == nullptr || !error_.has_value())
        {
            return;
        }
        result<Value> decoded = decode(*found, path);
        if (!decoded)
        {
            error_ = tl::unexpected(std::move(decoded.error()));
            return;
        }
        into = std::move(*decoded);
    }

    template<class Value, class Decode>
    void store_list(
        const nlohmann::json* found,
        std::string_view name,
        std::vector<Value>& into,
        Decode& each)
    {
        if (found == nullptr || !error_.has_value())
        {
            return;
        }
        if (!found->is_array())
        {
            fail(path_of(name), "a list");
            return;
        }
        into.clear();
        into.reserve(found->size());
        for (const nlohmann::json& item : *found)
        {
            std::string path =
                path_of(name) + "[" + std::to_string(into.size()) + "]";
            Value value{};
            store_decoded(&item, path, value, each);
            into.push_back(std::move(value));
        }
    }

    template<class Value, class Names>
    void store_enum(
        const nlohmann::json* found,
        std::string_view name,
        Value& into,
        const Names& names)
    {
        if (found == nullptr || !error_.has_value())
        {
            return;
        }
        std::string allowed_names;
        for (const auto& [value, text] : names)
        {
            if (found->is_string() && *found == text)
            {
                into = value;
                return;
            }
            allowed_names +=
                (allowed_names.empty() ? "" : ", ") + std::string(text);
        }
        fail(path_of(name), "one of " + allowed_names);
    }

    const nlohmann::json* object_;
    std::string path_;
    std::vector<std::string> accepted_fields_;
    result<void> error_;
};

} // namespace acaciastile
