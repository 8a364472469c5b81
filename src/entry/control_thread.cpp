#include "entry/control_thread.hpp"

#include <utility>

namespace acaciastile
{

std::unique_ptr<control_thread> control_thread::create(
    control_thread_settings settings,
    const clock_source& clock,
    metric_sink& measurements)
{
    return std::unique_ptr<control_thread>(
        new control_thread(settings, clock, measurements));
}

control_thread::control_thread(
    control_thread_settings settings,
    const clock_source& clock,
    metric_sink& measurements)
    : settings_(settings), clock_(clock), measurements_(measurements)
{
}

control_thread::~control_thread()
{
    stop();
}

void control_thread::start(std::function<void(instant)> on_tick)
{
    thread_ =
        std::thread([this, on_tick = std::move(on_tick)] { run(on_tick); });
}

void control_thread::stop()
{
    {
        const std::lock_guard lock(guard_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void control_thread::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(guard_);
        mailbox_.push_back(std::move(work));
    }
    changed_.notify_one();
}

bool control_thread::try_post(std::function<void()> work)
{
    {
        const std::lock_guard lock(guard_);
        if (stopping_ || mailbox_.size() >= settings_.queue_bound)
        {
            return false;
        }
        mailbox_.push_back(std::move(work));
    }
    changed_.notify_one();
    return true;
}

std::deque<std::function<void()>> control_thread::take(instant next_tick)
{
    std::unique_lock lock(guard_);
    const milliseconds left = next_tick - clock_.now();
    changed_.wait_for(
        lock, left, [this] { return stopping_ || !mailbox_.empty(); });
    return std::exchange(mailbox_, {});
}

void control_thread::run_tick(const std::function<void(instant)>& on_tick)
{
    const auto begun = std::chrono::steady_clock::now();
    on_tick(clock_.now());
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begun;
    measurements_.sample("control_tick_seconds", "", took.count());
}

void control_thread::run(const std::function<void(instant)>& on_tick)
{
    instant next_tick = clock_.now();
    for (;;)
    {
        auto taken = take(next_tick);
        for (auto& work : taken)
        {
            work();
        }
        if (clock_.now() >= next_tick)
        {
            measurements_.gauge(
                "control_queue", "", static_cast<double>(taken.size()));
            run_tick(on_tick);
            next_tick = clock_.now() + settings_.tick;
        }
        const std::lock_guard lock(guard_);
        if (stopping_ && mailbox_.empty())
        {
            return;
        }
    }
}

} // namespace acaciastile
