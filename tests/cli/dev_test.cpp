#include "cli/dev/dev_summary.hpp"
#include "cli/dev/sample_mix.hpp"
#include "cli/sample_site.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

run_entry entry(
    const std::string& job,
    std::uint32_t attempt,
    run_event what,
    const std::string& worker,
    milliseconds at)
{
    run_entry made;
    made.at = instant(at);
    made.worker = worker_id(worker);
    made.attempt = {{job_id(job), 0}, attempt};
    made.what = what;
    made.needs = {1'000, 512, 0};
    made.capacity = {2'000, 1'024, 0};
    return made;
}

mix_result
result_of(const std::string& job, mix_outcome outcome, bool repeatable = true)
{
    mix_result made;
    made.item.spec.id = job_id(job);
    made.item.spec.repeatable = repeatable;
    made.item.policy = work_class::urgent;
    made.outcome = outcome;
    return made;
}

constexpr milliseconds early{100};
constexpr milliseconds later{200};

} // namespace

TEST_CASE("the same seed gives the same mix", "[dev]")
{
    const auto one = make_sample_mix(7, 100);
    const auto same = make_sample_mix(7, 100);
    const auto other = make_sample_mix(8, 100);
    REQUIRE(one.size() == same.size());
    bool differs = one.size() != other.size();
    for (std::size_t at = 0; at < one.size(); ++at)
    {
        CHECK(one[at].spec == same[at].spec);
        differs = differs || !(one[at].spec == other[at].spec);
    }
    CHECK(differs);
}

TEST_CASE("the journal shows a task in two places", "[dev]")
{
    const std::vector<run_entry> journal{
        entry("j", 1, run_event::started, "w1", early),
        entry("j", 2, run_event::started, "w2", later)};
    const auto found =
        check_journal(journal, {result_of("j", mix_outcome::ran)});
    CHECK(found.in_two_places == 1);
    CHECK_FALSE(found.clean());
}

TEST_CASE("the journal shows a worker over its capacity", "[dev]")
{
    std::vector<run_entry> journal;
    for (const char* job : {"a", "b", "c"})
    {
        journal.push_back(entry(job, 1, run_event::started, "w", early));
    }
    CHECK(check_journal(journal, {}).over_capacity == 1);
}

TEST_CASE("the journal shows a second run of what runs once", "[dev]")
{
    const std::vector<run_entry> journal{
        entry("j", 1, run_event::started, "w", early),
        entry("j", 1, run_event::failed, "w", later),
        entry("j", 2, run_event::started, "w", later)};
    const auto once = result_of("j", mix_outcome::ran, false);
    CHECK(check_journal(journal, {once}).run_again == 1);
    CHECK(check_journal(journal, {result_of("j", mix_outcome::ran)}).clean());
}

TEST_CASE("the summary adds up only where all is settled", "[dev]")
{
    const rules sample = make_sample_rules(sample_site::almaty);
    std::vector<mix_result> results{
        result_of("a", mix_outcome::ran),
        result_of("b", mix_outcome::refused),
        result_of("c", mix_outcome::cancelled),
        result_of("d", mix_outcome::still_running)};
    const std::vector<run_entry> journal{
        entry("a", 1, run_event::started, "w", early),
        entry("a", 1, run_event::succeeded, "w", later)};
    const auto whole = summarize(results, journal, sample, instant(later));
    CHECK(whole.adds_up);
    CHECK(whole.content.at("waiting").at(0).at("p50_ms") == 100);
    CHECK_THAT(
        write_summary(whole),
        Catch::Matchers::Contains(
            "4 submitted = 1 ran + 1 refused + 1 cancelled + 1 still"));
    for (const mix_outcome open : {mix_outcome::waiting, mix_outcome::unknown})
    {
        results.back().outcome = open;
        CHECK_FALSE(
            summarize(results, journal, sample, instant(later)).adds_up);
    }
}
