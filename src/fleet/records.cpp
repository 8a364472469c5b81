#include "fleet/records.hpp"

#include "codec/msgpack_fields.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciastile::fleet
{

namespace
{

using nlohmann::json;

json to_json(const resources& amount)
{
    return json::array(
        {amount.milli_processors, amount.memory_mib, amount.accelerators});
}

resources resources_from(const json& value)
{
    return {
        value.at(0).get<std::int64_t>(),
        value.at(1).get<std::int64_t>(),
        value.at(2).get<std::int64_t>()};
}

enum step_flag : unsigned
{
    flag_checkpoints = 1U,
    flag_gang = 2U,
    flag_one_rack = 4U,
    flag_speculative = 8U,
    flag_lasting = 16U,
    flag_fills = 32U
};

unsigned flags_of(const step_spec& step)
{
    return (step.checkpoints ? flag_checkpoints : 0U) |
           (step.gang ? flag_gang : 0U) | (step.one_rack ? flag_one_rack : 0U) |
           (step.speculative ? flag_speculative : 0U) |
           (step.long_running ? flag_lasting : 0U) |
           (step.uses_spare_processors ? flag_fills : 0U);
}

json to_json(const step_spec& step)
{
    return json::array(
        {step.count,
         to_json(step.each),
         step.estimate.count(),
         step.after,
         flags_of(step),
         step.required_label,
         step.data_rack,
         step.max_per_worker,
         step.max_unavailable,
         step.image,
         step.latency_target.count()});
}

step_spec step_from(const json& value)
{
    step_spec step;
    step.count = value.at(0).get<std::uint32_t>();
    step.each = resources_from(value.at(1));
    step.estimate = milliseconds(value.at(2).get<milliseconds::rep>());
    step.after = value.at(3).get<std::vector<std::uint32_t>>();
    const auto flags = value.at(4).get<unsigned>();
    step.checkpoints = (flags & flag_checkpoints) != 0;
    step.gang = (flags & flag_gang) != 0;
    step.one_rack = (flags & flag_one_rack) != 0;
    step.speculative = (flags & flag_speculative) != 0;
    step.long_running = (flags & flag_lasting) != 0;
    step.uses_spare_processors = (flags & flag_fills) != 0;
    step.required_label = value.at(5).get<std::string>();
    step.data_rack = value.at(6).get<std::string>();
    step.max_per_worker = value.at(7).get<std::uint32_t>();
    step.max_unavailable = value.at(8).get<std::uint32_t>();
    step.image = value.at(9).get<std::string>();
    step.latency_target = milliseconds(value.at(10).get<milliseconds::rep>());
    return step;
}

crash_blame blame_from(const json& value)
{
    const auto most = static_cast<unsigned>(crash_blame::sole);
    return static_cast<crash_blame>(std::min(value.get<unsigned>(), most));
}

json to_json(const task_ref& task, run_number run)
{
    return json::array(
        {task.step.job.str(),
         task.step.occurrence,
         task.step.step,
         task.index,
         run});
}

run_ref run_from(const json& value)
{
    run_ref read;
    read.task.step.job = job_id(value.at(0).get<std::string>());
    read.task.step.occurrence = value.at(1).get<std::uint32_t>();
    read.task.step.step = value.at(2).get<std::uint32_t>();
    read.task.index = value.at(3).get<std::uint32_t>();
    read.run = value.at(4).get<run_number>();
    return read;
}

json to_json(const step_progress& step)
{
    std::string done;
    for (const bool each : step.done)
    {
        done.push_back(each ? '1' : '0');
    }
    json failures = json::array();
    for (const auto& [index, runs] : step.failures)
    {
        failures.push_back(json::array({index, runs}));
    }
    json crashes = json::array();
    for (const auto& [index, counted] : step.crashes)
    {
        json runs = json::array();
        for (const crash_record::crash& each : counted)
        {
            runs.push_back(
                json::array({each.run, static_cast<int>(each.blame)}));
        }
        crashes.push_back(json::array({index, std::move(runs)}));
    }
    return json::array(
        {done, std::move(failures), step.gang_failures, std::move(crashes)});
}

step_progress step_progress_from(const json& value)
{
    step_progress step;
    for (const char each : value.at(0).get<std::string>())
    {
        step.done.push_back(each == '1');
    }
    for (const json& row : value.at(1))
    {
        step.failures.emplace(
            row.at(0).get<std::uint32_t>(),
            row.at(1).get<std::vector<run_number>>());
    }
    step.gang_failures = value.at(2).get<std::vector<run_number>>();
    if (value.size() <= 3)
    {
        return step; // Of a build that counted no crashes.
    }
    for (const json& row : value.at(3))
    {
        auto& counted = step.crashes[row.at(0).get<std::uint32_t>()];
        for (const json& each : row.at(1))
        {
            counted.push_back(
                {each.at(0).get<run_number>(), blame_from(each.at(1))});
        }
    }
    return step;
}

/// Encodes only the settings that are needed to plan a job's tasks.
json to_json(const queue_settings& settings)
{
    json advice = nullptr;
    if (settings.advice)
    {
        advice = json::array(
            {settings.advice->base.count(),
             settings.advice->per_worker.count(),
             settings.advice->valid.count()});
    }
    return json::array(
        {settings.service.str(),
         settings.priority,
         settings.attempts,
         settings.stretch,
         settings.latency_objective.count(),
         std::move(advice)});
}

queue_settings queue_settings_from(const json& value, queue_name name)
{
    queue_settings settings;
    settings.name = std::move(name);
    settings.service = service_name(value.at(0).get<std::string>());
    settings.priority = value.at(1).get<std::uint32_t>();
    settings.attempts = value.at(2).get<std::uint32_t>();
    settings.stretch = value.at(3).get<double>();
    settings.latency_objective =
        milliseconds(value.at(4).get<milliseconds::rep>());
    if (!value.at(5).is_null())
    {
        auto& advice = settings.advice.emplace();
        advice.base = decltype(advice.base)(value.at(5).at(0).get<double>());
        advice.per_worker =
            decltype(advice.per_worker)(value.at(5).at(1).get<double>());
        advice.valid = milliseconds(value.at(5).at(2).get<milliseconds::rep>());
    }
    return settings;
}

} // namespace

std::optional<crash_blame> absence_record::blame_of(const run_ref& run) const
{
    const auto at = std::find_if(
        blamed.begin(),
        blamed.end(),
        [&](const blamed_run& each) { return each.run == run; });
    return at == blamed.end() ? std::nullopt : std::optional(at->blame);
}

std::string encode(const accepted_job& job)
{
    json steps = json::array();
    for (const step_spec& step : job.request.steps)
    {
        steps.push_back(to_json(step));
    }
    return to_msgpack_text(json::array(
        {job.queue.str(),
         job.account.str(),
         job.request.payload,
         std::move(steps),
         job.request.occurrences,
         job.request.first_due.time_since_epoch().count(),
         job.request.interval.count(),
         to_json(job.settings_at_acceptance),
         job.accepted.time_since_epoch().count()}));
}

result<accepted_job>
decode_accepted_job(const std::string& id, std::string_view text)
{
    return decode_msgpack<accepted_job>(
        text,
        [&](const json& value)
        {
            accepted_job job;
            job.id = job_id(id);
            job.queue = queue_name(value.at(0).get<std::string>());
            job.account = account_name(value.at(1).get<std::string>());
            job.request.payload = value.at(2).get<std::string>();
            for (const json& step : value.at(3))
            {
                job.request.steps.push_back(step_from(step));
            }
            job.request.occurrences = value.at(4).get<std::uint32_t>();
            job.request.first_due =
                wall_time(milliseconds(value.at(5).get<milliseconds::rep>()));
            job.request.interval =
                milliseconds(value.at(6).get<milliseconds::rep>());
            job.settings_at_acceptance =
                queue_settings_from(value.at(7), job.queue);
            job.accepted =
                wall_time(milliseconds(value.at(8).get<milliseconds::rep>()));
            return job;
        });
}

std::string encode(const job_progress& progress)
{
    json occurrences = json::array();
    for (const auto& occurrence : progress.steps)
    {
        json steps = json::array();
        for (const step_progress& step : occurrence)
        {
            steps.push_back(to_json(step));
        }
        occurrences.push_back(std::move(steps));
    }
    return to_msgpack_text(json::array(
        {static_cast<int>(progress.state),
         progress.ended.time_since_epoch().count(),
         std::move(occurrences),
         progress.excess}));
}

result<job_progress> decode_job_progress(std::string_view text)
{
    return decode_msgpack<job_progress>(
        text,
        [](const json& value)
        {
            job_progress progress;
            progress.state = static_cast<job_state>(value.at(0).get<int>());
            progress.ended =
                wall_time(milliseconds(value.at(1).get<milliseconds::rep>()));
            progress.excess = value.at(3).get<bool>();
            for (const json& occurrence : value.at(2))
            {
                auto& steps = progress.steps.emplace_back();
                for (const json& step : occurrence)
                {
                    steps.push_back(step_progress_from(step));
                }
            }
            return progress;
        });
}

std::string encode(const absence_record& record)
{
    json runs = json::array();
    for (const auto& [task, run] : record.runs)
    {
        runs.push_back(to_json(task, run));
    }
    json blamed = json::array();
    for (const blamed_run& each : record.blamed)
    {
        blamed.push_back(json::array(
            {to_json(each.run.task, each.run.run),
             static_cast<int>(each.blame)}));
    }
    json fields = json::array(
        {record.incarnation,
         record.address,
         std::move(runs),
         std::move(blamed)});
    if (record.announced_drain)
    {
        fields.push_back(*record.announced_drain);
        fields.push_back(record.begun);
    }
    return to_msgpack_text(fields);
}

result<absence_record> decode_absence_record(std::string_view text)
{
    return decode_msgpack<absence_record>(
        text,
        [](const json& value)
        {
            absence_record record;
            record.incarnation = value.at(0).get<std::uint64_t>();
            record.address = value.at(1).get<std::string>();
            for (const json& row : value.at(2))
            {
                const run_ref listed = run_from(row);
                record.runs.emplace_back(listed.task, listed.run);
            }
            if (value.size() <= 3)
            {
                return record; // Of a build that blames no runs.
            }
            for (const json& row : value.at(3))
            {
                record.blamed.push_back(
                    {run_from(row.at(0)), blame_from(row.at(1))});
            }
            if (value.size() > 4)
            {
                record.announced_drain = value.at(4).get<bool>();
            }
            if (value.size() > 5)
            {
                record.begun = value.at(5).get<std::vector<std::uint32_t>>();
            }
            return record;
        });
}

std::string encode(const noted_run& noted)
{
    const run_ref& run = noted.blamed.run;
    return to_msgpack_text(json::array(
        {noted.worker.id.str(),
         noted.worker.address,
         noted.worker.incarnation,
         to_json(run.task, run.run),
         static_cast<int>(noted.blamed.blame)}));
}

result<noted_run> decode_noted_run(std::string_view text)
{
    return decode_msgpack<noted_run>(
        text,
        [](const json& value)
        {
            noted_run noted;
            noted.worker.id = worker_id(value.at(0).get<std::string>());
            noted.worker.address = value.at(1).get<std::string>();
            noted.worker.incarnation = value.at(2).get<std::uint64_t>();
            noted.blamed.run = run_from(value.at(3));
            noted.blamed.blame = blame_from(value.at(4));
            return noted;
        });
}

std::string encode(const ownership_record& record)
{
    return to_msgpack_text(json::array(
        {static_cast<int>(record.what),
         record.vm,
         record.address,
         record.token,
         record.nonce,
         record.strength}));
}

result<ownership_record> decode_ownership_record(std::string_view text)
{
    return decode_msgpack<ownership_record>(
        text,
        [](const json& value)
        {
            ownership_record record;
            record.what =
                static_cast<ownership_record::kind>(value.at(0).get<int>());
            record.vm = value.at(1).get<std::string>();
            record.address = value.at(2).get<std::string>();
            record.token = value.at(3).get<std::uint64_t>();
            record.nonce = value.at(4).get<std::string>();
            record.strength = value.at(5).get<std::uint32_t>();
            return record;
        });
}

} // namespace acaciastile::fleet
