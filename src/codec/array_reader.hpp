#pragma once

#include "codec/scalar_value.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

/// Reads the items of a JSON array in order, as the compact encodings of
/// records and snapshots need it. The reader keeps the first error and skips
/// all later reads, so that a caller checks `finish` once. Errors have code
/// `malformed` and effect `not_run`; the message names the array and the
/// position of the item.
class array_reader
{
public:
    /// `name` appears in error messages. The array must outlive the reader.
    array_reader(const nlohmann::json& array, std::string name)
        : array_(&array), name_(std::move(name))
    {
        if (!array.is_array())
        {
            fail("an array");
        }
    }

    /// Reads the next item: a string, name, bool, integer, double or a duration
    /// in milliseconds.
    template<class Value>
    array_reader& next(Value& into)
    {
        if (const nlohmann::json* item = next_item())
        {
            if (const char* expected = impl::get(*item, into))
            {
                fail(expected);
            }
        }
        return *this;
    }

    /// Reads the next item with `decode`: `result<Value>(const json&)`.
    template<class Value, class Decode>
    array_reader& next(Value& into, Decode decode)
    {
        const nlohmann::json* item = next_item();
        if (item == nullptr)
        {
            return *this;
        }
        result<Value> decoded = decode(*item);
        if (!decoded)
        {
            error_ = tl::unexpected(std::move(decoded.error()));
            return *this;
        }
        into = std::move(*decoded);
        return *this;
    }

    /// Reads an enumerator encoded as its number, which must be below `count`.
    template<class Value>
    array_reader& next_enum(Value& into, std::size_t count)
    {
        std::size_t number = 0;
        next(number);
        if (error_ && number >= count)
        {
            fail("the number of a known enumerator");
        }
        if (error_)
        {
            into = static_cast<Value>(number);
        }
        return *this;
    }

    /// Reads the next item as an array and each of its items with `decode`:
    /// `result<Value>(const json&)`.
    template<class Value, class Decode>
    array_reader& next_list(std::vector<Value>& into, Decode decode)
    {
        const nlohmann::json* item = next_item();
        if (item == nullptr)
        {
            return *this;
        }
        if (!item->is_array())
        {
            fail("an array");
            return *this;
        }
        into.reserve(item->size());
        for (const nlohmann::json& element : *item)
        {
            result<Value> decoded = decode(element);
            if (!decoded)
            {
                error_ = tl::unexpected(std::move(decoded.error()));
                return *this;
            }
            into.push_back(std::move(*decoded));
        }
        return *this;
    }

    /// The first error, or an error if unread items remain.
    [[nodiscard]] result<void> finish()
    {
        if (error_ && index_ != array_->size())
        {
            fail("the end of the array");
        }
        return error_;
    }

private:
    [[nodiscard]] const nlohmann::json* next_item()
    {
        if (!error_)
        {
            return nullptr;
        }
        if (index_ >= array_->size())
        {
            fail("another item");
            return nullptr;
        }
        return &(*array_)[index_++];
    }

    void fail(const std::string& expected)
    {
        error_ = refuse(
            refusal_code::malformed,
            name_ + ", item " + std::to_string(index_) + ": expected " +
                expected);
    }

    const nlohmann::json* array_;
    std::string name_;
    std::size_t index_ = 0;
    result<void> error_;
};

} // namespace acaciastile
