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

/// Reads the fields of one JSON object strictly. Each call names a field and
/// where to put it; the first fault is kept and later calls do nothing, so
/// that a caller reads all fields and then asks `finish` once.
///
/// Faults are of code `invalid_value` with `not_run`; the message starts with
/// the path of the field, for example `workers[3].capacity.memory_mib`. It
/// never repeats the value, which may be a secret.
class field_reader
{
public:
    /// The object must outlive the reader. An empty path stands for the root.
    field_reader(const nlohmann::json& object, std::string path);

    /// Reads a field that must be there: a string, name, bool, integer, double
    /// or a duration in milliseconds.
    template<class Value>
    field_reader& require(std::string_view name, Value& into)
    {
        store(take(name, true), name, into);
        return *this;
    }

    /// As `require`, but leaves the value as it is where the field is absent.
    template<class Value>
    field_reader& optional(std::string_view name, Value& into)
    {
        store(take(name, false), name, into);
        return *this;
    }

    /// Reads a field by a function `result<Value>(const json&, std::string
    /// path)`.
    template<class Value, class Decode>
    field_reader& require(std::string_view name, Value& into, Decode decode)
    {
        store_decoded(take(name, true), path_of(name), into, decode);
        return *this;
    }

    template<class Value, class Decode>
    field_reader& optional(std::string_view name, Value& into, Decode decode)
    {
        store_decoded(take(name, false), path_of(name), into, decode);
        return *this;
    }

    /// Reads an array whose items are read by such a function. An absent
    /// field leaves the list as it is.
    template<class Value, class Decode>
    field_reader&
    optional_list(std::string_view name, std::vector<Value>& into, Decode each)
    {
        store_list(take(name, false), name, into, each);
        return *this;
    }

    template<class Value, class Decode>
    field_reader&
    require_list(std::string_view name, std::vector<Value>& into, Decode each)
    {
        store_list(take(name, true), name, into, each);
        return *this;
    }

    /// Reads an array of plain values.
    template<class Value>
    field_reader& optional_list(std::string_view name, std::vector<Value>& into)
    {
        store_list(take(name, false), name, into, decode_scalar<Value>);
        return *this;
    }

    /// Reads one of the names of an enumeration, given as a table of
    /// (value, name) pairs.
    template<class Value, class Names>
    field_reader&
    optional_enum(std::string_view name, Value& into, const Names& names)
    {
        store_enum(take(name, false), name, into, names);
        return *this;
    }

    template<class Value, class Names>
    field_reader&
    require_enum(std::string_view name, Value& into, const Names& names)
    {
        store_enum(take(name, true), name, into, names);
        return *this;
    }

    /// Adds a fault of a field that was read, where the condition is false.
    field_reader&
    check(bool condition, std::string_view name, std::string_view expected);

    /// Lets a field pass unread.
    field_reader& ignore(std::string_view name);

    /// The first fault; else a fault that names the first unknown field; else
    /// success.
    [[nodiscard]] result<void> finish() const;

private:
    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] const nlohmann::json*
    take(std::string_view name, bool required);
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
        if (found == nullptr || !fault_.has_value())
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
        if (found == nullptr || !fault_.has_value())
        {
            return;
        }
        result<Value> decoded = decode(*found, path);
        if (!decoded)
        {
            fault_ = tl::unexpected(std::move(decoded.error()));
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
        if (found == nullptr || !fault_.has_value())
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
        if (found == nullptr || !fault_.has_value())
        {
            return;
        }
        std::string known;
        for (const auto& [value, text] : names)
        {
            if (found->is_string() && *found == text)
            {
                into = value;
                return;
            }
            known += (known.empty() ? "" : ", ") + std::string(text);
        }
        fail(path_of(name), "one of " + known);
    }

    const nlohmann::json* object_;
    std::string path_;
    std::vector<std::string> known_;
    result<void> fault_;
};

} // namespace acaciastile
