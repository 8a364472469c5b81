#pragma once

#include "fleet/ports.hpp"

#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace acaciastile::test
{

/// Holds back timers and answers while the process of a VM is paused, and runs
/// them in their order when it resumes.
class process_gate : public std::enable_shared_from_this<process_gate>
{
public:
    void pause() { paused_ = true; }
    void resume()
    {
        paused_ = false;
        std::vector<std::function<void()>> held;
        held.swap(held_);
        for (const auto& work : held)
        {
            work();
        }
    }
    void run(std::function<void()> work)
    {
        if (paused_)
        {
            held_.push_back(std::move(work));
            return;
        }
        work();
    }
    /// Wraps the completion of a call so that it passes the gate.
    template<class Value>
    fleet::completion<Value> wrap(fleet::completion<Value> done)
    {
        return [gate = shared_from_this(),
                done = std::move(done)](result<Value> answer)
        { gate->run([done, answer] { done(answer); }); };
    }

private:
    bool paused_ = false;
    std::vector<std::function<void()>> held_;
};

/// The clock of one VM, whose timers pass its gate.
class gated_clock final : public fleet::scheduler_clock
{
public:
    gated_clock(
        fleet::scheduler_clock& clock, std::shared_ptr<process_gate> gate)
        : clock_(clock), gate_(std::move(gate))
    {
    }
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
        clock_.after(
            delay, [gate = gate_, work = std::move(work)] { gate->run(work); });
    }

private:
    fleet::scheduler_clock& clock_;
    std::shared_ptr<process_gate> gate_;
};

/// The connection of one VM to the store.
class gated_store final : public fleet::metadata_store
{
public:
    gated_store(
        fleet::metadata_store& store, std::shared_ptr<process_gate> gate)
        : store_(store), gate_(std::move(gate))
    {
    }
    void append(
        const std::string& topic,
        std::vector<fleet::store_record> records,
        fleet::append_options options,
        fleet::completion<log_offset> done) override
    {
        store_.append(
            topic,
            std::move(records),
            std::move(options),
            gate_->wrap(std::move(done)));
    }
    void read(
        const std::string& topic,
        log_offset from,
        milliseconds wait,
        fleet::completion<fleet::store_page> done) override
    {
        store_.read(topic, from, wait, gate_->wrap(std::move(done)));
    }
    void read_newest(
        const std::string& topic,
        fleet::newest_observer observer,
        fleet::completion<fleet::store_page> done) override
    {
        store_.read_newest(
            topic, std::move(observer), gate_->wrap(std::move(done)));
    }

private:
    fleet::metadata_store& store_;
    std::shared_ptr<process_gate> gate_;
};

/// The connections of one VM to the workers.
class gated_orders final : public fleet::worker_orders
{
public:
    gated_orders(
        fleet::worker_orders& orders,
        fleet::scheduler_clock& clock,
        std::shared_ptr<process_gate> gate)
        : orders_(orders), clock_(clock), gate_(std::move(gate))
    {
    }

    /// Workers that this VM does not reach. Others may.
    std::set<worker_id> cut;
    /// Called before a start order goes out, if set.
    std::function<void(const fleet::worker_address&)> before_start;

    void start(
        const fleet::worker_address& target,
        std::uint64_t token,
        worker_instant lease_until,
        fleet::start_order order,
        fleet::completion<fleet::start_answer> done) override
    {
        if (before_start)
        {
            before_start(target);
        }
        if (reaches(target, done))
        {
            orders_.start(
                target,
                token,
                lease_until,
                std::move(order),
                gate_->wrap(std::move(done)));
        }
    }
    void stop(
        const fleet::worker_address& target,
        std::uint64_t token,
        const fleet::task_ref& task,
        fleet::run_number run,
        fleet::completion<worker_instant> done) override
    {
        if (reaches(target, done))
        {
            orders_.stop(
                target, token, task, run, gate_->wrap(std::move(done)));
        }
    }
    void hold(
        const fleet::worker_address& target,
        std::uint64_t token,
        std::uint64_t acknowledged,
        std::optional<worker_instant> lease_until,
        milliseconds wait,
        fleet::completion<fleet::worker_status> done) override
    {
        if (reaches(target, done))
        {
            orders_.hold(
                target,
                token,
                acknowledged,
                lease_until,
                wait,
                gate_->wrap(std::move(done)));
        }
    }

private:
    /// Times the call out if the worker is cut off.
    template<class Value>
    bool reaches(
        const fleet::worker_address& target,
        const fleet::completion<Value>& done)
    {
        if (!cut.contains(target.id))
        {
            return true;
        }
        constexpr milliseconds answer_timeout{400};
        clock_.after(
            answer_timeout,
            [done = gate_->wrap(done)] {
                done(refuse(
                    refusal_code::unreachable,
                    verdict::may_have_run,
                    "timeout"));
            });
        return false;
    }

    fleet::worker_orders& orders_;
    fleet::scheduler_clock& clock_;
    std::shared_ptr<process_gate> gate_;
};

} // namespace acaciastile::test
