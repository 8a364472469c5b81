#include "golden/session_check.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace acaciastile::golden
{

void check(const std::string& name, const transcript& played)
{
    for (const promise& one : all_promises())
    {
        INFO(name << ": " << one.name);
        const breaks found = one.check(played);
        CHECK(found.empty());
        for (const std::string& broken : found)
        {
            FAIL_CHECK(broken);
        }
    }
    CHECK(matches_golden(name, played));
}

void start_some(story& cell, std::size_t instances, std::size_t data_centres)
{
    for (std::size_t at = 0; at < instances; ++at)
    {
        const std::string name(1, static_cast<char>('a' + at));
        cell.start(name, at % data_centres + 1);
    }
    cell.set_up("a");
}

std::vector<std::string>
answers_to(const transcript& played, const std::string& id)
{
    std::vector<std::string> all;
    for (const call_noted& call : played.calls)
    {
        if (call.id != id || call.kind == "status")
        {
            continue;
        }
        for (const answer_noted& answer : call.answers)
        {
            all.push_back(answer.accepted ? "ok" : answer.code);
        }
    }
    return all;
}

std::size_t
ends_of(const transcript& played, const std::string& id, run_event how)
{
    auto same = [&](const run_entry& run)
    { return run.attempt.task.job.str() == id && run.what == how; };
    return static_cast<std::size_t>(
        std::count_if(played.runs.begin(), played.runs.end(), same));
}

std::size_t starts_of(const transcript& played, const std::string& id)
{
    return ends_of(played, id, run_event::started);
}

bool has_line(const transcript& played, const std::string& text)
{
    auto holds = [&text](const std::string& line)
    { return line.find(text) != std::string::npos; };
    return std::any_of(played.lines.begin(), played.lines.end(), holds);
}

} // namespace acaciastile::golden
