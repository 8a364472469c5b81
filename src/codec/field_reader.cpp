#include "codec/field_reader.hpp"

#include <algorithm>

namespace acaciastile
{

field_reader::field_reader(const nlohmann::json& object, std::string path)
    : object_(&object), path_(std::move(path))
{
    if (!object.is_object())
    {
        fail(path_.empty() ? "document" : path_, "an object");
    }
}

field_reader& field_reader::check(
    bool condition, std::string_view name, std::string_view expected)
{
    if (!condition && error_.has_value())
    {
        fail(path_of(name), expected);
    }
    return *this;
}

field_reader& field_reader::ignore(std::string_view name)
{
    accepted_fields_.emplace_back(name);
    return *this;
}

result<void> field_reader::finish() const
{
    if (!error_)
    {
        return error_;
    }
    for (const auto& item : object_->items())
    {
        if (std::find(
                accepted_fields_.begin(), accepted_fields_.end(), item.key()) ==
            accepted_fields_.end())
        {
            return refuse(
                refusal_code::invalid_value,
                path_of(item.key()) + ": unknown field");
        }
    }
    return {};
}

std::string field_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const nlohmann::json*
field_reader::find_field(std::string_view name, bool required)
{
    accepted_fields_.emplace_back(name);
    if (!error_)
    {
        return nullptr;
    }
    auto field = object_->find(name);
    if (field != object_->end())
    {
        return &*field;
    }
    if (required)
    {
        error_ = refuse(
            refusal_code::invalid_value, path_of(name) + ": missing field");
    }
    return nullptr;
}

void field_reader::fail(const std::string& path, std::string_view expected)
{
    error_ = refuse(
        refusal_code::invalid_value,
        path + ": expected " + std::string(expected));
}

} // namespace acaciastile
