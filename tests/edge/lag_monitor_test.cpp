#include "edge/lag_monitor.hpp"
#include "standin/manual_clock.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace acaciastile;
using namespace std::chrono_literals;

namespace
{

/// Passes on a clock's timers late, as a loaded event loop does.
class late_clock final : public fleet::scheduler_clock
{
public:
    explicit late_clock(fleet::scheduler_clock& clock) : clock_(clock) {}

    [[nodiscard]] instant now() const override { return clock_.now(); }
    [[nodiscard]] instant now_with_suspends() const override
    {
        return clock_.now_with_suspends();
    }
    [[nodiscard]] fleet::wall_time wall() const override
    {
        return clock_.wall();
    }
    void after(milliseconds delay, std::function<void()> work) override
    {
        clock_.after(delay + lag, std::move(work));
    }

    milliseconds lag{0};

private:
    fleet::scheduler_clock& clock_;
};

} // namespace

TEST_CASE("a process whose timers run late for a while reports a lower speed")
{
    standin::manual_clock manual;
    late_clock clock(manual);
    double speed = 0;
    const auto monitor = edge::lag_monitor::create(
        clock, [&](double now) { speed = now; }, [](milliseconds) {});
    monitor->start();
    manual.advance(1s);
    CHECK(speed == 1.0);
    // One late timer does not matter.
    clock.lag = 400ms;
    manual.advance(60ms);
    clock.lag = 0ms;
    manual.advance(500ms);
    CHECK(speed == 1.0);
    clock.lag = 400ms;
    manual.advance(5s);
    CHECK(speed < 0.5);
    clock.lag = 0ms;
    manual.advance(5s);
    CHECK(speed == 1.0);
}

TEST_CASE("a stall of the process is reported with its length")
{
    standin::manual_clock manual;
    late_clock clock(manual);
    std::vector<milliseconds> stalls;
    const auto monitor = edge::lag_monitor::create(
        clock,
        [](double) {},
        [&](milliseconds length) { stalls.push_back(length); });
    monitor->start();
    clock.lag = 400ms;
    manual.advance(2s);
    CHECK(stalls.empty());
    clock.lag = 3s;
    manual.advance(500ms);
    clock.lag = 0ms;
    manual.advance(5s);
    CHECK(stalls == std::vector<milliseconds>{3s});
}
