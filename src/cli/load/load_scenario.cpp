#include "cli/load/load_scenario.hpp"

#include "cli/unit_values.hpp"
#include "codec/json_text.hpp"

#include <algorithm>

namespace acaciastile
{

using nlohmann::json;

namespace
{

/// Reads the fields of an object and keeps the first error.
class scenario_reader
{
public:
    explicit scenario_reader(const json& object) : object_(object) {}

    void number(const char* name, double least, double most, double& to)
    {
        known_.push_back(name);
        if (!object_.contains(name))
        {
            return;
        }
        const json& value = object_.at(name);
        if (!value.is_number() || value.get<double>() < least ||
            value.get<double>() > most)
        {
            fail(
                name,
                "a number from " + json(least).dump() + " to " +
                    json(most).dump());
            return;
        }
        to = value.get<double>();
    }

    void duration(const char* name, milliseconds most, milliseconds& to)
    {
        known_.push_back(name);
        if (!object_.contains(name))
        {
            return;
        }
        const json& value = object_.at(name);
        const auto parsed = value.is_string()
                                ? parse_duration(value.get<std::string>())
                                : std::nullopt;
        if (!parsed || *parsed <= milliseconds::zero() || *parsed > most)
        {
            fail(name, "a time with its unit up to " + write_duration(most));
            return;
        }
        to = *parsed;
    }

    void text(const char* name, std::string& to)
    {
        known_.push_back(name);
        if (!object_.contains(name))
        {
            return;
        }
        if (!object_.at(name).is_string())
        {
            fail(name, "a text");
            return;
        }
        to = object_.at(name).get<std::string>();
    }

    /// Null where the field is not there.
    [[nodiscard]] const json* part(const char* name)
    {
        known_.push_back(name);
        auto at = object_.find(name);
        return at == object_.end() ? nullptr : &*at;
    }

    void fail(const std::string& name, const std::string& allowed)
    {
        if (!failed_)
        {
            failed_ = error{
                refusal_code::invalid_value,
                verdict::not_run,
                name + ": allowed is " + allowed,
                {}};
        }
    }

    [[nodiscard]] result<void> finish()
    {
        for (const auto& [name, value] : object_.items())
        {
            if (std::find(known_.begin(), known_.end(), name) == known_.end())
            {
                fail(name, "no such field");
            }
        }
        if (failed_)
        {
            return tl::unexpected(*failed_);
        }
        return {};
    }

private:
    const json& object_;
    std::vector<std::string> known_;
    std::optional<error> failed_;
};

result<load_call> read_call(const json& value)
{
    if (!value.is_object())
    {
        return refuse(refusal_code::invalid_value, "a call must be an object");
    }
    load_call made;
    scenario_reader fields(value);
    double weight = 1;
    fields.text("name", made.name);
    fields.number("weight", 1, 1'000'000, weight);
    fields.text("key_file", made.key_file);
    fields.text("get", made.path);
    made.weight = static_cast<unsigned>(weight);
    made.method = made.path.empty() ? "POST" : "GET";
    if (const json* job = fields.part("job"))
    {
        made.body = *job;
        made.path = "/v1/jobs";
    }
    if (const json* request = fields.part("request"))
    {
        made.body = *request;
        made.path = "/v1/requests";
    }
    if (made.name.empty() || made.path.empty() ||
        (made.method == "POST" && !made.body.is_object()))
    {
        fields.fail("calls", "a name and one of get, job and request");
    }
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

result<load_search> read_search(const json& value)
{
    if (!value.is_object())
    {
        return refuse(refusal_code::invalid_value, "search must be an object");
    }
    load_search made;
    scenario_reader fields(value);
    fields.number("from", 1, most_load_rate, made.from);
    fields.number("to", 1, most_load_rate, made.to);
    fields.number("factor", 1.05, 10, made.factor);
    if (made.from <= 0 || made.to < made.from)
    {
        fields.fail("search", "`from` and `to`, rates that rise");
    }
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

result<void> read_calls(const json* list, load_scenario& to)
{
    if (list == nullptr || !list->is_array() || list->empty())
    {
        return refuse(
            refusal_code::invalid_value, "calls: a list that is not empty");
    }
    for (const json& each : *list)
    {
        auto read = read_call(each);
        if (!read)
        {
            return tl::unexpected(read.error());
        }
        to.calls.push_back(*std::move(read));
    }
    return {};
}

} // namespace

result<load_scenario> parse_load_scenario(const std::string& text)
{
    auto parsed = parse_json_text(text);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    if (!parsed->is_object())
    {
        return refuse(
            refusal_code::invalid_value, "a scenario must be an object");
    }
    load_scenario made;
    scenario_reader fields(*parsed);
    double seed = 1;
    double callers = static_cast<double>(made.callers);
    fields.number("seed", 0, 1e15, seed);
    fields.number("rate", 0.1, most_load_rate, made.rate);
    fields.number("callers", 1, double(most_load_callers), callers);
    fields.duration("duration", longest_load, made.duration);
    fields.duration("bound_p99", longest_load, made.bound_p99);
    made.seed = static_cast<std::uint64_t>(seed);
    made.callers = static_cast<std::size_t>(callers);
    if (const json* search = fields.part("search"))
    {
        auto read = read_search(*search);
        if (!read)
        {
            return tl::unexpected(read.error());
        }
        made.search = *read;
    }
    if (auto read = read_calls(fields.part("calls"), made); !read)
    {
        return tl::unexpected(read.error());
    }
    if (made.rate <= 0 && !made.search)
    {
        fields.fail("rate", "calls a second, or a search");
    }
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace acaciastile
