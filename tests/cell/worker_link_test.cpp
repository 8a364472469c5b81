#include "cell/worker_link.hpp"
#include "platform/embedded/embedded_workers.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace acaciastile;

namespace
{

constexpr milliseconds step{10};

/// Records the events of a link as text, one entry each.
class recording_listener final : public worker_listener
{
public:
    std::vector<std::string> events;

    void on_sealed(const worker_id&) override { note("sealed"); }
    void on_reachable(const worker_id&, bool reachable, bool) override
    {
        note(reachable ? "reachable" : "unreachable");
    }
    void on_started(const worker_id&, const attempt_id& attempt) override
    {
        note("started " + to_string(attempt));
    }
    void on_usage(const attempt_id&, const resources&) override {}
    void on_ended(const worker_id&, const ended_attempt& ended) override
    {
        note("ended " + to_string(ended.attempt));
    }
    void on_refused(
        const worker_id&, const attempt_id& attempt, refusal_code) override
    {
        note("refused " + to_string(attempt));
    }
    void on_missing(const worker_id&, const attempt_id& attempt) override
    {
        note("missing " + to_string(attempt));
    }
    void
    on_unknown_attempt(const worker_id&, const attempt_id& attempt) override
    {
        note("stray " + to_string(attempt));
    }
    void on_lapsed(const worker_id&, const attempt_id& attempt) override
    {
        note("lapsed " + to_string(attempt));
    }
    void on_epoch_lost(const worker_id&) override { note("epoch lost"); }

    [[nodiscard]] bool has(const std::string& text) const
    {
        return std::find(events.begin(), events.end(), text) != events.end();
    }

private:
    void note(std::string text) { events.push_back(std::move(text)); }
};

class manual_clock final : public clock_source
{
public:
    explicit manual_clock(const timer_queue& timers) : timers_(timers) {}
    [[nodiscard]] instant now() const noexcept override
    {
        return timers_.now();
    }

private:
    const timer_queue& timers_;
};

attempt_id attempt_of(const std::string& job)
{
    return {{job_id(job), 0}, 1};
}

start_command make_start(const std::string& job, milliseconds runs)
{
    start_command command;
    command.attempt = attempt_of(job);
    command.needs = {1'000, 1'024, 0};
    command.run_time = runs;
    return command;
}

/// One worker and any number of owners' links to it.
class worker_link_fixture
{
public:
    worker_link_fixture()
        : network(
              timers,
              {milliseconds{1},
               milliseconds{1},
               milliseconds{100},
               milliseconds{500},
               1}),
          workers(network),
          clock(timers)
    {
        timers.run_until(instant{} + std::chrono::hours{1});
        embedded_worker_settings settings;
        settings.id = worker_id("w1");
        settings.capacity = {8'000, 16'384, 0};
        workers.add(settings);
    }

    std::shared_ptr<worker_link>
    connect(const std::string& owner, shard_epoch epoch)
    {
        gateways.push_back(
            std::make_unique<embedded_worker_gateway>(workers, owner));
        worker_entry entry{
            worker_id("w1"),
            data_centre_name("dc1"),
            rack_name("r1"),
            "w1",
            {8'000, 16'384, 0}};
        links.push_back(worker_link::create(
            entry,
            shard_id("dc1/0"),
            epoch,
            timers.now() + std::chrono::hours{3},
            owner,
            {},
            epoch,
            *gateways.back(),
            clock,
            listeners[owner]));
        return links.back();
    }

    void run(milliseconds time)
    {
        const instant until = timers.now() + time;
        while (timers.now() < until)
        {
            timers.run_until(timers.now() + step);
            for (auto& link : links)
            {
                link->tick(log_contact);
            }
        }
    }

    [[nodiscard]] std::size_t count(run_event what)
    {
        std::size_t found = 0;
        for (const run_entry& run : workers.journal().entries())
        {
            found += run.what == what ? 1 : 0;
        }
        return found;
    }

    /// Start of the owners' last read of the log; by default every read is
    /// newer than any seal.
    instant log_contact = instant::max();
    timer_queue timers;
    embedded_network network;
    embedded_workers workers;
    manual_clock clock;
    std::map<std::string, recording_listener> listeners;
    std::vector<std::unique_ptr<embedded_worker_gateway>> gateways;
    std::vector<std::shared_ptr<worker_link>> links;
};

} // namespace

