#include "support/protocol_model.hpp"

#include <absl/container/flat_hash_set.h>
#include <catch2/catch.hpp>
#include <xxhash.h>

using namespace acaciastile;
using namespace acaciastile::protocol;

namespace
{

/// The predecessor of a state and the step that first reached it.
struct origin
{
    std::size_t from = 0;
    std::string step;
};

struct finding
{
    std::size_t states = 0;
    std::size_t steps = 0;  ///< Depth of the breadth-first search.
    bool exhausted = false; ///< All reachable states were visited.
    std::string broken;     ///< The violated invariant; empty if none.
    std::string trace;
};

std::pair<std::uint64_t, std::uint64_t> digest_of(const std::string& key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return {hash.high64, hash.low64};
}

std::string trace_of(const std::vector<origin>& origins, std::size_t at)
{
    std::vector<std::string> lines;
    for (; at != 0; at = origins[at].from)
    {
        lines.push_back(origins[at].step);
    }
    std::string text;
    for (auto line = lines.rbegin(); line != lines.rend(); ++line)
    {
        text += *line + "\n";
    }
    return text;
}

/// Visits all states within the bounds breadth-first until one violates an
/// invariant. States are identified by the 128-bit hash of their key.
finding search(const bounds& limits)
{
    model protocol(limits);
    finding result;
    absl::flat_hash_set<std::pair<std::uint64_t, std::uint64_t>> seen;
    std::vector<origin> origins{{}};
    std::vector<std::pair<std::size_t, state>> layer{{0, protocol.first()}};
    seen.insert(digest_of(protocol.first().key()));
    while (!layer.empty() && result.steps < limits.steps)
    {
        ++result.steps;
        std::vector<std::pair<std::size_t, state>> next;
        for (const auto& [number, from] : layer)
        {
            protocol.steps(
                from,
                [&, origin = number](const std::string& step, state reached)
                {
                    if (!result.broken.empty() ||
                        !seen.insert(digest_of(reached.key())).second)
                    {
                        return;
                    }
                    origins.push_back({origin, step});
                    result.broken = protocol.broken(reached);
                    if (!result.broken.empty())
                    {
                        result.trace = trace_of(origins, origins.size() - 1);
                    }
                    if (result.steps < limits.steps)
                    {
                        next.emplace_back(
                            origins.size() - 1, std::move(reached));
                    }
                });
            if (!result.broken.empty())
            {
                result.states = seen.size();
                return result;
            }
        }
        layer = std::move(next);
    }
    result.exhausted = result.steps < limits.steps;
    result.states = seen.size();
    return result;
}

std::string describe(const bounds& limits, const finding& result)
{
    return std::to_string(result.states) + " states within " +
           std::to_string(result.steps) + " steps, " +
           std::to_string(limits.workers) + " workers, " +
           std::to_string(limits.messages) + " messages in flight, " +
           std::to_string(limits.ticks) + " ticks, " +
           std::to_string(limits.claims) + " further claims, " +
           std::to_string(limits.restarts) + " restarts, " +
           std::to_string(limits.attempts) + " attempts, " +
           (limits.repeatable ? "repeatable" : "not repeatable") +
           (result.exhausted ? "; no state left" : "; stopped at that depth");
}

void check_holds(const bounds& limits)
{
    const finding result = search(limits);
    WARN(describe(limits, result));
    INFO(result.broken << "\n" << result.trace);
    CHECK(result.broken.empty());
}

void check_violation_found(const bounds& limits)
{
    const finding result = search(limits);
    WARN(
        describe(limits, result) << "; found: " << result.broken << "\n"
                                 << result.trace);
    CHECK_FALSE(result.broken.empty());
}

/// Bounds that allow one kind of failure only, so that the search can visit all
/// reachable states.
bounds take_over()
{
    bounds limits;
    limits.steps = 60;
    limits.ticks = 0;
    limits.claims = 1;
    limits.restarts = 0;
    limits.timeouts = 0;
    limits.give_ups = 0;
    return limits;
}

bounds restarted_worker()
{
    bounds limits = take_over();
    limits.restarts = 1;
    limits.messages = 1;
    return limits;
}

bounds lapse_on_one_of_two()
{
    bounds limits = take_over();
    limits.workers = 2;
    limits.ticks = 3;
    limits.claims = 0;
    limits.timeouts = 1;
    return limits;
}

bounds take_over_of_two()
{
    bounds limits = take_over();
    limits.workers = 2;
    limits.messages = 1;
    return limits;
}

bounds stale_owner_and_restart()
{
    bounds limits = take_over();
    limits.workers = 2;
    limits.restarts = 1;
    limits.messages = 1;
    limits.notices = true;
    limits.assigned = true;
    return limits;
}

bounds all_together()
{
    bounds limits;
    limits.workers = 2;
    limits.steps = 10;
    return limits;
}

} // namespace

TEST_CASE("no order of steps runs a task twice", "[protocol]")
{
    const bool repeatable = GENERATE(true, false);
    bounds limits = GENERATE(
        take_over(),
        restarted_worker(),
        lapse_on_one_of_two(),
        take_over_of_two(),
        all_together());
    limits.repeatable = repeatable;
    check_holds(limits);
}

/// After it has sealed a restarted worker, an owner starts nothing there, not
/// even attempts assigned before, until it has read the log. Without this rule
/// a stale owner could start a task that a newer owner runs elsewhere.
TEST_CASE("a stale owner starts nothing on a restarted worker", "[protocol]")
{
    bounds limits = stale_owner_and_restart();
    limits.repeatable = GENERATE(true, false);
    check_holds(limits);
}

TEST_CASE("the search finds each rule that is left out", "[protocol]")
{
    SECTION("the worker does not check the epoch")
    {
        bounds limits = take_over();
        limits.broken = disabled_rule::worker_checks_epoch;
        check_violation_found(limits);
    }
    SECTION("the worker does not check the incarnation")
    {
        bounds limits = restarted_worker();
        limits.messages = 2;
        limits.broken = disabled_rule::worker_checks_incarnation;
        check_violation_found(limits);
    }
    SECTION("the worker takes messages past their lease")
    {
        bounds limits = lapse_on_one_of_two();
        limits.broken = disabled_rule::worker_checks_lease;
        check_violation_found(limits);
    }
    SECTION("the owner starts before it has read the assignment")
    {
        bounds limits = take_over_of_two();
        limits.broken = disabled_rule::owner_reads_assignment;
        check_violation_found(limits);
    }
    SECTION("the owner does not wait for the lapse")
    {
        bounds limits = lapse_on_one_of_two();
        limits.broken = disabled_rule::owner_waits_for_lapse;
        check_violation_found(limits);
    }
    SECTION("the owner does not read the log after a seal")
    {
        bounds limits = stale_owner_and_restart();
        limits.broken = disabled_rule::owner_confirms_seal;
        check_violation_found(limits);
    }
}
