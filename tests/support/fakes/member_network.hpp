#pragma once

#include "cell/membership.hpp"
#include "platform/embedded/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::testing
{

/// Counts events by number and discards them.
class counting_events final : public event_sink
{
public:
    void emit(const event& happened) override { ++counts[happened.number]; }

    std::map<event_number, std::uint64_t> counts;
};

/// Simulates processes that run only membership, with a manual clock. The
/// network can delay and lose messages and be partitioned; processes can be
/// paused, killed and restarted.
class member_network
{
public:
    struct traffic
    {
        std::uint64_t messages = 0; ///< Requests and replies sent.
        std::uint64_t bytes = 0;    ///< Size of the methods and bodies sent.
    };

    explicit member_network(
        std::uint64_t seed, membership_settings settings = {})
        : random_(seed), settings_(settings)
    {
    }

    /// Starts a process; a running one with the same id is killed first.
    void start(const std::string& id, const std::string& data_centre)
    {
        kill(id);
        auto created = std::make_unique<process>();
        created->id = id;
        created->gateway.owner = created.get();
        created->gateway.network = this;
        created->generation = ++generations_;
        member self;
        self.id = instance_id(id);
        self.data_centre = data_centre_name(data_centre);
        self.address = address_of(id);
        created->membership = membership::create(
            self, settings_, random_(), created->gateway, created->events);
        centres_[id] = data_centre;
        processes_[id] = std::move(created);
        for (auto& [name, one] : processes_)
        {
            one->membership->set_seeds(timers_.now(), vms());
        }
    }

    void kill(const std::string& id)
    {
        if (auto found = processes_.find(id); found != processes_.end())
        {
            ended_processes_.push_back(std::move(found->second));
            ended_processes_.back()->ended = true;
            processes_.erase(found);
        }
    }

    void pause(const std::string& id) { processes_.at(id)->paused = true; }

    /// Resumes a process; messages received during the pause are handled
    /// first.
    void resume(const std::string& id)
    {
        process& resumed = *processes_.at(id);
        resumed.paused = false;
        auto backlog = std::exchange(resumed.backlog, {});
        for (auto& work : backlog)
        {
            work();
        }
    }

    void run_for(milliseconds time)
    {
        constexpr milliseconds tick{50};
        const instant end = timers_.now() + time;
        while (timers_.now() < end)
        {
            timers_.run_until(timers_.now() + tick);
            for (auto& [id, one] : processes_)
            {
                if (!one->paused)
                {
                    one->membership->tick(timers_.now());
                }
            }
        }
    }

    [[nodiscard]] membership& at(const std::string& id)
    {
        return *processes_.at(id)->membership;
    }
    [[nodiscard]] bool runs(const std::string& id) const
    {
        return processes_.contains(id);
    }
    [[nodiscard]] counting_events& events_of(const std::string& id)
    {
        return processes_.at(id)->events;
    }
    [[nodiscard]] traffic traffic_of(const std::string& id) const
    {
        return processes_.at(id)->sent;
    }
    [[nodiscard]] std::vector<std::string> ids() const
    {
        std::vector<std::string> list;
        for (const auto& [id, one] : processes_)
        {
            list.push_back(id);
        }
        return list;
    }
    [[nodiscard]] instant now() const { return timers_.now(); }

    [[nodiscard]] static std::string address_of(const std::string& id)
    {
        return "10.0.0.1:" + id;
    }

    /// Whether all messages from the first process to the second are lost.
    std::function<bool(const std::string&, const std::string&)> is_cut =
        [](const std::string&, const std::string&) { return false; };
    double loss = 0.0; ///< Probability that a message is lost.
    milliseconds latency{2};
    std::vector<vm_entry> extra_vms; ///< VMs in the list without a process.

private:
    struct process;

    class process_gateway final : public peer_gateway
    {
    public:
        void call(peer_call message, completion<std::string> done) override
        {
            network->send(*owner, std::move(message), std::move(done));
        }
        process* owner = nullptr;
        member_network* network = nullptr;
    };

    struct process
    {
        std::string id;
        std::uint64_t generation = 0;
        counting_events events;
        process_gateway gateway;
        std::unique_ptr<class membership> membership;
        traffic sent;
        bool paused = false;
        bool ended = false;
        std::vector<std::function<void()>> backlog;
    };

    std::vector<vm_entry> vms() const
    {
        std::vector<vm_entry> list = extra_vms;
        for (const auto& [id, centre] : centres_)
        {
            vm_entry vm;
            vm.name = id;
            vm.role = vm_role::entry;
            vm.data_centre = data_centre_name(centre);
            vm.address = address_of(id);
            list.push_back(vm);
        }
        return list;
    }

    bool lost(const std::string& from, const std::string& to)
    {
        if (is_cut(from, to))
        {
            return true;
        }
        std::uniform_real_distribution<double> part(0.0, 1.0);
        return loss > 0.0 && part(random_) < loss;
    }

    /// Runs `work` in the process, after its pause if it is paused. Does
    /// nothing if the process has ended.
    void run_in(process& target, std::function<void()> work)
    {
        if (target.ended)
        {
            return;
        }
        if (target.paused)
        {
            target.backlog.push_back(std::move(work));
            return;
        }
        work();
    }

    void send(process& from, peer_call call, completion<std::string> done)
    {
        ++from.sent.messages;
        from.sent.bytes += call.method.size() + call.body.size();
        auto answered = std::make_shared<bool>(false);
        auto answer = [this, &from, answered, done](result<std::string> reply)
        {
            if (!std::exchange(*answered, true))
            {
                run_in(from, [done, reply] { done(reply); });
            }
        };
        timers_.after(
            call.timeout,
            [answer]
            {
                answer(refuse(
                    refusal_code::unreachable,
                    verdict::may_have_run,
                    "no answer"));
            });
        const std::string to = call.address.substr(call.address.find(':') + 1);
        if (lost(from.id, to))
        {
            return;
        }
        timers_.after(
            latency,
            [this, &from, to, call = std::move(call), answer]
            { deliver(from, to, call, answer); });
    }

    void deliver(
        process& from,
        const std::string& to,
        const peer_call& call,
        const std::function<void(result<std::string>)>& answer)
    {
        auto found = processes_.find(to);
        if (found == processes_.end())
        {
            answer(refuse(refusal_code::unreachable, "connection refused"));
            return;
        }
        process& target = *found->second;
        auto reply_back =
            [this, &from, &target, answer](result<std::string> reply)
        {
            ++target.sent.messages;
            target.sent.bytes += reply ? reply->size() : 0;
            if (lost(target.id, from.id))
            {
                return;
            }
            timers_.after(latency, [answer, reply] { answer(reply); });
        };
        run_in(
            target,
            [this, &target, call, reply_back]
            {
                target.membership->on_peer(
                    timers_.now(), call.method, call.body, reply_back);
            });
    }

    std::mt19937_64 random_;
    membership_settings settings_;
    timer_queue timers_;
    std::uint64_t generations_ = 0;
    std::map<std::string, std::unique_ptr<process>> processes_;
    std::map<std::string, std::string> centres_;
    std::vector<std::unique_ptr<process>> ended_processes_;
};

} // namespace acaciastile::testing
