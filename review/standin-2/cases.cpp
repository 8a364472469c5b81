#include "cases.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review
{

using nlohmann::json;

namespace
{

json step(int count, int cpu, int memory_mb, int estimate_ms)
{
    return {
        {"count", count},
        {"cpu", cpu},
        {"memMb", memory_mb},
        {"estRuntimeMs", estimate_ms}};
}

std::string job_body(const std::vector<json>& steps)
{
    return json{{"taskSpec", "work"}, {"steps", json(steps)}}.dump();
}

/// Submits a job to the VMs in turn, as a client that repeats its request does.
bool submit(site& on, const std::string& path, const std::string& body)
{
    for (int tries = 0; tries < 6; ++tries)
    {
        const reply got = on.client(
            static_cast<std::size_t>(tries) % on.vm_count(),
            "POST",
            path,
            body,
            3'000);
        if (got.status / 100 == 2)
        {
            return true;
        }
        on.sleep_ms(500);
    }
    return false;
}

/// Tasks that run now, on all executors.
std::set<std::string> running_tasks(site& on)
{
    std::set<std::string> running;
    for (const run_event& each : on.events())
    {
        if (each.what == run_event::kind::started)
        {
            running.insert(each.task);
        }
        else if (each.what == run_event::kind::ended)
        {
            running.erase(each.task);
        }
    }
    return running;
}

/// Sends jobs at a steady rate, each once, to the VMs in turn. Returns how many
/// were accepted.
int send_jobs(
    site& on,
    int jobs,
    int per_second,
    const std::function<const std::string*(int)>& body_of)
{
    const auto begun = clock::now();
    std::atomic<int> next{0};
    std::atomic<int> accepted{0};
    std::vector<std::thread> senders;
    for (int n = 0; n < 8; ++n)
    {
        senders.emplace_back(
            [&]
            {
                for (int at = next++; at < jobs; at = next++)
                {
                    std::this_thread::sleep_until(
                        begun +
                        std::chrono::milliseconds(at * 1'000 / per_second));
                    char path[32];
                    std::snprintf(path, sizeof path, "/jobs/%016x", at + 1);
                    const std::string& body = *body_of(at);
                    const reply got = on.client(
                        static_cast<std::size_t>(at) % on.vm_count(),
                        "POST",
                        path,
                        body,
                        3'000,
                        body.find("gang") == std::string::npos ? "small"
                                                               : "hopeless");
                    accepted += got.status == 200 ? 1 : 0;
                }
            });
    }
    for (std::thread& each : senders)
    {
        each.join();
    }
    on.note(
        "jobs accepted: " + std::to_string(accepted) + " of " +
        std::to_string(jobs));
    return accepted;
}

std::string state_until_final(site& on, const std::string& path, int span_ms)
{
    std::string state;
    on.wait_until(
        span_ms,
        [&]
        {
            state = on.state_of(path);
            on.sleep_ms(400);
            return state == "completed" || state == "failed" ||
                   state == "canceled";
        });
    return state;
}

/// The store does not answer the append of a job and carries it out seconds
/// later. The client gives up and cancels meanwhile.
int late_cancel(site& on)
{
    constexpr int late_ms = 5'500;
    constexpr int cancel_ms = 3'000;
    const std::string job = "5c0e7a21d94b36f8";
    const std::string path = "/jobs/" + job;
    on.terms().work_of = [](const std::string&) { return work{500, false}; };
    for (int n = 0; n < 4; ++n)
    {
        on.add_executor(16'000, 65'536, {"plain", "r1-1"});
    }
    if (!on.start(2, {{"work", "/jobs/", 4}}))
    {
        return could_not_run;
    }
    const std::string body = job_body({step(1, 1'000, 512, 500)});
    if (!submit(on, "/jobs/0000000000000001", body) ||
        state_until_final(on, "/jobs/0000000000000001", 10'000) != "completed")
    {
        return could_not_run;
    }
    std::atomic<bool> losing{on.trouble()};
    if (on.trouble())
    {
        on.platform().fate = [&](const std::string&, const std::string& records)
        {
            const bool ours = records.find(job) != std::string::npos;
            return losing && ours ? append_fate{true, late_ms} : append_fate{};
        };
    }
    // Other work, so that the store answers most writes.
    std::atomic<bool> ended{false};
    std::thread others(
        [&]
        {
            for (int n = 2; !ended && n < 90; ++n)
            {
                char id[17];
                std::snprintf(id, sizeof id, "%016x", n);
                on.client(
                    static_cast<std::size_t>(n) % 2,
                    "POST",
                    std::string("/jobs/") + id,
                    body,
                    1'000);
                on.sleep_ms(20);
            }
        });
    on.sleep_ms(300);
    const int writes = on.platform().writes;
    const int lost = on.platform().lost_writes;
    const reply posted = on.client(0, "POST", path, body, 400);
    on.sleep_ms(100);
    on.note(
        "writes to the store meanwhile: " +
        std::to_string(on.platform().writes - writes) + ", without answer: " +
        std::to_string(on.platform().lost_writes - lost));
    losing = false;
    reply cancelled;
    const bool acknowledged = on.wait_until(
        1'500,
        [&]
        {
            cancelled = on.client(1, "DELETE", path, "", 1'000);
            return cancelled.status / 100 == 2 || cancelled.status == 410;
        });
    const auto cancelled_at = clock::now();
    on.sleep_ms(9'000);
    ended = true;
    others.join();
    if (!acknowledged)
    {
        return could_not_run;
    }
    on.note("the state of the job at the end: " + on.state_of(path));
    for (const run_event& each : on.starts_of(job))
    {
        const auto after =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                each.at - cancelled_at)
                .count();
        if (after > cancel_ms)
        {
            on.note(
                "a task of the job starts " + std::to_string(after) +
                " ms after its cancelling was acknowledged");
            return rule_broken;
        }
    }
    static_cast<void>(posted);
    return rule_held;
}

/// Another system writes entries to the registry that name no executor, with
/// keys that have an ampersand. The VMs are then restarted in turn.
int odd_keys(site& on)
{
    constexpr int entries = 600;
    constexpr int finish_ms = 14'000;
    on.terms().work_of = [](const std::string&) { return work{500, false}; };
    for (int n = 0; n < 4; ++n)
    {
        on.add_executor(16'000, 65'536, {"plain", "r1-1"});
    }
    if (!on.start(2, {{"work", "/jobs/", 4}}))
    {
        return could_not_run;
    }
    const std::string body = job_body({step(2, 1'000, 512, 500)});
    const auto completes = [&](const std::string& path)
    {
        return submit(on, path, body) &&
               state_until_final(on, path, finish_ms) == "completed";
    };
    if (!completes("/jobs/0000000000000001"))
    {
        return could_not_run;
    }
    if (on.trouble())
    {
        on.note("another system writes 600 entries to the registry");
        for (int n = 0; n < entries; ++n)
        {
            char key[40];
            std::snprintf(key, sizeof key, "pool=a&host=%03d", n);
            on.platform().put("keyed.servers", key, "not an executor's entry");
        }
        on.sleep_ms(2'000);
    }
    if (!completes("/jobs/0000000000000002"))
    {
        on.note("the job is not completed before any restart");
        return could_not_run;
    }
    for (std::size_t vm = 0; vm < on.vm_count(); ++vm)
    {
        if (!on.restart_vm(vm))
        {
            on.note("the VM is not ready in time");
        }
    }
    const std::string path = "/jobs/0000000000000003";
    const bool accepted = submit(on, path, body);
    const std::string state =
        accepted ? state_until_final(on, path, finish_ms) : "not accepted";
    for (std::size_t vm = 0; vm < on.vm_count(); ++vm)
    {
        on.note(
            "memory of VM " + std::to_string(vm + 1) + ": " +
            std::to_string(on.memory_kb_of(vm)) + " KB");
    }
    on.note(
        "the job is " + state + "; an earlier job, completed, is shown as " +
        on.state_of("/jobs/0000000000000001"));
    if (!accepted)
    {
        return could_not_run;
    }
    const bool answered =
        state == "completed" || state == "running" || state == "queued";
    const bool started = !on.starts_of("0000000000000003").empty();
    return answered && started ? rule_held : rule_broken;
}

/// Large jobs come at once and leave a sliver of many executors free. A small
/// job comes while the other executors are idle.
int slivers(site& on)
{
    constexpr int executors = 1'100;
    constexpr int filled = 540;
    constexpr int tasks_each = 3; // On one executor.
    constexpr int per_job = 60;
    constexpr int finish_ms = 14'000;
    const std::string job = "5c0e7a21d94b36f8";
    on.terms().work_of = [&](const std::string& task) {
        return work{task.starts_with(job) ? 500 : 45'000, false};
    };
    for (int n = 0; n < executors; ++n)
    {
        on.add_executor(
            32'000, 131'072, {"plain", "r1-" + std::to_string(n / 12)});
    }
    if (!on.start(2, {{"work", "/jobs/", 4}}))
    {
        return could_not_run;
    }
    if (on.trouble())
    {
        on.note("large jobs come at once");
        const json large = step(per_job, 10'400, 1'024, 16'000);
        for (int n = 0; n < filled * tasks_each / per_job; ++n)
        {
            char path[32];
            std::snprintf(path, sizeof path, "/jobs/%016x", n + 1);
            if (!submit(on, path, job_body({large})))
            {
                return could_not_run;
            }
        }
        if (!on.wait_until(
                30'000,
                [&]
                { return on.starts_of("0").size() >= filled * tasks_each; }))
        {
            on.note(
                "only " + std::to_string(on.starts_of("0").size()) +
                " of the large jobs' tasks have started");
            return could_not_run;
        }
        on.sleep_ms(1'000);
    }
    std::map<std::string, int> runs_of;
    for (const run_event& each : on.starts_of("0"))
    {
        ++runs_of[each.executor];
    }
    on.note(
        "of " + std::to_string(executors) + " executors of 32 cores, " +
        std::to_string(runs_of.size()) + " have runs, of 31.2 cores each; " +
        std::to_string(executors - static_cast<int>(runs_of.size())) +
        " are idle");
    if (runs_of.size() * 2 >= executors)
    {
        return could_not_run; // Not under half of the service is in use.
    }
    if (!submit(on, "/jobs/" + job, job_body({step(1, 900, 512, 500)})))
    {
        return could_not_run;
    }
    const auto accepted = clock::now();
    const bool started = on.wait_until(
        finish_ms + 3'000, [&] { return !on.starts_of(job).empty(); });
    on.note(
        "the small job is shown as " + on.state_of("/jobs/" + job) + "; " +
        (started ? "its task has started after "
                 : "its task has not started for ") +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           clock::now() - accepted)
                           .count()) +
        " ms");
    return started ? rule_held : rule_broken;
}

/// Beside usual work come jobs that can never be done: gangs that require a
/// label which no executor has.
int hopeless_gangs(site& on)
{
    constexpr int executors = 350;
    constexpr int jobs = 2'600;
    constexpr int hopeless_each = 20; // One job in so many: 5%.
    constexpr int per_second = 100;
    constexpr int finish_ms = 14'000;
    on.terms().work_of = [](const std::string&) { return work{300, false}; };
    for (int n = 0; n < executors; ++n)
    {
        on.add_executor(
            32'000, 65'536, {"plain", "r1-" + std::to_string(n / 20)});
    }
    if (!on.start(2, {{"work", "/jobs/", 4}}))
    {
        return could_not_run;
    }
    json gang = step(8, 9'000, 13'000, 30'000);
    gang["gang"] = true;
    gang["requires"] = "other";
    std::vector<json> steps(3, gang);
    steps[1]["after"] = json::array({0});
    steps[2]["after"] = json::array({1});
    const std::string small = job_body({step(1, 1'000, 512, 300)});
    const std::string hopeless = job_body(steps);
    on.note("a small job is " + small);
    on.note("a hopeless job is " + hopeless);
    on.note(
        "usual work from now on, " + std::to_string(per_second) +
        " jobs a second" +
        (on.trouble() ? "; one in twenty can never be done" : ""));
    const int accepted = send_jobs(
        on,
        jobs,
        per_second,
        [&](int at) {
            return on.trouble() && at % hopeless_each == 0 ? &hopeless : &small;
        });
    const std::string job = "5c0e7a21d94b36f8";
    if (!submit(on, "/jobs/" + job, small))
    {
        return could_not_run;
    }
    on.sleep_ms(finish_ms + 3'000);
    std::map<std::string, int> seen;
    for (const run_event& each : on.events())
    {
        if (each.what == run_event::kind::started)
        {
            ++seen[each.task.substr(0, 16)];
        }
    }
    const std::size_t running = running_tasks(on).size();
    int waiting = 0;
    for (int at = 0; at < jobs; ++at)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", at + 1);
        const bool is_hopeless = on.trouble() && at % hopeless_each == 0;
        waiting += !is_hopeless && !seen.contains(id) ? 1 : 0;
    }
    on.note(
        "small jobs that have not started: " + std::to_string(waiting) +
        "; the last one is shown as " + on.state_of("/jobs/" + job) +
        "; tasks that run: " + std::to_string(running));
    if (accepted < jobs)
    {
        return could_not_run;
    }
    const bool has_room = running * 2 < executors * 32;
    return (waiting == 0 && seen.contains(job)) || !has_room ? rule_held
                                                             : rule_broken;
}

/// A job of many occurrences, all due already, comes beside small jobs.
int many_occurrences(site& on)
{
    constexpr int occurrences = 11'000;
    constexpr int interval_ms = 300'000;
    constexpr int executors = 4;
    constexpr int small_jobs = 3'000;
    constexpr int per_second = 150;
    constexpr int finish_ms = 14'000;
    constexpr int ack_ms = 4'000;
    const std::string recurring_job = "aa00000000000000";
    on.terms().work_of = [&](const std::string& task) {
        return work{task.starts_with(recurring_job) ? 1'000 : 100, false};
    };
    for (int n = 0; n < executors; ++n)
    {
        on.add_executor(16'000, 65'536, {n == 0 ? "batch" : "plain", "r1-1"});
    }
    if (!on.start(2, {{"work", "/jobs/", 4}}))
    {
        return could_not_run;
    }
    json each = step(3, 1'000, 512, 1'000);
    each["requires"] = "batch";
    std::vector<json> steps(3, each);
    steps[1]["after"] = json::array({0});
    steps[2]["after"] = json::array({1});
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const json recurring{
        {"taskSpec", "work"},
        {"steps", json(steps)},
        {"repeatCount", on.trouble() ? occurrences : 11},
        {"startAtMs", now - std::int64_t{occurrences} * interval_ms},
        {"intervalMs", interval_ms}};
    if (!submit(on, "/jobs/" + recurring_job, recurring.dump()))
    {
        return could_not_run;
    }
    on.sleep_ms(3'000);
    const std::string small = job_body({step(1, 1'000, 512, 100)});
    on.note("usual work from now on; a small job is " + small);
    static_cast<void>(
        send_jobs(on, small_jobs, per_second, [&](int) { return &small; }));
    int unanswered = 0;
    for (int n = 0; n < 3; ++n)
    {
        const std::string path = "/jobs/cc0000000000000" + std::to_string(n);
        if (!submit(on, path, small))
        {
            return could_not_run;
        }
        const bool acknowledged = on.wait_until(
            ack_ms,
            [&]
            {
                const reply got = on.client(0, "DELETE", path, "", ack_ms);
                return got.status / 100 == 2 || got.status == 410;
            });
        unanswered += acknowledged ? 0 : 1;
    }
    const std::string job = "bb00000000000000";
    if (!submit(on, "/jobs/" + job, small))
    {
        return could_not_run;
    }
    on.wait_until(
        finish_ms + 3'000, [&] { return !on.starts_of(job).empty(); });
    const bool started = !on.starts_of(job).empty();
    // The tasks take one core each.
    const std::set<std::string> running = running_tasks(on);
    const bool has_room = running.size() * 2 < executors * 16;
    on.note(
        "the last small job " +
        std::string(started ? "has started" : "has not started") +
        "; tasks that run on all executors: " + std::to_string(running.size()) +
        "; cancels without an answer: " + std::to_string(unanswered) + " of 3");
    return started || !has_room ? rule_held : rule_broken;
}

} // namespace

const std::map<std::string, case_function>& all_cases()
{
    static const std::map<std::string, case_function> cases{
        {"late-cancel", late_cancel},
        {"odd-keys", odd_keys},

        {"many-occurrences", many_occurrences},
        {"slivers", slivers},
        {"hopeless-gangs", hopeless_gangs}};
    return cases;
}

} // namespace review
