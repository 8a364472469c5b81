#pragma once

#include "platform/embedded/timer_queue.hpp"
#include "platform/executor.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace acaciastile
{

/// A thread that runs posted work and a timer queue, which follows the real
/// steady clock. The queue may be touched on that thread alone, or before
/// `start` and after `stop`.
class loop_thread : public executor
{
public:
    loop_thread() = default;
    ~loop_thread() override { stop(); }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    void start();
    /// Ends the thread; what is still posted or timed is not run.
    void stop();

    void post(std::function<void()> work) override;

    [[nodiscard]] timer_queue& timers() noexcept { return timers_; }

private:
    using real_clock = std::chrono::steady_clock;

    void run();
    [[nodiscard]] std::vector<std::function<void()>> wait_for_work();
    [[nodiscard]] instant now() const;

    timer_queue timers_;
    real_clock::time_point started_{};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::function<void()>> posted_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace acaciastile
