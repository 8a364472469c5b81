#include "golden/promises.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::golden;

namespace
{

instant at_ms(std::int64_t count)
{
    return instant{} + milliseconds{count};
}

run_entry make_run(
    std::int64_t at,
    const std::string& worker,
    const std::string& job,
    std::uint32_t number,
    run_event what)
{
    run_entry run;
    run.at = at_ms(at);
    run.worker = worker_id(worker);
    run.attempt = {{job_id(job), 0}, number};
    run.what = what;
    run.needs = {1'000, 1'024, 0};
    run.capacity = {8'000, 16'384, 0};
    return run;
}

call_noted make_call(
    const std::string& id, const std::string& kind, const std::string& text)
{
    call_noted call{id, "a", kind, "planning", "k1"};
    call.at = at_ms(1'000);
    call.expected = "done " + id;
    call.answers.push_back({at_ms(4'000), true, verdict::ran, {}, text});
    return call;
}

/// A session in which every promise holds: one job, one order, one change.
transcript make_sound()
{
    transcript played;
    played.team_of_key["k1"] = "planning";
    played.team_of_job = {{"plan", "planning"}, {"order", "planning"}};
    played.limits.push_back({at_ms(0), "planning", {2'000, 4'096, 0}});
    played.calls = {
        make_call("plan", "submit", "plan queued=1"),
        make_call("order", "request", "done order")};
    played.calls.back().repeatable = false;
    played.runs = {
        make_run(2'000, "w1", "plan", 1, run_event::started),
        make_run(2'000, "w1", "order", 1, run_event::started),
        make_run(3'000, "w1", "order", 1, run_event::succeeded),
        make_run(3'000, "w1", "plan", 1, run_event::succeeded)};
    played.changes.push_back({at_ms(500), "rules", 4});
    for (std::int64_t at = 0; at <= 60'000; at += 1'000)
    {
        played.seen.push_back(
            {at_ms(at), "a.1", 1, at < 2'000 ? 3U : 4U, true});
    }
    played.end = at_ms(60'000);
    return played;
}

/// Names of the promises that are broken in a session.
std::vector<std::string> broken(const transcript& played)
{
    std::vector<std::string> names;
    for (const promise& one : all_promises())
    {
        if (!one.check(played).empty())
        {
            names.emplace_back(one.name);
        }
    }
    return names;
}

using words = std::vector<std::string>;

} // namespace

TEST_CASE("a sound session breaks no promise", "[promises]")
{
    CHECK(broken(make_sound()).empty());
    CHECK(all_promises().size() == 10);
}

TEST_CASE("planted break: a worker over its capacity", "[promises]")
{
    transcript played = make_sound();
    for (run_entry& run : played.runs)
    {
        run.capacity = {1'500, 16'384, 0};
    }
    CHECK(broken(played) == words{"no worker over its capacity"});
}

TEST_CASE("planted break: a task in two places", "[promises]")
{
    transcript played = make_sound();
    played.limits[0].limit = {9'000, 9'000, 0};
    played.runs.insert(
        played.runs.begin() + 1,
        make_run(2'500, "w2", "plan", 2, run_event::started));
    CHECK(broken(played) == words{"no task in two places"});
}

TEST_CASE("planted break: a withdrawn key still works", "[promises]")
{
    transcript played = make_sound();
    played.keys_withdrawn["k1"] = at_ms(1'000);
    played.calls[0].at = at_ms(20'000);
    CHECK(broken(played) == words{"only valid keys"});
}

TEST_CASE("planted break: another team's key", "[promises]")
{
    transcript played = make_sound();
    played.team_of_key["k1"] = "orders";
    CHECK(broken(played) == words{"only valid keys"});
}

TEST_CASE("planted break: a team over its limit", "[promises]")
{
    transcript played = make_sound();
    played.limits[0].limit = {1'500, 4'096, 0};
    CHECK(broken(played) == words{"no team over its limit"});
}

TEST_CASE("planted break: a team over its lowered limit", "[promises]")
{
    transcript played = make_sound();
    played.limits.push_back({at_ms(1'000), "planning", {1'000, 4'096, 0}});
    // Within the time that a lowering may take both limits count.
    CHECK(broken(played).empty());
    for (run_entry& run : played.runs)
    {
        run.at += milliseconds{30'000};
    }
    CHECK(broken(played) == words{"no team over its limit"});
}

TEST_CASE("planted break: another request's answer", "[promises]")
{
    transcript played = make_sound();
    played.calls[1].answers[0].text = "done other";
    CHECK(broken(played) == words{"own whole answers"});
}

TEST_CASE("planted break: a cut answer", "[promises]")
{
    transcript played = make_sound();
    played.calls[1].answers[0].text = "done ord";
    CHECK(broken(played) == words{"own whole answers"});
}

TEST_CASE("planted break: a refusal that is not true", "[promises]")
{
    transcript played = make_sound();
    played.calls[0].answers[0].accepted = false;
    played.calls[0].answers[0].effect = verdict::not_run;
    CHECK(broken(played) == words{"true refusals"});
}

TEST_CASE("planted break: an order that runs twice", "[promises]")
{
    transcript played = make_sound();
    played.runs.push_back(
        make_run(5'000, "w2", "order", 2, run_event::started));
    CHECK(broken(played) == words{"at most once"});
}

TEST_CASE("planted break: work for a leaving worker", "[promises]")
{
    transcript played = make_sound();
    played.workers_leaving["w1"] = at_ms(1'000);
    CHECK(broken(played).empty());
    for (run_entry& run : played.runs)
    {
        run.at += milliseconds{10'000};
    }
    CHECK(broken(played) == words{"no work for leaving workers"});
}

TEST_CASE("planted break: a shutdown cuts a request off", "[promises]")
{
    transcript played = make_sound();
    played.shutdowns["a"] = at_ms(2'000);
    played.ended["a"] = at_ms(3'500);
    CHECK(broken(played) == words{"no request cut off"});
}

TEST_CASE("planted break: an instance lacks a change", "[promises]")
{
    transcript played = make_sound();
    for (revision_noted& seen : played.seen)
    {
        seen.rules = 3;
    }
    CHECK(broken(played) == words{"configuration in force"});
}

TEST_CASE("planted break: an instance goes back", "[promises]")
{
    transcript played = make_sound();
    played.seen.back().rules = 3;
    CHECK(broken(played) == words{"configuration in force"});
}
