#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

namespace fs = std::filesystem;
using nlohmann::json;

/// Statuses of curl.
constexpr int curl_connect_refused = 7;
constexpr int curl_timed_out = 28;
constexpr int http_ok = 200;

/// One call that was sent, and what came back.
struct sent_call
{
    std::string name;
    std::string id; ///< Copies of one request share it.
    std::string kind;
    bool repeatable = true;
    std::size_t tasks = 1;
    std::string instance;
    std::string phase;
    int http = -1;
    int curl = -1;
    json answer; ///< Discarded where it is no whole JSON.
};

/// Everything that the run left in its folder.
struct run_record
{
    std::vector<sent_call> calls;
    std::vector<json> journal;
    std::map<std::string, std::string> failure; ///< By instance.
    std::map<std::string, std::vector<json>> statuses;
};

using counts = std::map<std::string, std::size_t>;

/// Collects what is broken; prints each once.
class findings
{
public:
    void add(const std::string& promise, const std::string& what)
    {
        ++broken_;
        std::printf("BROKEN %s: %s\n", promise.c_str(), what.c_str());
    }

    [[nodiscard]] std::size_t broken() const noexcept { return broken_; }

private:
    std::size_t broken_ = 0;
};

std::string read_text(const fs::path& file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), {}};
}

json read_json(const fs::path& file)
{
    return json::parse(read_text(file), nullptr, false);
}

std::vector<sent_call> read_calls(const fs::path& folder)
{
    std::vector<sent_call> calls;
    std::map<std::string, std::size_t> by_name;
    std::ifstream sent(folder / "sent.txt");
    sent_call each;
    while (sent >> each.name >> each.id >> each.kind >> each.repeatable >>
           each.tasks >> each.instance >> each.phase)
    {
        by_name[each.name] = calls.size();
        calls.push_back(each);
    }
    std::ifstream codes(folder / "codes.txt");
    std::string name;
    int http = 0;
    int curl = 0;
    while (codes >> name >> http >> curl)
    {
        sent_call& call = calls.at(by_name.at(name));
        call.http = http;
        call.curl = curl;
        call.answer = read_json(folder / "answers" / name);
    }
    return calls;
}

std::vector<json> read_journal(const fs::path& folder)
{
    std::vector<json> journal;
    for (std::size_t page = 0;; ++page)
    {
        const fs::path file =
            folder / "journal" / (std::to_string(page) + ".json");
        if (!fs::exists(file))
        {
            return journal;
        }
        const json content = read_json(file);
        for (const json& each : content.at("entries"))
        {
            journal.push_back(each);
        }
    }
}

run_record read_run(const fs::path& folder)
{
    run_record run;
    run.calls = read_calls(folder);
    run.journal = read_journal(folder);
    std::ifstream failures(folder / "failures.txt");
    std::string instance;
    std::string kind;
    while (failures >> instance >> kind)
    {
        run.failure[instance] = kind;
    }
    for (const auto& job : fs::directory_iterator(folder / "status"))
    {
        for (const auto& file : fs::directory_iterator(job.path()))
        {
            run.statuses[job.path().filename()].push_back(read_json(file));
        }
    }
    return run;
}

bool is_start(const json& entry)
{
    return entry.at("what") == "started";
}

std::string task_of(const json& entry)
{
    return entry.at("job").get<std::string>() + "/" + entry.at("task").dump();
}

counts starts_by_job(const run_record& run)
{
    counts starts;
    for (const json& entry : run.journal)
    {
        starts[entry.at("job")] += is_start(entry) ? 1 : 0;
    }
    return starts;
}

std::string verdict_of(const sent_call& call)
{
    if (!call.answer.is_object() || !call.answer.contains("error"))
    {
        return "";
    }
    return call.answer["error"].value("verdict", "");
}

/// A repeatable request may run in two places; nothing else may.
void check_places(const run_record& run, findings& found)
{
    std::set<std::string> may_repeat;
    for (const sent_call& call : run.calls)
    {
        if (call.kind == "request" && call.repeatable)
        {
            may_repeat.insert(call.id);
        }
    }
    std::map<std::string, int> running;
    for (const json& entry : run.journal)
    {
        int& here = running[task_of(entry)];
        here += is_start(entry) ? 1 : -1;
        if (here > 1 && !may_repeat.contains(entry.at("job")))
        {
            found.add("one place", entry.dump());
        }
    }
}

