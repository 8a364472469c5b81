#include "entry/control_thread.hpp"

#include "observe/metrics.hpp"
#include "observe/real_clock.hpp"

#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

using namespace acaciastile;

namespace
{

constexpr milliseconds long_enough{10'000};
constexpr milliseconds at_once{1};

struct fixture
{
    explicit fixture(control_thread_settings settings = {})
        : thread(control_thread::create(settings, clock, *measured))
    {
        thread->start([](instant) {});
    }

    real_clock clock;
    std::unique_ptr<metrics> measured = metrics::create();
    std::unique_ptr<control_thread> thread;
};

/// Keeps the control thread busy until released.
class blocker
{
public:
    explicit blocker(control_thread& thread)
    {
        std::promise<void> begun;
        thread.post(
            [&begun, released = release_.get_future().share()]
            {
                begun.set_value();
                released.wait();
            });
        begun.get_future().wait();
    }
    void release() { release_.set_value(); }

private:
    std::promise<void> release_;
};

} // namespace

TEST_CASE("a call gets what its completion was given", "[control_thread]")
{
    fixture made;
    auto answer = made.thread->call<std::string>(
        [](instant, completion<std::string> done) { done("whole"); },
        long_enough);
    REQUIRE(answer.has_value());
    CHECK(*answer == "whole");
}

TEST_CASE("a call that began and was given up may have run", "[control_thread]")
{
    fixture made;
    completion<int> kept;
    auto answer = made.thread->call<int>(
        [&](instant, completion<int> done) { kept = std::move(done); },
        milliseconds(100));
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == refusal_code::deadline_exceeded);
    CHECK(answer.error().effect == verdict::may_have_run);
    made.thread->stop();
    kept(1); // A late completion harms nothing.
}

TEST_CASE("a call given up before it began never runs", "[control_thread]")
{
    fixture made;
    blocker busy(*made.thread);
    bool ran = false;
    auto answer = made.thread->call<int>(
        [&](instant, completion<int> done)
        {
            ran = true;
            done(1);
        },
        at_once);
    busy.release();
    made.thread->stop();
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == refusal_code::overloaded);
    CHECK(answer.error().effect == verdict::not_run);
    CHECK_FALSE(ran);
}

TEST_CASE(
    "calls over the queue's bound are refused at once", "[control_thread]")
{
    control_thread_settings settings;
    settings.queue_bound = 1;
    fixture made(settings);
    blocker busy(*made.thread);
    made.thread->post([] {});
    auto answer = made.thread->call<int>(
        [](instant, completion<int> done) { done(1); }, long_enough);
    busy.release();
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == refusal_code::overloaded);
    CHECK(answer.error().effect == verdict::not_run);
}

TEST_CASE("posted work runs in order and before the end", "[control_thread]")
{
    fixture made;
    std::string order;
    made.thread->post([&] { order += 'a'; });
    made.thread->post([&] { order += 'b'; });
    made.thread->stop();
    CHECK(order == "ab");
}

TEST_CASE("the tick runs on the control thread", "[control_thread]")
{
    real_clock clock;
    auto measured = metrics::create();
    auto thread = control_thread::create({}, clock, *measured);
    std::promise<std::thread::id> ticked;
    bool first = true;
    thread->start(
        [&](instant)
        {
            if (std::exchange(first, false))
            {
                ticked.set_value(std::this_thread::get_id());
            }
        });
    auto called = thread->call<std::thread::id>(
        [](instant, completion<std::thread::id> done)
        { done(std::this_thread::get_id()); },
        long_enough);
    REQUIRE(called.has_value());
    CHECK(ticked.get_future().get() == *called);
}
