#include "platform/http/loop_thread.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr milliseconds longest_wait{1'000};

} // namespace

void loop_thread::start()
{
    started_ = real_clock::now() - timers_.now().time_since_epoch();
    thread_ = std::thread([this] { run(); });
}

void loop_thread::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void loop_thread::post(std::function<void()> work)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = posted_.empty();
        posted_.push_back(std::move(work));
    }
    if (first)
    {
        changed_.notify_one();
    }
}

void loop_thread::run()
{
    while (true)
    {
        std::vector<std::function<void()>> taken = wait_for_work();
        {
            const std::lock_guard lock(mutex_);
            if (stopping_)
            {
                return;
            }
        }
        timers_.run_until(now());
        for (auto& work : taken)
        {
            work();
        }
        timers_.run_until(now());
    }
}

std::vector<std::function<void()>> loop_thread::wait_for_work()
{
    const instant due = timers_.next();
    const milliseconds wait = due == instant::max()
                                  ? longest_wait
                                  : std::min(longest_wait, due - now());
    std::unique_lock lock(mutex_);
    changed_.wait_for(
        lock,
        std::max(wait, milliseconds{0}),
        [this] { return stopping_ || !posted_.empty(); });
    return std::exchange(posted_, {});
}

instant loop_thread::now() const
{
    return instant{} + std::chrono::duration_cast<milliseconds>(
                           real_clock::now() - started_);
}

} // namespace acaciastile
