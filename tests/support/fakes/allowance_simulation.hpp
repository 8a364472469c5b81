#pragma once

#include "cell/allowance_planner.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::testing
{

struct allowance_simulation_settings
{
    std::size_t shards = 4;
    std::size_t replicas = 4; ///< Replicas of the state that lag independently.
    milliseconds round{100};  ///< Time between two plans.
    milliseconds append_delay{200}; ///< Longest time from a plan to the log.
    milliseconds read_lag{300};     ///< Longest lag of a replica.
    milliseconds late_append_delay{5'000}; ///< Longest, if the reply is lost.
    /// Probability that a record is lost and its owner learns that.
    double drop_probability = 0.0;
    /// Probability that the answer to a record is lost. Such records reach
    /// the log late.
    double outcome_unknown_probability = 0.0;
    /// Time from the loss of an owner to the next claim.
    milliseconds takeover_delay{3'000};
};

/// Simulates shard owners that plan allowances over one log, with a manual
/// clock. Records reach the log late, in any order or not at all, and owners
/// can fail.
class allowance_simulation
{
public:
    allowance_simulation(
        std::uint64_t seed,
        allowance_simulation_settings settings,
        std::vector<team_rule> teams)
        : settings_(settings),
          random_(seed),
          shards_(settings.shards),
          replicas_(settings.replicas)
    {
        for (const team_rule& rule : teams)
        {
            rules_[rule.name] = rule;
        }
        publish_rules();
        for (std::size_t n = 0; n < shards_.size(); ++n)
        {
            shards_[n].id = shard_id("dc/" + std::to_string(n));
            claim(n);
        }
        for (replica& one : replicas_)
        {
            one.visible = log_.size();
        }
        catch_up();
    }

    /// Adds tasks of one size to a team's queue on a shard.
    void enqueue(
        std::size_t shard,
        const team_name& team,
        const resources& each,
        std::size_t count,
        milliseconds run_time)
    {
        auto& queue = shards_[shard].queues[team];
        queue.insert(queue.end(), count, task{each, run_time, {}});
    }

    void clear_queue(std::size_t shard, const team_name& team)
    {
        shards_[shard].queues[team].clear();
    }

    /// Ends all running tasks of the team on a shard.
    void end_tasks(std::size_t shard, const team_name& team)
    {
        shards_[shard].running[team].clear();
    }

    void set_limit(const team_name& team, const resources& limit)
    {
        rules_[team].upper_limit = limit;
        publish_rules();
    }

    /// Stops a shard's owner; its tasks keep running. Another owner claims the
    /// shard after `takeover_delay`.
    void lose_owner(std::size_t shard)
    {
        shards_[shard].planner.reset();
        shards_[shard].claim_at = now_ + settings_.takeover_delay;
    }

    void run_for(milliseconds time)
    {
        const instant end = now_ + time;
        while (now_ < end)
        {
            now_ += settings_.round;
            step();
        }
    }

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] const cell_state& authoritative_state() const
    {
        return authoritative_state_;
    }
    [[nodiscard]] std::size_t records() const { return log_.size(); }
    [[nodiscard]] const cell_record& record(std::size_t at) const
    {
        return log_[at];
    }
    [[nodiscard]] std::size_t refused() const { return refused_; }
    [[nodiscard]] std::uint64_t plans() const { return plans_; }
    [[nodiscard]] std::uint64_t starts() const { return starts_; }
    /// Number of starts under a bound above the shard's allowance; must stay
    /// zero.
    [[nodiscard]] std::uint64_t breaches() const { return breaches_; }

    [[nodiscard]] resources
    running(std::size_t shard, const team_name& team) const
    {
        resources sum;
        const auto found = shards_[shard].running.find(team);
        if (found != shards_[shard].running.end())
        {
            for (const task& one : found->second)
            {
                sum += one.each;
            }
        }
        return sum;
    }
    [[nodiscard]] resources running(const team_name& team) const
    {
        resources sum;
        for (std::size_t n = 0; n < shards_.size(); ++n)
        {
            sum += running(n, team);
        }
        return sum;
    }
    [[nodiscard]] resources
    allowance(std::size_t shard, const team_name& team) const
    {
        return authoritative_state_.allowance(shards_[shard].id, team);
    }
    [[nodiscard]] std::uint64_t
    started(std::size_t shard, const team_name& team) const
    {
        const auto found = shards_[shard].started.find(team);
        return found == shards_[shard].started.end() ? 0 : found->second;
    }

private:
    struct task
    {
        resources each;
        milliseconds run_time{0};
        instant ends{};
    };

    struct shard
    {
        shard_id id;
        std::optional<allowance_planner> planner;
        shard_epoch epoch = 0;
        std::optional<instant> claim_at;
        std::map<team_name, std::deque<task>> queues;
        std::map<team_name, std::vector<task>> running;
        std::map<team_name, std::uint64_t> started;
    };

    /// A replica of the cell state that lags behind the log.
    struct replica
    {
        cell_state state;
        std::size_t applied = 0;
        std::size_t visible = 0;
    };

    /// A record that was sent and has not reached the log yet.
    struct in_flight_record
    {
        std::size_t shard = 0;
        shard_epoch epoch = 0;
        cell_record record;
        bool answered = true; ///< Its owner learns the outcome.
    };

    milliseconds random_delay(milliseconds most)
    {
        std::uniform_int_distribution<milliseconds::rep> any(0, most.count());
        return milliseconds{any(random_)};
    }

    bool happens(double part)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < part;
    }

    fold_outcome append(cell_record record)
    {
        const fold_outcome outcome =
            authoritative_state_.apply(log_.size() + 1, record);
        refused_ += outcome.accepted() ? 0 : 1;
        log_.push_back(std::move(record));
        return outcome;
    }

    void publish_rules()
    {
        std::vector<team_rule> teams;
        for (const auto& [name, rule] : rules_)
        {
            teams.push_back(rule);
        }
        append(
            {next_id(),
             rules_published{
                 authoritative_state_.rules_revision(),
                 rules::create(teams, {}).value()}});
    }

    void claim(std::size_t at)
    {
        shard& one = shards_[at];
        const shard_claim* held = authoritative_state_.claim(one.id);
        append(
            {next_id(),
             shard_claimed{
                 one.id,
                 instance_id("i" + std::to_string(at)),
                 "",
                 held == nullptr ? 0 : held->epoch}});
        one.epoch = log_.size();
        one.planner = allowance_planner::create(one.id, one.epoch, {});
        one.claim_at.reset();
    }

    std::string next_id() { return std::to_string(++ids_); }

    void step()
    {
        deliver_due_records();
        end_due_tasks();
        for (std::size_t at = 0; at < shards_.size(); ++at)
        {
            if (shards_[at].claim_at && *shards_[at].claim_at <= now_)
            {
                claim(at);
            }
        }
        catch_up();
        for (std::size_t at = 0; at < shards_.size(); ++at)
        {
            if (shards_[at].planner && has_applied_own_claim(at))
            {
                plan(at);
            }
        }
    }

    void deliver_due_records()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_)
        {
            in_flight_record delivered = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            append(delivered.record);
            if (delivered.answered)
            {
                unsettled_[log_.size()] = std::move(delivered);
            }
        }
    }

    void end_due_tasks()
    {
        for (shard& one : shards_)
        {
            for (auto& [team, tasks] : one.running)
            {
                std::erase_if(
                    tasks,
                    [this](const task& running)
                    { return running.ends <= now_; });
            }
        }
    }

    void catch_up()
    {
        for (replica& one : replicas_)
        {
            // Reads up to the log's size at a random time within `read_lag`.
            const milliseconds lag = random_delay(settings_.read_lag);
            const auto rounds = static_cast<std::size_t>(
                lag.count() /
                std::max<milliseconds::rep>(settings_.round.count(), 1));
            log_size_by_round_.resize(
                std::max(log_size_by_round_.size(), std::size_t{1}));
            const std::size_t seen =
                rounds == 0 || log_size_by_round_.size() < rounds
                    ? log_.size()
                    : log_size_by_round_[log_size_by_round_.size() - rounds];
            one.visible = std::max(one.visible, seen);
            while (one.applied < one.visible)
            {
                one.state.apply(one.applied + 1, log_[one.applied]);
                ++one.applied;
            }
        }
        log_size_by_round_.push_back(log_.size());
        if (log_size_by_round_.size() > 1'000)
        {
            log_size_by_round_.pop_front();
        }
    }

    replica& replica_of(std::size_t at)
    {
        return replicas_[at % replicas_.size()];
    }

    bool has_applied_own_claim(std::size_t at)
    {
        return replica_of(at).applied >= shards_[at].epoch;
    }

    void report_applied_records(std::size_t at)
    {
        const std::size_t applied = replica_of(at).applied;
        for (auto next = unsettled_.begin(); next != unsettled_.end();)
        {
            const bool is_own = next->second.shard == at;
            if (!is_own || next->first > applied)
            {
                ++next;
                continue;
            }
            if (next->second.epoch == shards_[at].epoch)
            {
                shards_[at].planner->settled(
                    next->second.record.change, verdict::ran);
            }
            next = unsettled_.erase(next);
        }
    }

    void plan(std::size_t at)
    {
        shard& one = shards_[at];
        report_applied_records(at);
        std::map<team_name, team_load> loads;
        for (const auto& [team, queue] : one.queues)
        {
            team_load& load = loads[team];
            for (const task& waiting : queue)
            {
                load.demand += waiting.each;
                load.largest = max(load.largest, waiting.each);
            }
        }
        for (const auto& [team, tasks] : one.running)
        {
            loads[team].running = running(at, team);
        }
        ++plans_;
        const allowance_plan plan =
            one.planner->plan(now_, replica_of(at).state, loads);
        for (const cell_change& change : plan.records)
        {
            send(at, change);
        }
        for (const auto& [team, excess] : plan.excess)
        {
            stop_excess(one, team, excess);
        }
        start_tasks(at, plan);
    }

    void send(std::size_t at, const cell_change& change)
    {
        in_flight_record sent{at, shards_[at].epoch, {next_id(), change}, true};
        if (happens(settings_.drop_probability))
        {
            shards_[at].planner->settled(change, verdict::not_run);
            return;
        }
        milliseconds delay = random_delay(settings_.append_delay);
        if (happens(settings_.outcome_unknown_probability))
        {
            shards_[at].planner->settled(change, verdict::may_have_run);
            sent.answered = false;
            delay = random_delay(settings_.late_append_delay);
        }
        in_flight_.emplace(now_ + delay, std::move(sent));
    }

    static void
    stop_excess(shard& one, const team_name& team, const resources& excess)
    {
        resources left = excess;
        auto& tasks = one.running[team];
        while (!tasks.empty() && !left.is_zero())
        {
            left = max(left - tasks.back().each, resources{});
            tasks.pop_back();
        }
    }

    void start_tasks(std::size_t at, const allowance_plan& plan)
    {
        shard& one = shards_[at];
        for (auto& [team, queue] : one.queues)
        {
            const auto found = plan.bounds.find(team);
            const resources bound =
                found == plan.bounds.end() ? resources{} : found->second;
            resources used = running(at, team);
            while (!queue.empty() && (used + queue.front().each).fits_in(bound))
            {
                task next = queue.front();
                queue.pop_front();
                next.ends = now_ + next.run_time;
                used += next.each;
                one.running[team].push_back(next);
                ++one.started[team];
                ++starts_;
                const bool within =
                    bound.fits_in(replica_of(at).state.allowance(one.id, team));
                breaches_ += within ? 0 : 1;
            }
        }
    }

    allowance_simulation_settings settings_;
    std::mt19937_64 random_;
    std::vector<shard> shards_;
    std::vector<replica> replicas_;
    std::map<team_name, team_rule> rules_;
    cell_state authoritative_state_;
    std::vector<cell_record> log_;
    std::multimap<instant, in_flight_record> in_flight_;
    std::map<std::size_t, in_flight_record> unsettled_; ///< By offset.
    std::deque<std::size_t> log_size_by_round_;
    instant now_{};
    std::uint64_t ids_ = 0;
    std::size_t refused_ = 0;
    std::uint64_t plans_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t breaches_ = 0;
};

} // namespace acaciastile::testing
