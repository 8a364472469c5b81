#include "codec/json_text.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Line and column of a byte offset, both starting at one.
source_position position_of(std::string_view text, std::size_t byte)
{
    std::string_view before = text.substr(0, std::min(byte, text.size()));
    std::size_t line_start = before.rfind('\n');
    std::size_t column = line_start == std::string_view::npos
                             ? before.size()
                             : before.size() - line_start - 1;
    source_position position;
    position.line = static_cast<std::uint32_t>(
        1 + std::count(before.begin(), before.end(), '\n'));
    position.column = static_cast<std::uint32_t>(column + 1);
    return position;
}

/// Parser callback that detects duplicate fields and excessive nesting.
class parse_checker
{
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        too_deep_ = too_deep_ || depth > max_nesting_depth;
        if (event == json::parse_event_t::object_start)
        {
            open_objects_.emplace_back();
        }
        else if (
            event == json::parse_event_t::object_end && !open_objects_.empty())
        {
            open_objects_.pop_back();
        }
        else if (event == json::parse_event_t::key)
        {
            record_key(parsed.get_ref<const std::string&>());
        }
        return !too_deep_;
    }

    [[nodiscard]] const std::string& duplicate_field() const
    {
        return duplicate_field_;
    }
    [[nodiscard]] bool too_deep() const { return too_deep_; }

private:
    void record_key(const std::string& name)
    {
        if (!open_objects_.empty() && !open_objects_.back().insert(name).second)
        {
            duplicate_field_ = name;
        }
    }

    std::vector<std::set<std::string>> open_objects_;
    std::string duplicate_field_;
    bool too_deep_ = false;
};

/// Accepts any MessagePack value up to the nesting limit. Checked before the
/// value is built, because the library recurses on each level and could
/// overflow the stack.
class nesting_checker : public json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool
    number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return true;
    }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(
        std::size_t /*position*/,
        const std::string& /*last_token*/,
        const nlohmann::detail::exception& /*exception*/) override
    {
        return false;
    }

private:
    bool enter() { return ++depth_ <= max_nesting_depth; }
    bool leave()
    {
        --depth_;
        return true;
    }

    int depth_ = 0;
};

} // namespace

result<nlohmann::json> parse_json_text(std::string_view text)
{
    parse_checker checker;
    json parsed;
    try
    {
        parsed = json::parse(text, std::ref(checker), true, true);
    }
    catch (const json::parse_error& parse_failure)
    {
        std::size_t byte = parse_failure.byte > 0 ? parse_failure.byte - 1 : 0;
        error failure;
        failure.code = refusal_code::malformed;
        failure.position = position_of(text, byte);
        failure.message = "syntax error in line " +
                          std::to_string(failure.position.line) + ", column " +
                          std::to_string(failure.position.column);
        return tl::unexpected(std::move(failure));
    }
    catch (const json::exception&)
    {
        return refuse(refusal_code::malformed, "value cannot be represented");
    }
    if (checker.too_deep())
    {
        return refuse(refusal_code::malformed, "nested too deeply");
    }
    if (!checker.duplicate_field().empty())
    {
        return refuse(
            refusal_code::invalid_value,
            checker.duplicate_field() + ": given twice in one object");
    }
    return parsed;
}

result<nlohmann::json> parse_msgpack(std::string_view encoded)
{
    try
    {
        nesting_checker check;
        constexpr auto format = json::input_format_t::msgpack;
        if (!json::sax_parse(encoded, &check, format))
        {
            return refuse(refusal_code::malformed, "not a MessagePack value");
        }
        json parsed = json::from_msgpack(encoded, true, false);
        if (!parsed.is_discarded())
        {
            return parsed;
        }
    }
    catch (const std::exception&)
    {
        // The input states a length that the library cannot allocate.
    }
    return refuse(refusal_code::malformed, "not a MessagePack value");
}

std::string to_msgpack_text(const nlohmann::json& value)
{
    std::string encoded;
    json::to_msgpack(value, encoded);
    return encoded;
}

std::string to_json_text(const nlohmann::json& value, int indent)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

} // namespace acaciastile