void check_capacity(const run_record& run, findings& found)
{
    std::map<std::string, std::map<std::string, std::int64_t>> used;
    for (const json& entry : run.journal)
    {
        const std::string worker = entry.at("worker");
        for (const auto& [what, amount] : entry.at("needs").items())
        {
            std::int64_t& here = used[worker][what];
            const auto needed = amount.get<std::int64_t>();
            here += is_start(entry) ? needed : -needed;
            if (here > entry.at("capacity").value(what, std::int64_t{0}))
            {
                found.add("capacity", worker + " " + what);
            }
        }
    }
}

void check_starts(const run_record& run, const counts& starts, findings& found)
{
    for (const sent_call& call : run.calls)
    {
        const auto at = starts.find(call.id);
        const std::size_t started = at == starts.end() ? 0 : at->second;
        if (!call.repeatable && started > 1)
        {
            found.add("at most once", call.id);
        }
        if (call.http == http_ok && started < call.tasks)
        {
            found.add("accepted work runs", call.id);
        }
        if (call.kind == "job" && call.phase == "healthy" &&
            call.http == http_ok && started != call.tasks)
        {
            found.add("runs once", call.id);
        }
    }
}

/// A `not_run` is false where the id was started and no copy of it says that
/// it may have run.
void check_not_run(const run_record& run, const counts& starts, findings& found)
{
    std::map<std::string, bool> only_not_run;
    for (const sent_call& call : run.calls)
    {
        const bool said = verdict_of(call) == "not_run";
        const auto [at, first] = only_not_run.emplace(call.id, said);
        at->second = at->second && said;
    }
    for (const auto& [id, only] : only_not_run)
    {
        const auto at = starts.find(id);
        if (only && at != starts.end() && at->second > 0)
        {
            found.add("not_run is true", id);
        }
    }
}

void check_accepted(const sent_call& call, findings& found)
{
    const std::string about = call.name + " " + call.answer.dump();
    if (call.answer.value("job", "") != call.id)
    {
        found.add("own answer", about);
    }
    const std::string expected = "answer-of-" + call.id;
    if (call.kind == "request" && call.answer.value("answer", "") != expected)
    {
        found.add("own answer", about);
    }
}

/// No answer at all is allowed where the instance was killed, and from one
/// that was paused after the caller's own bound. One that stops in an orderly
/// way may only refuse the connection.
bool may_be_silent(const run_record& run, const sent_call& call)
{
    const auto at = run.failure.find(call.instance);
    if (at == run.failure.end())
    {
        return false;
    }
    return at->second == "killed" ||
           (at->second == "paused" && call.curl == curl_timed_out) ||
           (at->second == "stopped" && call.curl == curl_connect_refused);
}

void check_answer(const run_record& run, const sent_call& call, findings& found)
{
    const std::string about = call.name + " at " + call.instance + ", http " +
                              std::to_string(call.http) + ", curl " +
                              std::to_string(call.curl);
    if (call.curl != 0 || call.http <= 0)
    {
        if (!may_be_silent(run, call))
        {
            found.add("whole answers", about);
        }
    }
    else if (!call.answer.is_object())
    {
        found.add("whole answers", about);
    }
    else if (call.http == http_ok)
    {
        check_accepted(call, found);
    }
    else if (verdict_of(call).empty())
    {
        found.add("typed refusals", about);
    }
}

/// What was sent after readiness went off must be refused and not started.
void check_after_readiness(
    const run_record& run, const counts& starts, findings& found)
{
    for (const sent_call& call : run.calls)
    {
        if (call.phase == "unready" &&
            (call.http == http_ok || starts.contains(call.id)))
        {
            found.add("nothing new after readiness", call.name);
        }
    }
}

/// Every instance that lives says the same of each job: all tasks succeeded.
void check_statuses(const run_record& run, findings& found)
{
    for (const sent_call& call : run.calls)
    {
        if (call.kind != "job" || call.http != http_ok)
        {
            continue;
        }
        const auto at = run.statuses.find(call.id);
        if (at == run.statuses.end())
        {
            found.add("status everywhere", call.id + " was not asked for");
            continue;
        }
        for (const json& status : at->second)
        {
            const bool whole = status.is_object() && status.contains("tasks");
            if (!whole || status["tasks"].value("succeeded", std::size_t{0}) !=
                              call.tasks)
            {
                found.add("status everywhere", call.id + " " + status.dump());
            }
        }
    }
}

