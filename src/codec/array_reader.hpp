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

/// Reads the items of one JSON array in order, strictly: the form that the
/// compact encodings of records and snapshots have. The first fault is kept
/// and later calls do nothing. Faults are of code `malformed`, `not_run`; the
/// message names the thing that was read and the place of the item.
class array_reader
{
public:
    /// The array must outlive the reader.
    array_reader(const nlohmann::json& array, std::string name)
        : array_(&array), name_(std::move(name))
    {
        if (!array.is_array())
        {
            fail("an array");
        }
    }

    template<class Value>
    array_reader& next(Value& into)
    {
        if (const nlohmann::json* item = take())
        {
            if (const char* expected = impl::get(*item, into))
            {
                fail(expected);
            }
        }
        return *this;
    }

    /// Reads an item by a function `result<Value>(const json&)`.
    template<class Value, class Decode>
    array_reader& next(Value& into, Decode decode)
    {
        const nlohmann::json* item = take();
        if (item == nullptr)
        {
            return *this;
        }
        result<Value> decoded = decode(*item);
        if (!decoded)
        {
            fault_ = tl::unexpected(std::move(decoded.error()));
            return *this;
        }
        into = std::move(*decoded);
        return *this;
    }

    /// Reads an enumeration kept as its number, below `count`.
    template<class Value>
    array_reader& next_enum(Value& into, std::size_t count)
    {
        std::size_t number = 0;
        next(number);
        if (fault_ && number >= count)
        {
            fail("a known number");
        }
        if (fault_)
        {
            into = static_cast<Value>(number);
        }
        return *this;
    }

    /// Reads an item that is itself an array, item by item, by a function
    /// `result<Value>(const json&)`.
    template<class Value, class Decode>
    array_reader& next_list(std::vector<Value>& into, Decode decode)
    {
        const nlohmann::json* item = take();
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
        for (const nlohmann::json& part : *item)
        {
            result<Value> decoded = decode(part);
            if (!decoded)
            {
                fault_ = tl::unexpected(std::move(decoded.error()));
                return *this;
            }
            into.push_back(std::move(*decoded));
        }
        return *this;
    }

    /// The first fault, or one where items are left over.
    [[nodiscard]] result<void> finish()
    {
        if (fault_ && at_ != array_->size())
        {
            fail("no further item");
        }
        return fault_;
    }

private:
    [[nodiscard]] const nlohmann::json* take()
    {
        if (!fault_)
        {
            return nullptr;
        }
        if (at_ >= array_->size())
        {
            fail("one more item");
            return nullptr;
        }
        return &(*array_)[at_++];
    }

    void fail(const std::string& expected)
    {
        fault_ = refuse(
            refusal_code::malformed,
            name_ + ", item " + std::to_string(at_) + ": expected " + expected);
    }

    const nlohmann::json* array_;
    std::string name_;
    std::size_t at_ = 0;
    result<void> fault_;
};

} // namespace acaciastile
