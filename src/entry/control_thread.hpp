#pragma once

#include "domain/instant.hpp"
#include "domain/metric_sink.hpp"
#include "platform/completion.hpp"
#include "platform/executor.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace acaciastile
{

struct control_thread_settings
{
    milliseconds tick{20};          ///< Between two ticks.
    std::size_t queue_bound = 8192; ///< Waiting calls; more are refused.
};

/// The one thread that owns the control state: it runs what is posted, in
/// order, and a tick at a steady interval.
class control_thread final : public executor
{
public:
    /// Not running until `start`.
    [[nodiscard]] static std::unique_ptr<control_thread> create(
        control_thread_settings settings,
        const clock_source& clock,
        metric_sink& measurements);

    ~control_thread() override;
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Starts the thread. `on_tick` runs on it at every tick.
    void start(std::function<void(instant)> on_tick);

    /// Runs what is posted already, then ends the thread. Idempotent; not to
    /// be called on the control thread.
    void stop();

    /// Never refuses; for answers and notices of the platform.
    void post(std::function<void()> work) override;

    /// Calls `work` on the control thread and waits for its completion, at
    /// most that long. Errors: what `work` completes with; `overloaded` and
    /// `not_run` where too many calls wait or where it was given up before it
    /// began; `deadline_exceeded` and `may_have_run` where it had begun.
    template<class Value>
    [[nodiscard]] result<Value> call(
        std::function<void(instant, completion<Value>)> work,
        milliseconds bound);

    [[nodiscard]] instant now() const noexcept { return clock_.now(); }

private:
    /// A call that a traffic thread waits for. Whoever moves `phase` away from
    /// `waiting` first decides whether the work begins.
    template<class Value>
    struct pending_call
    {
        enum class phase
        {
            waiting,
            begun,
            abandoned
        };
        std::atomic<phase> state{phase::waiting};
        std::atomic<bool> completed{false};
        std::promise<result<Value>> outcome;
    };

    control_thread(
        control_thread_settings settings,
        const clock_source& clock,
        metric_sink& measurements);

    /// False where the queue is at its bound.
    [[nodiscard]] bool try_post(std::function<void()> work);
    void run(const std::function<void(instant)>& on_tick);
    void run_tick(const std::function<void(instant)>& on_tick);
    /// Waits for work, the next tick or the end; takes all that is posted.
    [[nodiscard]] std::deque<std::function<void()>> take(instant next_tick);

    const control_thread_settings settings_;
    const clock_source& clock_;
    metric_sink& measurements_;
    std::mutex guard_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> mailbox_;
    bool stopping_ = false;
    std::thread thread_;
};

template<class Value>
result<Value> control_thread::call(
    std::function<void(instant, completion<Value>)> work, milliseconds bound)
{
    using pending = pending_call<Value>;
    using phase = typename pending::phase;
    auto waiting = std::make_shared<pending>();
    std::future<result<Value>> outcome = waiting->outcome.get_future();
    auto done = [waiting](result<Value> value)
    {
        if (!waiting->completed.exchange(true))
        {
            waiting->outcome.set_value(std::move(value));
        }
    };
    auto begin = [this, waiting, work = std::move(work), done]
    {
        phase expected = phase::waiting;
        if (waiting->state.compare_exchange_strong(expected, phase::begun))
        {
            work(now(), done);
        }
    };
    if (!try_post(std::move(begin)))
    {
        return refuse(
            refusal_code::overloaded,
            "too many calls wait for the control thread");
    }
    if (outcome.wait_for(bound) == std::future_status::ready)
    {
        return outcome.get();
    }
    phase expected = phase::waiting;
    if (waiting->state.compare_exchange_strong(expected, phase::abandoned))
    {
        return refuse(
            refusal_code::overloaded,
            "the control thread did not begin the call in time");
    }
    return refuse(
        refusal_code::deadline_exceeded,
        verdict::may_have_run,
        "no answer within the deadline; ask for the status");
}

} // namespace acaciastile
