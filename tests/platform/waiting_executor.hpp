#pragma once

#include "platform/answers.hpp"
#include "platform/executor.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace acaciastile
{

/// Runs posted work on the thread that waits for it.
class waiting_executor : public executor
{
public:
    void post(std::function<void()> work) override
    {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(work));
        changed_.notify_one();
    }

    /// Runs what is posted until the answer has come or a bound has passed,
    /// which makes the test fail rather than hang.
    template<class Value>
    void wait_for(const kept_answer<Value>& answer)
    {
        wait_until([&answer] { return answer.times() != 0; });
    }

    template<class Condition>
    void wait_until(Condition reached)
    {
        constexpr std::chrono::seconds bound{20};
        const auto until = std::chrono::steady_clock::now() + bound;
        while (!reached() && std::chrono::steady_clock::now() < until)
        {
            run_posted();
        }
    }

private:
    void run_posted()
    {
        constexpr std::chrono::milliseconds slice{50};
        std::vector<std::function<void()>> taken;
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, slice, [this] { return !posted_.empty(); });
            taken.swap(posted_);
        }
        for (auto& work : taken)
        {
            work();
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::function<void()>> posted_;
};

} // namespace acaciastile
