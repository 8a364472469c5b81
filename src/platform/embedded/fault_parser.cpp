#include "codec/document_codec.hpp"
#include "codec/field_reader.hpp"
#include "codec/json_text.hpp"
#include "platform/embedded/fault_command.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::array<std::pair<lost_answer, std::string_view>, 2>
    lost_answer_names{{
        {lost_answer::late_error, "late_error"},
        {lost_answer::never, "never"},
    }};

constexpr std::array<std::pair<cut_manner, std::string_view>, 2>
    cut_manner_names{{
        {cut_manner::refused, "refused"},
        {cut_manner::silent, "silent"},
    }};

constexpr std::array<std::pair<vm_role, std::string_view>, 2> vm_role_names{{
    {vm_role::entry, "entry"},
    {vm_role::worker, "worker"},
}};

constexpr std::int64_t slowest_clock_ppm = -900'000;

void read(field_reader& in, fault::log_down& made)
{
    in.optional("on", made.on);
}

void read(field_reader& in, fault::log_reads_fail& made)
{
    in.optional("on", made.on);
}

void read(field_reader& in, fault::log_append_time& made)
{
    in.require("each_ms", made.each);
}

void read(field_reader& in, fault::log_refuse_appends& made)
{
    in.optional("count", made.count);
}

void read(field_reader& in, fault::log_lose_answers& made)
{
    in.optional("count", made.count)
        .optional("probability", made.probability)
        .optional_enum("manner", made.manner, lost_answer_names)
        .check(
            made.probability >= 0.0 && made.probability <= 1.0,
            "probability",
            "between 0 and 1");
}

void read(field_reader& in, fault::log_retention& made)
{
    in.optional("entries", made.entries).optional("age_ms", made.age);
}

void read(field_reader& in, fault::cut& made)
{
    in.require("left", made.left)
        .require("right", made.right)
        .optional_enum("manner", made.manner, cut_manner_names);
}

void read(field_reader& in, fault::heal& made)
{
    in.optional("left", made.left).optional("right", made.right);
}

void read(field_reader& in, fault::group& made)
{
    in.require("endpoint", made.endpoint).require("name", made.name);
}

void read(field_reader& in, fault::slow& made)
{
    in.require("endpoint", made.endpoint).require("extra_ms", made.extra);
}

void read(field_reader& in, fault::pause& made)
{
    in.require("endpoint", made.endpoint).optional("on", made.on);
}

void read(field_reader& in, fault::vm_list_lag& made)
{
    in.require("lag_ms", made.lag);
}

void read(field_reader& in, fault::vm_list_down& made)
{
    in.optional("on", made.on);
}

void read(field_reader& in, fault::vm_set& made)
{
    in.require("name", made.entry.name)
        .require_enum("role", made.entry.role, vm_role_names)
        .require("data_centre", made.entry.data_centre)
        .require("address", made.entry.address)
        .optional("leaving", made.entry.leaving);
}

void read(field_reader& in, fault::vm_remove& made)
{
    in.require("name", made.name);
}

void read(field_reader& in, fault::vm_leaving& made)
{
    in.require("name", made.name).optional("on", made.on);
}

void read(field_reader& in, fault::worker_add& made)
{
    embedded_worker_settings& settings = made.settings;
    in.require("worker", settings.id)
        .require("capacity", settings.capacity, resources_from_json)
        .optional("clock_offset_ms", settings.clock_offset)
        .optional("parts_per_million", settings.clock_drift_ppm)
        .optional("usage_lag_ms", settings.usage_lag);
    in.check(
        settings.clock_drift_ppm >= slowest_clock_ppm,
        "parts_per_million",
        "at least -900000");
}

void read(field_reader& in, fault::worker_remove& made)
{
    in.require("worker", made.worker);
}

void read(field_reader& in, fault::worker_kill& made)
{
    in.require("worker", made.worker);
}

void read(field_reader& in, fault::worker_lose_answers& made)
{
    in.require("worker", made.worker).optional("count", made.count);
}

void read(field_reader& in, fault::worker_fails_everything& made)
{
    in.require("worker", made.worker).optional("on", made.on);
}

void read(field_reader& in, fault::worker_leaving& made)
{
    in.require("worker", made.worker).optional("on", made.on);
}

void read(field_reader& in, fault::worker_drift& made)
{
    in.require("worker", made.worker)
        .require("parts_per_million", made.parts_per_million)
        .check(
            made.parts_per_million >= slowest_clock_ppm,
            "parts_per_million",
            "at least -900000");
}

void read(field_reader& in, fault::worker_clock_pause& made)
{
    in.require("worker", made.worker).optional("on", made.on);
}

template<class Fault>
result<fault_command> parse_as(const nlohmann::json& object)
{
    Fault made;
    field_reader in(object, "");
    in.ignore("fault");
    read(in, made);
    if (auto whole = in.finish(); !whole)
    {
        return tl::unexpected(whole.error());
    }
    return fault_command(std::move(made));
}

struct fault_kind
{
    std::string_view name;
    result<fault_command> (*parse)(const nlohmann::json&);
};

constexpr auto fault_kinds = std::to_array<fault_kind>({
    {"log_down", parse_as<fault::log_down>},
    {"log_reads_fail", parse_as<fault::log_reads_fail>},
    {"log_append_time", parse_as<fault::log_append_time>},
    {"log_refuse_appends", parse_as<fault::log_refuse_appends>},
    {"log_lose_answers", parse_as<fault::log_lose_answers>},
    {"log_retention", parse_as<fault::log_retention>},
    {"cut", parse_as<fault::cut>},
    {"heal", parse_as<fault::heal>},
    {"group", parse_as<fault::group>},
    {"slow", parse_as<fault::slow>},
    {"pause", parse_as<fault::pause>},
    {"vm_list_lag", parse_as<fault::vm_list_lag>},
    {"vm_list_down", parse_as<fault::vm_list_down>},
    {"vm_set", parse_as<fault::vm_set>},
    {"vm_remove", parse_as<fault::vm_remove>},
    {"vm_leaving", parse_as<fault::vm_leaving>},
    {"worker_add", parse_as<fault::worker_add>},
    {"worker_remove", parse_as<fault::worker_remove>},
    {"worker_kill", parse_as<fault::worker_kill>},
    {"worker_lose_answers", parse_as<fault::worker_lose_answers>},
    {"worker_fails_everything", parse_as<fault::worker_fails_everything>},
    {"worker_leaving", parse_as<fault::worker_leaving>},
    {"worker_drift", parse_as<fault::worker_drift>},
    {"worker_clock_pause", parse_as<fault::worker_clock_pause>},
});

static_assert(fault_kinds.size() == std::variant_size_v<fault_command>);

} // namespace

result<fault_command> parse_fault(const std::string& text)
{
    const result<nlohmann::json> parsed = parse_json_text(text);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    if (parsed->is_object() && parsed->contains("fault"))
    {
        for (const fault_kind& kind : fault_kinds)
        {
            if (parsed->at("fault") == kind.name)
            {
                return kind.parse(*parsed);
            }
        }
    }
    return refuse(refusal_code::invalid_value, "fault: expected a known name");
}

} // namespace acaciastile