std::string outcome_of(const sent_call& call)
{
    if (call.curl != 0 || call.http <= 0)
    {
        return "no answer (curl " + std::to_string(call.curl) + ")";
    }
    if (call.http == http_ok)
    {
        return call.kind == "job" ? "submitted" : "ran and answered";
    }
    const json refusal = call.answer.is_object()
                             ? call.answer.value("error", json::object())
                             : json::object();
    return "refused " + refusal.value("code", "?") + ", " + verdict_of(call);
}

/// An answer that never came is no broken promise, but a fault where nothing
/// had failed.
void print_untold(const run_record& run)
{
    std::set<std::string> succeeded;
    for (const json& entry : run.journal)
    {
        if (entry.at("what") == "succeeded")
        {
            succeeded.insert(entry.at("job"));
        }
    }
    const auto untold = std::count_if(
        run.calls.begin(),
        run.calls.end(),
        [&succeeded](const sent_call& call)
        {
            return call.kind == "request" && call.http != http_ok &&
                   succeeded.contains(call.id);
        });
    std::printf(
        "requests that succeeded and whose caller was not told: %td\n", untold);
}

void print_summary(const run_record& run, const counts& starts)
{
    std::map<std::string, counts> by_phase;
    for (const sent_call& call : run.calls)
    {
        ++by_phase[call.phase][outcome_of(call)];
    }
    for (const auto& [phase, outcomes] : by_phase)
    {
        for (const auto& [outcome, count] : outcomes)
        {
            std::printf(
                "%-10s %-44s %5zu\n", phase.c_str(), outcome.c_str(), count);
        }
    }
    counts events;
    for (const json& entry : run.journal)
    {
        ++events[entry.at("what")];
    }
    for (const auto& [what, count] : events)
    {
        std::printf("journal    %-44s %5zu\n", what.c_str(), count);
    }
    std::printf("ids started: %zu\n", starts.size());
    print_untold(run);
}

/// Each call has one outcome, each start at most one end, and what ran was
/// asked for.
void check_counts(const run_record& run, const counts& starts, findings& found)
{
    std::set<std::string> asked;
    for (const sent_call& call : run.calls)
    {
        asked.insert(call.id);
        if (call.curl < 0)
        {
            found.add("counts", call.name + " has no outcome");
        }
    }
    for (const auto& [id, count] : starts)
    {
        if (!asked.contains(id))
        {
            found.add("counts", id + " ran and nobody asked for it");
        }
    }
    std::int64_t running = 0;
    for (const json& entry : run.journal)
    {
        running += is_start(entry) ? 1 : -1;
    }
    if (running < 0)
    {
        found.add("counts", "more ends than starts");
    }
}

} // namespace

/// `check_journal FOLDER LEAST_REQUESTS`: holds what a run of real processes
/// left in a folder against the promises. Status 1 where one is broken.
int main(int count, char** arguments)
{
    constexpr int needed_arguments = 3;
    if (count != needed_arguments)
    {
        std::fputs("check_journal FOLDER LEAST_REQUESTS\n", stderr);
        return 2;
    }
    const run_record run = read_run(arguments[1]);
    const counts starts = starts_by_job(run);
    findings found;
    check_places(run, found);
    check_capacity(run, found);
    check_starts(run, starts, found);
    check_not_run(run, starts, found);
    for (const sent_call& call : run.calls)
    {
        check_answer(run, call, found);
    }
    check_after_readiness(run, starts, found);
    check_statuses(run, found);
    check_counts(run, starts, found);
    const auto requests = static_cast<std::size_t>(std::count_if(
        run.calls.begin(),
        run.calls.end(),
        [](const sent_call& call) { return call.kind == "request"; }));
    if (requests < std::stoul(arguments[2]))
    {
        found.add("counts", "too few requests were sent");
    }
    print_summary(run, starts);
    std::printf(
        "calls: %zu, of them requests: %zu; broken promises: %zu\n",
        run.calls.size(),
        requests,
        found.broken());
    return found.broken() == 0 ? 0 : 1;
}
