#include "platform/answers.hpp"
#include "platform/embedded/embedded_workers.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

constexpr milliseconds lease_time{10'000};

attempt_id attempt(const std::string& job, std::uint32_t number = 1)
{
    return {{job_id(job), 0}, number};
}

struct workers_fixture
{
    timer_queue timers;
    embedded_network network{timers};
    embedded_workers workers{network};
    embedded_worker_gateway owner{workers, "entry-1"};
    worker_id id{"w1"};
    std::uint64_t incarnation = 0;

    workers_fixture()
    {
        embedded_worker_settings settings;
        settings.id = id;
        settings.capacity = {4'000, 4'096, 1};
        workers.add(settings);
    }

    void run(milliseconds time) { timers.run_until(timers.now() + time); }

    worker_call message(shard_epoch epoch) const
    {
        worker_call call;
        call.worker = id;
        call.epoch = epoch;
        call.incarnation = incarnation;
        call.lease_until =
            worker_instant{} + timers.now().time_since_epoch() + lease_time;
        return call;
    }

    kept_answer<worker_report> send(const worker_call& call)
    {
        kept_answer<worker_report> answer;
        owner.call(call, answer.keep());
        run(milliseconds{2});
        return answer;
    }

    worker_report seal(shard_epoch epoch)
    {
        worker_call call = message(epoch);
        call.incarnation = 0;
        call.seal = true;
        worker_report report = send(call).value();
        incarnation = report.incarnation;
        return report;
    }

    worker_call starting(const attempt_id& started, std::string payload)
    {
        worker_call call = message(5);
        call.start.push_back(
            {started,
             {1'000, 1'024, 0},
             milliseconds{2'000},
             "task",
             std::move(payload)});
        return call;
    }

    std::size_t count(run_event what)
    {
        const auto& all = workers.journal().entries();
        return static_cast<std::size_t>(std::count_if(
            all.begin(),
            all.end(),
            [what](const run_entry& each) { return each.what == what; }));
    }
};

} // namespace

TEST_CASE("a worker runs a task and keeps its end until forgotten", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    int notices = 0;
    at.owner.on_notice([&](const worker_notice& heard)
                       { notices += heard.worker == at.id ? 1 : 0; });
    const auto started = at.send(at.starting(attempt("a"), "hello")).value();
    REQUIRE(started.running.size() == 1);
    CHECK(started.running[0].usage.is_zero());
    at.run(milliseconds{2'500});
    CHECK(notices == 1);
    auto report = at.send(at.message(5)).value();
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].outcome == attempt_outcome::succeeded);
    CHECK(report.ended[0].answer == "hello");
    CHECK(report.ended[0].ran == milliseconds{2'000});
    worker_call call = at.message(5);
    call.forget = {attempt("a")};
    CHECK(at.send(call).value().ended.empty());
}

TEST_CASE("the payload sets run time, usage, failure and answer", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    (void)at.send(at.starting(
        attempt("a"),
        R"({"run_ms":4000,"usage":{"memory_mib":9000},"answer":"x"})"));
    (void)at.send(at.starting(attempt("b"), R"({"run_ms":10,"fail":true})"));
    at.run(milliseconds{3'000});
    const auto report = at.send(at.message(5)).value();
    REQUIRE(report.running.size() == 1);
    CHECK(report.running[0].usage == resources{1'000, 9'000, 0});
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].outcome == attempt_outcome::failed);
    CHECK(report.ended[0].ran == milliseconds{10});
}

TEST_CASE("a message of a lower epoch is refused whole", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    CHECK(at.seal(9).sealed == 9);
    CHECK(at.send(at.starting(attempt("a"), ""))
              .failed(refusal_code::stale_epoch, verdict::not_run));
    worker_call unsealed = at.message(12);
    CHECK(
        at.send(unsealed).failed(refusal_code::stale_epoch, verdict::not_run));
    worker_call older = at.message(5);
    older.seal = true;
    CHECK(at.send(older).failed(refusal_code::stale_epoch, verdict::not_run));
    CHECK(at.count(run_event::started) == 0);
}

TEST_CASE("a message after its leases is refused whole", "[workers]")
{
    run_journal journal;
    embedded_worker_settings settings;
    settings.id = worker_id("w1");
    settings.capacity = {4'000, 4'096, 1};
    embedded_worker worker(instant{}, settings, journal);
    worker_call call;
    call.worker = settings.id;
    call.epoch = 5;
    call.seal = true;
    call.incarnation = worker.incarnation();
    call.lease_until = worker_instant{} + milliseconds{1'000};
    call.start.push_back({attempt("a"), {1, 1, 0}, milliseconds{9}, "", ""});
    const auto late = worker.handle(instant{milliseconds{1'001}}, call);
    REQUIRE_FALSE(late.has_value());
    CHECK(late.error().code == refusal_code::stale_lease);
    CHECK(late.error().effect == verdict::not_run);
    CHECK(worker.sealed() == 0);
    CHECK(journal.entries().empty());
    CHECK(worker.handle(instant{milliseconds{1'000}}, call).has_value());
}

TEST_CASE("needs beyond what is free are refused", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    worker_call call = at.message(5);
    for (const char* job : {"a", "b"})
    {
        call.start.push_back(
            {attempt(job), {3'000, 1'000, 0}, milliseconds{0}, "", ""});
    }
    const auto report = at.send(call).value();
    CHECK(report.running.size() == 1);
    REQUIRE(report.refused.size() == 1);
    CHECK(report.refused[0].attempt == attempt("b"));
    CHECK(report.refused[0].code == refusal_code::worker_full);
    CHECK(at.count(run_event::started) == 1);
}

TEST_CASE("a repeated start runs once", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    const worker_call start = at.starting(attempt("a"), "");
    (void)at.send(start);
    CHECK(at.send(start).value().running.size() == 1);
    at.run(milliseconds{3'000});
    CHECK(at.send(start).value().ended.size() == 1);
    worker_call forget = at.message(5);
    forget.forget = {attempt("a")};
    (void)at.send(forget);
    const auto report = at.send(start).value();
    CHECK(report.running.empty());
    CHECK(report.refused.empty());
    CHECK(at.count(run_event::started) == 1);
}

TEST_CASE("a lease that is not renewed lapses on the worker", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    worker_call start = at.starting(attempt("a"), R"({"run_ms":60000})");
    (void)at.send(start);
    at.run(milliseconds{6'000});
    worker_call renew = at.message(5);
    renew.renew = {attempt("a")};
    (void)at.send(renew);
    at.run(milliseconds{9'000});
    CHECK(at.count(run_event::lapsed) == 0);
    at.run(milliseconds{2'000});
    CHECK(at.count(run_event::lapsed) == 1);
    const auto report = at.send(at.message(5)).value();
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].outcome == attempt_outcome::lapsed);
}

TEST_CASE("leases follow the worker's own clock", "[workers]")
{
    for (const auto& [drift, lapsed] :
         {std::pair<std::int64_t, std::size_t>{100'000, 1}, {-100'000, 0}})
    {
        workers_fixture at;
        at.workers.set_drift(at.id, drift);
        at.seal(5);
        (void)at.send(at.starting(attempt("a"), R"({"run_ms":60000})"));
        at.run(lease_time);
        CHECK(at.count(run_event::lapsed) == lapsed);
    }
}

TEST_CASE("nothing lapses while the worker's clock is paused", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    (void)at.send(at.starting(attempt("a"), R"({"run_ms":90000})"));
    at.workers.pause_clock(at.id, true);
    at.run(lease_time * 4);
    CHECK(at.count(run_event::lapsed) == 0);
    at.workers.pause_clock(at.id, false);
    at.run(lease_time + milliseconds{10});
    CHECK(at.count(run_event::lapsed) == 1);
}

TEST_CASE("stop and checkpoint end an attempt", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    (void)at.send(at.starting(attempt("a"), ""));
    (void)at.send(at.starting(attempt("b"), ""));
    worker_call call = at.message(5);
    call.stop = {
        {attempt("a"), stop_manner::stop},
        {attempt("b"), stop_manner::checkpoint}};
    const auto report = at.send(call).value();
    REQUIRE(report.ended.size() == 2);
    CHECK(report.ended[0].outcome == attempt_outcome::stopped);
    CHECK(report.ended[1].outcome == attempt_outcome::checkpointed);
    CHECK(at.workers.find(at.id)->used().is_zero());
}

TEST_CASE("a lost answer leaves the start in effect", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    at.workers.lose_answers(at.id, 1);
    kept_answer<worker_report> answer;
    at.owner.call(at.starting(attempt("a"), ""), answer.keep());
    at.run(milliseconds{3'100});
    CHECK(answer.failed(refusal_code::unreachable, verdict::may_have_run));
    CHECK(at.count(run_event::started) == 1);
}

TEST_CASE("a worker is unreachable from one instance alone", "[workers]")
{
    workers_fixture at;
    embedded_worker_gateway other(at.workers, "entry-2");
    at.network.cut("entry-2", "w1");
    at.seal(5);
    kept_answer<worker_report> answer;
    other.call(at.message(5), answer.keep());
    at.run(milliseconds{2'000});
    CHECK(answer.failed(refusal_code::unreachable, verdict::not_run));
    CHECK(at.send(at.message(5)).succeeded());
    worker_call unknown = at.message(5);
    unknown.worker = worker_id("w2");
    CHECK(at.send(unknown).failed(refusal_code::unreachable, verdict::not_run));
}

TEST_CASE("a failing worker fails all that it starts", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    at.workers.fail_everything(at.id, true);
    (void)at.send(at.starting(attempt("a"), ""));
    at.run(milliseconds{20});
    CHECK(at.count(run_event::failed) == 1);
}

TEST_CASE("a leaving worker says so and refuses starts", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    at.workers.set_leaving(at.id, true);
    const auto report = at.send(at.starting(attempt("a"), "")).value();
    CHECK(report.leaving);
    REQUIRE(report.refused.size() == 1);
    CHECK(report.refused[0].code == refusal_code::worker_leaving);
}

TEST_CASE("a killed worker ends its tasks and comes back unsealed", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    (void)at.send(at.starting(attempt("a"), ""));
    const worker_call before = at.starting(attempt("b"), "");
    at.workers.kill(at.id);
    CHECK(at.count(run_event::killed) == 1);
    CHECK(at.send(before).failed(refusal_code::stale_epoch, verdict::not_run));
    const auto report = at.seal(5);
    CHECK(report.incarnation == before.incarnation + 1);
    CHECK(report.running.empty());
    CHECK(report.ended.empty());
}

TEST_CASE("a delayed start cannot reach the next incarnation", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    worker_call delayed = at.starting(attempt("a"), "");
    delayed.seal = true;
    at.workers.kill(at.id);
    CHECK(at.send(delayed).failed(refusal_code::stale_epoch, verdict::not_run));
    delayed.incarnation = 0;
    CHECK(at.send(delayed).failed(refusal_code::stale_epoch, verdict::not_run));
    CHECK(at.count(run_event::started) == 0);
}

TEST_CASE("notices do not cross a cut and end with their caller", "[workers]")
{
    workers_fixture at;
    at.seal(5);
    int notices = 0;
    at.owner.on_notice([&](const worker_notice&) { ++notices; });
    (void)at.send(at.starting(attempt("a"), R"({"run_ms":100})"));
    at.network.cut("entry-1", "w1");
    at.run(milliseconds{200});
    CHECK(notices == 0);
    at.network.heal_all();
    (void)at.send(at.starting(attempt("b"), R"({"run_ms":100})"));
    at.run(milliseconds{200});
    CHECK(notices == 1);
}