TEST_CASE("a start whose answer is lost runs once", "[worker_link]")
{
    worker_link_fixture cell;
    auto link = cell.connect("a", 5);
    cell.run(milliseconds{100});
    REQUIRE(link->sealed());
    cell.workers.lose_answers(worker_id("w1"), 2);
    link->start(make_start("order", milliseconds{60'000}));
    cell.run(milliseconds{20'000});
    CHECK(cell.count(run_event::started) == 1);
    CHECK(cell.listeners["a"].has("started order/0#1"));
}

TEST_CASE("a newer owner adopts what runs and ends the older", "[worker_link]")
{
    worker_link_fixture cell;
    auto old_link = cell.connect("a", 5);
    cell.run(milliseconds{100});
    old_link->start(make_start("order", milliseconds{60'000}));
    cell.run(milliseconds{200});
    auto new_link = cell.connect("b", 9);
    new_link->adopt(attempt_of("order"));
    cell.run(milliseconds{200});
    CHECK(cell.listeners["b"].has("started order/0#1"));
    old_link->start(make_start("late", milliseconds{1'000}));
    cell.run(milliseconds{1'000});
    CHECK(cell.listeners["a"].has("epoch lost"));
    CHECK(cell.count(run_event::started) == 1);
}

TEST_CASE("an adopted attempt that never began is missing", "[worker_link]")
{
    worker_link_fixture cell;
    auto link = cell.connect("b", 9);
    link->adopt(attempt_of("order"));
    cell.run(milliseconds{200});
    CHECK(cell.listeners["b"].has("missing order/0#1"));
}

TEST_CASE(
    "a lease lapses on the owner only after the worker ended it",
    "[worker_link][property]")
{
    // Clocks that run at most 1% fast or slow, in parts per million.
    for (const std::int64_t drift : {-10'000, -5'000, 0, 5'000, 10'000})
    {
        worker_link_fixture cell;
        cell.workers.set_drift(worker_id("w1"), drift);
        auto link = cell.connect("a", 5);
        cell.run(milliseconds{100});
        link->start(make_start("order", milliseconds{600'000}));
        cell.run(milliseconds{25'000});
        cell.network.cut("a", "w1");
        while (!cell.listeners["a"].has("lapsed order/0#1"))
        {
            cell.run(step);
            INFO(
                "drift " << drift << ", last "
                         << cell.listeners["a"].events.back());
            REQUIRE(
                cell.timers.now() <
                instant{} + std::chrono::hours{1} + std::chrono::minutes{2});
        }
        CHECK(cell.count(run_event::lapsed) == 1);
    }
}

TEST_CASE(
    "an attempt that the new owner does not know is stopped", "[worker_link]")
{
    worker_link_fixture cell;
    auto old_link = cell.connect("a", 5);
    cell.run(milliseconds{100});
    old_link->start(make_start("request", milliseconds{60'000}));
    cell.run(milliseconds{200});
    auto new_link = cell.connect("b", 9);
    cell.run(milliseconds{1'000});
    CHECK(cell.listeners["b"].has("stray request/0#1"));
    CHECK(cell.count(run_event::stopped) == 1);
    CHECK_FALSE(new_link->has_unknown_attempts());
}

TEST_CASE("a restarted worker is sealed again", "[worker_link]")
{
    worker_link_fixture cell;
    auto link = cell.connect("a", 5);
    cell.run(milliseconds{100});
    link->start(make_start("order", milliseconds{60'000}));
    cell.run(milliseconds{200});
    cell.workers.kill(worker_id("w1"));
    link->call_soon();
    cell.run(milliseconds{1'000});
    CHECK(link->sealed());
    CHECK(cell.listeners["a"].has("missing order/0#1"));
    CHECK(cell.count(run_event::started) == 1);
}

TEST_CASE(
    "a restarted worker gets no start before the log was read", "[worker_link]")
{
    worker_link_fixture cell;
    auto old_link = cell.connect("a", 5);
    cell.run(milliseconds{100});
    auto new_link = cell.connect("b", 9);
    cell.run(milliseconds{100});
    REQUIRE(new_link->sealed());
    // The owner has not read the log since the restart.
    cell.log_contact = cell.timers.now();
    cell.network.cut("b", "w1");
    cell.workers.kill(worker_id("w1"));
    old_link->start(make_start("order", milliseconds{60'000}));
    cell.run(milliseconds{5'000});
    CHECK(cell.count(run_event::started) == 0);
}
