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
    std::size_t replicas = 4; ///< Copies of the fold that lag by themselves.
    milliseconds round{100};  ///< Between plans.
    milliseconds append_delay{200};  ///< Most, from a plan to the log.
    milliseconds read_lag{300};      ///< Most, from the log to a fold.
    milliseconds late_answer{5'000}; ///< Most delay of an unclear append.
    double dropped = 0.0; ///< Part of the records proven never written.
    double unclear = 0.0; ///< Part whose answer is lost; they land late.
    milliseconds take_over{3'000}; ///< From a lost owner to the next claim.
};

/// Owners of shards that plan allowances over one log, under a manual clock.
/// Records reach the log late, in any order, or not at all; owners are lost.
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
          readers_(settings.replicas)
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
        for (reader& one : readers_)
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

    /// Ends everything that the team runs on a shard.
    void end_tasks(std::size_t shard, const team_name& team)
    {
        shards_[shard].running[team].clear();
    }

    void set_limit(const team_name& team, const resources& limit)
    {
        rules_[team].upper_limit = limit;
        publish_rules();
    }

    /// Ends a shard's owner; its tasks run on. Another one follows.
    void lose_owner(std::size_t shard)
    {
        shards_[shard].planner.reset();
        shards_[shard].claim_at = now_ + settings_.take_over;
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
    [[nodiscard]] const cell_state& truth() const { return truth_; }
    [[nodiscard]] std::size_t records() const { return log_.size(); }
    [[nodiscard]] const cell_record& record(std::size_t at) const
    {
        return log_[at];
    }
    [[nodiscard]] std::size_t refused() const { return refused_; }
    [[nodiscard]] std::uint64_t plans() const { return plans_; }
    [[nodiscard]] std::uint64_t starts() const { return starts_; }
    /// Starts that exceeded the bound in force; must stay zero.
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
        return truth_.allowance(shards_[shard].id, team);
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

    /// A lagging copy of the fold.
    struct reader
    {
        cell_state state;
        std::size_t folded = 0;
        std::size_t visible = 0;
    };

    /// A record on its way to the log.
    struct flight
    {
        std::size_t shard = 0;
        shard_epoch epoch = 0;
        cell_record record;
        bool answered = true; ///< The owner hears of it once it is folded.
    };

    milliseconds draw(milliseconds most)
    {
        std::uniform_int_distribution<milliseconds::rep> any(0, most.count());
        return milliseconds{any(random_)};
    }

    bool chance(double part)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < part;
    }

    fold_outcome append(cell_record record)
    {
        const fold_outcome outcome = truth_.apply(log_.size() + 1, record);
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
                 truth_.rules_revision(), rules::create(teams, {}).value()}});
    }

    void claim(std::size_t at)
    {
        shard& one = shards_[at];
        const shard_claim* held = truth_.claim(one.id);
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
        land_flights();
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
            if (shards_[at].planner && reads_own_claim(at))
            {
                plan(at);
            }
        }
    }

    void land_flights()
    {
        while (!flights_.empty() && flights_.begin()->first <= now_)
        {
            flight landed = std::move(flights_.begin()->second);
            flights_.erase(flights_.begin());
            append(landed.record);
            if (landed.answered)
            {
                unsettled_[log_.size()] = std::move(landed);
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
        for (reader& one : readers_)
        {
            // Reads up to a random offset of the last interval's records.
            const milliseconds lag = draw(settings_.read_lag);
            const auto rounds = static_cast<std::size_t>(
                lag.count() /
                std::max<milliseconds::rep>(settings_.round.count(), 1));
            ends_of_rounds_.resize(
                std::max(ends_of_rounds_.size(), std::size_t{1}));
            const std::size_t seen =
                rounds == 0 || ends_of_rounds_.size() < rounds
                    ? log_.size()
                    : ends_of_rounds_[ends_of_rounds_.size() - rounds];
            one.visible = std::max(one.visible, seen);
            while (one.folded < one.visible)
            {
                one.state.apply(one.folded + 1, log_[one.folded]);
                ++one.folded;
            }
        }
        ends_of_rounds_.push_back(log_.size());
        if (ends_of_rounds_.size() > 1'000)
        {
            ends_of_rounds_.pop_front();
        }
    }

    reader& reader_of(std::size_t at) { return readers_[at % readers_.size()]; }

    bool reads_own_claim(std::size_t at)
    {
        return reader_of(at).folded >= shards_[at].epoch;
    }

    void settle_folded(std::size_t at)
    {
        const std::size_t folded = reader_of(at).folded;
        for (auto next = unsettled_.begin(); next != unsettled_.end();)
        {
            const bool is_own = next->second.shard == at;
            if (!is_own || next->first > folded)
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
        settle_folded(at);
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
        const allowance_plan made =
            one.planner->plan(now_, reader_of(at).state, loads);
        for (const cell_change& change : made.records)
        {
            send(at, change);
        }
        for (const auto& [team, excess] : made.excess)
        {
            stop_excess(one, team, excess);
        }
        start_tasks(at, made);
    }

    void send(std::size_t at, const cell_change& change)
    {
        flight sent{at, shards_[at].epoch, {next_id(), change}, true};
        if (chance(settings_.dropped))
        {
            shards_[at].planner->settled(change, verdict::not_run);
            return;
        }
        milliseconds delay = draw(settings_.append_delay);
        if (chance(settings_.unclear))
        {
            shards_[at].planner->settled(change, verdict::may_have_run);
            sent.answered = false;
            delay = draw(settings_.late_answer);
        }
        flights_.emplace(now_ + delay, std::move(sent));
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

    void start_tasks(std::size_t at, const allowance_plan& made)
    {
        shard& one = shards_[at];
        for (auto& [team, queue] : one.queues)
        {
            const auto found = made.bounds.find(team);
            const resources bound =
                found == made.bounds.end() ? resources{} : found->second;
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
                    bound.fits_in(reader_of(at).state.allowance(one.id, team));
                breaches_ += within ? 0 : 1;
            }
        }
    }

    allowance_simulation_settings settings_;
    std::mt19937_64 random_;
    std::vector<shard> shards_;
    std::vector<reader> readers_;
    std::map<team_name, team_rule> rules_;
    cell_state truth_;
    std::vector<cell_record> log_;
    std::multimap<instant, flight> flights_;
    std::map<std::size_t, flight> unsettled_; ///< By offset.
    std::deque<std::size_t> ends_of_rounds_;
    instant now_{};
    std::uint64_t ids_ = 0;
    std::size_t refused_ = 0;
    std::uint64_t plans_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t breaches_ = 0;
};

} // namespace acaciastile::testing
