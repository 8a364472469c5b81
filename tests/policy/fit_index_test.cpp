#include "policy/fit_index.hpp"
#include "support/property_report.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace acaciastile;
using impl::fit_index;
using impl::worker_slot;

namespace
{

/// An index beside a plain list of the same workers.
struct fleet
{
    fit_index index;
    std::map<worker_slot, resources> free;

    void set(worker_slot worker, const resources& amount)
    {
        index.set(worker, amount);
        free[worker] = amount;
    }

    void erase(worker_slot worker)
    {
        index.erase(worker);
        free.erase(worker);
    }

    /// Workers that the index finds for a size; at most `most`.
    [[nodiscard]] std::set<worker_slot> found(
        const resources& size,
        std::size_t rotation = 0,
        std::size_t most = std::size_t(-1)) const
    {
        std::set<worker_slot> workers;
        index.visit(
            size,
            [&](const fit_index::candidate& each)
            {
                CHECK(workers.insert(each.worker).second);
                return workers.size() < most;
            },
            rotation);
        return workers;
    }

    /// Workers that fit the size, by looking at each of them.
    [[nodiscard]] std::set<worker_slot> fitting(const resources& size) const
    {
        std::set<worker_slot> workers;
        for (const auto& [worker, amount] : free)
        {
            if (size.fits_in(amount))
            {
                workers.insert(worker);
            }
        }
        return workers;
    }
};

constexpr resources idle{32'000, 131'072, 0};

} // namespace

// Guards against a small job that waits beside idle workers: a search gave up
// after 512 workers of its size's cell that do not fit, in each round the same
// ones (review/10).
TEST_CASE("idle workers are found behind many that do not fit", "[policy]")
{
    fleet at;
    const worker_slot full = GENERATE(540U, 1'024U, 5'000U);
    for (worker_slot worker = 0; worker < full; ++worker)
    {
        at.set(worker, {800, 100'000, 0});
    }
    CHECK(at.found({900, 1'024, 0}).empty());
    for (worker_slot worker = full; worker < full + 3; ++worker)
    {
        at.set(worker, idle);
    }
    CHECK(at.found({900, 1'024, 0}, 0, 1).size() == 1);
    CHECK(at.found({900, 1'024, 0}).size() == 3);
}

TEST_CASE("the one worker of a cell that fits is found", "[policy]")
{
    fleet at;
    constexpr worker_slot others = 1'024;
    for (worker_slot worker = 0; worker <= others; ++worker)
    {
        at.set(worker, {800, 100'000, 0});
    }
    at.set(others, {950, 100'000, 0});
    CHECK(at.found({900, 1'024, 0}) == std::set<worker_slot>{others});
    // One that lacks memory instead, and accelerators between two levels.
    at.set(others, {950, 1'000, 0});
    CHECK(at.found({900, 1'024, 0}).empty());
    at.set(others, {950, 100'000, 5});
    CHECK(at.found({900, 1'024, 5}) == std::set<worker_slot>{others});
}

// The answer of a search that found no worker is kept until one may fit.
TEST_CASE("a size that fitted nowhere is found once room is free", "[policy]")
{
    fleet at;
    for (worker_slot worker = 0; worker < 600; ++worker)
    {
        at.set(worker, {800, 100'000, 0});
    }
    CHECK(at.found({900, 1'024, 0}).empty());
    CHECK(at.found({900, 1'024, 0}).empty());
    CHECK(at.found({800, 1'024, 0}).size() == 600);
    at.set(7, {900, 1'023, 0});
    CHECK(at.found({900, 1'024, 0}).empty());
    at.set(7, {900, 1'024, 0});
    CHECK(at.found({900, 1'024, 0}) == std::set<worker_slot>{7});
}

// A search visits each worker that fits, within the call that asks for it.
TEST_CASE("the index finds what a look at every worker finds", "[policy]")
{
    constexpr seed_range seeds{1, 40};
    const unsigned seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto draw = [&](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    // Free amounts and sizes lie round one border of the cells.
    const std::int64_t processors =
        impl::processor_levels.at(static_cast<std::size_t>(draw(1, 13)));
    const std::int64_t memory =
        impl::memory_levels.at(static_cast<std::size_t>(draw(1, 13)));
    const auto amount = [&]
    {
        return resources{
            draw(processors / 2, processors * 2),
            draw(memory / 2, memory * 2),
            draw(0, 3) == 0 ? draw(0, 9) : 0};
    };
    fleet at;
    const auto workers = static_cast<worker_slot>(draw(30, 2'000));
    for (worker_slot worker = 0; worker < workers; ++worker)
    {
        at.set(worker, amount());
    }
    std::size_t searches = 0;
    for (int round = 0; round < 60; ++round)
    {
        for (int change = 0; change < 5; ++change)
        {
            const auto worker = static_cast<worker_slot>(draw(0, workers - 1));
            if (draw(0, 9) == 0)
            {
                at.erase(worker);
            }
            else
            {
                at.set(worker, amount());
            }
        }
        resources size = amount();
        if (draw(0, 1) == 0)
        {
            size += amount(); // Fits on few workers or none.
        }
        const auto rotation = static_cast<std::size_t>(draw(0, 5'000));
        CHECK(at.found(size, rotation) == at.fitting(size));
        CHECK(at.found(size, rotation, 1).empty() == at.fitting(size).empty());
        ++searches;
    }
    report_property("fit index", seeds, seed, searches);
}
