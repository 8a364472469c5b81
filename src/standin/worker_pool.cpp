#include "standin/worker_pool.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace acaciastile::standin
{

using fleet::run_end;
using fleet::start_refusal;
using fleet::task_ref;

/// One incarnation of a worker.
struct worker_pool::incarnation_state
{
    fleet::worker_registration about;
    instant born{};
    std::uint64_t token = 0;
    worker_instant lease{};
    /// A later run of a task may start while an earlier one is still listed.
    std::set<std::pair<task_ref, fleet::run_number>> runs;
    /// For each task, runs up to this number are not started any more.
    std::map<task_ref, fleet::run_number> last_superseded_run;
    std::vector<fleet::ended_run> ended;
    std::uint64_t last_end = 0;
    std::uint64_t acknowledged = 0;
    instant lapsed{}; ///< When the lease last lapsed.
    bool ended_by_restart = false;
    bool crashed = false; ///< Its process has ended, and no other has begun.
    worker_pool::faults active_faults;
    std::vector<std::function<void()>> pending_holds;
};

worker_pool::worker_pool(fleet::scheduler_clock& clock, settings options)
    : clock_(clock), options_(options)
{
    behaviour = [](const task_ref&) { return task_behaviour{}; };
    speed = [](const worker_id&) { return 1.0; };
    crashes_after = [](const task_ref&) { return std::nullopt; };
    needs = [](const task_ref&) { return resources{}; };
    gang_size = [](const task_ref&) { return 0U; };
    permitted = [](const worker_id&, const fleet::start_order&)
    { return true; };
}

worker_pool::~worker_pool() = default;

std::uint64_t worker_pool::add(fleet::worker_registration about)
{
    about.incarnation = next_incarnation_++;
    auto created = std::make_shared<incarnation_state>();
    created->born = clock_.now();
    created->about = about;
    workers_[about.id] = std::move(created);
    return about.incarnation;
}

std::uint64_t worker_pool::restart(const worker_id& id)
{
    auto& at = workers_.at(id);
    fleet::worker_registration about = at->about;
    end_process(*at);
    return add(std::move(about));
}

void worker_pool::end_process(incarnation_state& worker)
{
    for (const auto& [task, run] : worker.runs)
    {
        events_.push_back(
            {worker_event::kind::ended,
             clock_.now(),
             worker.about.id,
             task,
             run,
             run_end::lapsed,
             0,
             {},
             {}});
    }
    worker.runs.clear();
    worker.ended_by_restart = true;
}

void worker_pool::crash(const worker_id& id)
{
    incarnation_state& worker = *workers_.at(id);
    if (worker.ended_by_restart)
    {
        return;
    }
    const auto runs = worker.runs;
    end_process(worker);
    worker.crashed = true;
    for (const auto& [task, run] : runs)
    {
        break_gang(task, run);
    }
    std::vector<std::function<void()>> pending_holds;
    pending_holds.swap(worker.pending_holds);
    for (auto& each : pending_holds)
    {
        each();
    }
    if (on_crash)
    {
        on_crash(id);
    }
}

worker_pool::faults& worker_pool::faults_of(const worker_id& id)
{
    return workers_.at(id)->active_faults;
}

void worker_pool::end_runs(const task_ref& task, run_end how)
{
    for (const auto& [id, each] : workers_)
    {
        const auto runs = each->runs;
        for (const auto& [running, run] : runs)
        {
            if (running == task)
            {
                finish(*each, task, run, how);
            }
        }
    }
}

std::size_t worker_pool::running() const
{
    std::size_t count = 0;
    for (const auto& [id, each] : workers_)
    {
        count += each->runs.size();
    }
    return count;
}

std::uint64_t worker_pool::token_of(const worker_id& id) const
{
    return workers_.at(id)->token;
}

std::uint64_t worker_pool::acknowledged_of(const worker_id& id) const
{
    return workers_.at(id)->acknowledged;
}

worker_instant worker_pool::clock_of(const incarnation_state& worker) const
{
    constexpr milliseconds first{1'000};
    return worker_instant(clock_.now() - worker.born + first);
}

template<class Answer>
void worker_pool::deliver(
    const fleet::worker_address& target,
    std::function<result<Answer>(incarnation_state&)> work,
    fleet::completion<Answer> done,
    milliseconds faults::*transit)
{
    ++calls_;
    const auto at = workers_.find(target.id);
    auto time_out = [this, done](verdict effect)
    {
        clock_.after(
            options_.answer_timeout,
            [done, effect] {
                done(
                    refuse(refusal_code::deadline_exceeded, effect, "timeout"));
            });
    };
    if (at == workers_.end() || at->second->active_faults.silent)
    {
        time_out(verdict::may_have_run);
        return;
    }
    if (at->second->active_faults.refusing || at->second->crashed)
    {
        const bool sent = kept_connections && at->second->crashed;
        done(refuse(
            refusal_code::unreachable,
            sent ? verdict::may_have_run : verdict::not_run,
            "refused"));
        return;
    }
    const std::shared_ptr<incarnation_state> target_worker = at->second;
    const milliseconds late = target_worker->active_faults.late;
    const bool loses_reply =
        target_worker->active_faults.losing_answers || late.count() > 0;
    const milliseconds way = transit == nullptr
                                 ? milliseconds::zero()
                                 : target_worker->active_faults.*transit;
    clock_.after(
        way + (late.count() > 0 ? late : options_.latency),
        [this,
         target_worker,
         work,
         done,
         loses_reply,
         outlives = outlives_restart(target.id)]
        {
            if (workers_.at(target_worker->about.id)->crashed)
            {
                done(refuse(
                    refusal_code::unreachable, verdict::may_have_run, "reset"));
                return;
            }
            if (target_worker->ended_by_restart && !outlives)
            {
                return;
            }
            result<Answer> answer = work(*workers_.at(target_worker->about.id));
            if (!loses_reply)
            {
                done(std::move(answer));
            }
        });
    if (loses_reply)
    {
        time_out(verdict::may_have_run);
    }
}

bool worker_pool::is_other_incarnation(
    incarnation_state& worker,
    const fleet::worker_address& required,
    std::uint64_t token)
{
    if (required.incarnation == worker.about.incarnation)
    {
        return false;
    }
    worker.token = std::max(worker.token, token);
    return true;
}

bool worker_pool::outlives_restart(const worker_id& id) const
{
    const auto at = workers_.find(id);
    return orders_outlive_restarts ||
           (late_orders_outlive_restarts && at != workers_.end() &&
            at->second->active_faults.late.count() > 0);
}

void worker_pool::extend(incarnation_state& worker, worker_instant until)
{
    worker.lease = std::max(
        worker.lease,
        std::min(until, clock_of(worker) + options_.longest_lease));
    clock_.after(
        worker.lease - clock_of(worker),
        [this,
         weak = std::weak_ptr<incarnation_state>(workers_.at(worker.about.id))]
        {
            if (const auto target_worker = weak.lock())
            {
                expire_lease(*target_worker);
            }
        });
}

void worker_pool::expire_lease(incarnation_state& worker)
{
    if (worker.ended_by_restart || clock_of(worker) < worker.lease)
    {
        return;
    }
    worker.lapsed = clock_.now();
    while (!worker.runs.empty())
    {
        const auto [task, run] = *worker.runs.begin();
        finish(worker, task, run, run_end::lapsed);
    }
}

void worker_pool::acknowledge(
    incarnation_state& worker, std::uint64_t acknowledged)
{
    worker.acknowledged = std::max(worker.acknowledged, acknowledged);
    std::erase_if(
        worker.ended,
        [&](const fleet::ended_run& each)
        {
            if (each.number > acknowledged)
            {
                return false;
            }
            const auto end = std::find_if(
                events_.rbegin(),
                events_.rend(),
                [&](const worker_event& seen)
                {
                    return seen.what == worker_event::kind::ended &&
                           seen.worker == worker.about.id &&
                           seen.task == each.task && seen.run == each.run;
                });
            if (end != events_.rend() && end->at > worker.lapsed)
            {
                noted_ends_.push_back(*end);
            }
            return true;
        });
}

void worker_pool::finish(
    incarnation_state& worker,
    const task_ref& task,
    fleet::run_number run,
    run_end how)
{
    if (worker.ended_by_restart || worker.runs.erase({task, run}) == 0)
    {
        return;
    }
    auto& last_superseded_run = worker.last_superseded_run[task];
    last_superseded_run = std::max(last_superseded_run, run);
    worker.ended.push_back({++worker.last_end, task, run, how, {}});
    events_.push_back(
        {worker_event::kind::ended,
         clock_.now(),
         worker.about.id,
         task,
         run,
         how,
         worker.token,
         {},
         {}});
    std::vector<std::function<void()>> pending_holds;
    pending_holds.swap(worker.pending_holds);
    for (auto& each : pending_holds)
    {
        each();
    }
    if (how != run_end::done)
    {
        break_gang(task, run);
    }
}

void worker_pool::break_gang(const task_ref& task, fleet::run_number run)
{
    if (gang_size(task) <= 1)
    {
        return;
    }
    for (const auto& [id, other] : workers_)
    {
        std::vector<task_ref> broken;
        for (const auto& [member, member_run] : other->runs)
        {
            if (member.step == task.step && member_run == run)
            {
                broken.push_back(member);
            }
        }
        for (const task_ref& member : broken)
        {
            finish(*other, member, run, run_end::gang_broken);
        }
    }
}

void worker_pool::begin_execution(const task_ref& any, fleet::run_number run)
{
    const std::uint32_t size = std::max(1U, gang_size(any));
    std::uint32_t present = 0;
    double slowest = std::numeric_limits<double>::max();
    for (const auto& [id, each] : workers_)
    {
        for (const auto& [task, member_run] : each->runs)
        {
            const bool is_member =
                size == 1 ? task == any
                          : task.step == any.step && member_run == run;
            present += is_member ? 1 : 0;
            slowest = is_member ? std::min(slowest, speed(id)) : slowest;
        }
    }
    if (present < size)
    {
        return;
    }
    const task_behaviour how = behaviour(any);
    clock_.after(
        how.fails ? milliseconds{50}
                  : milliseconds(static_cast<milliseconds::rep>(
                        static_cast<double>(how.work.count()) / slowest)),
        [this, any, run, size, fails = how.fails]
        {
            for (const auto& [id, each] : workers_)
            {
                std::vector<task_ref> members;
                for (const auto& [task, member_run] : each->runs)
                {
                    if (member_run == run &&
                        (size == 1 ? task == any : task.step == any.step))
                    {
                        members.push_back(task);
                    }
                }
                for (const task_ref& task : members)
                {
                    const bool bad = fails || each->active_faults.failing;
                    finish(
                        *each,
                        task,
                        run,
                        bad ? run_end::failed : run_end::done);
                }
            }
        });
}

fleet::start_answer worker_pool::begin(
    incarnation_state& worker,
    std::uint64_t token,
    worker_instant until,
    const fleet::start_order& order)
{
    fleet::start_answer answer;
    answer.clock = clock_of(worker);
    if (worker.active_faults.unhealthy)
    {
        answer.refusal = start_refusal::unhealthy;
        return answer;
    }
    if (rejects && rejects(worker.about.id, order))
    {
        answer.refusal = start_refusal::malformed;
        return answer;
    }
    if (token < worker.token)
    {
        answer.refusal = start_refusal::fenced;
        return answer;
    }
    worker.token = token;
    if (until <= clock_of(worker))
    {
        answer.refusal = start_refusal::too_late;
        return answer;
    }
    extend(worker, until); // Also by an order that is refused below.
    const auto last_superseded_run =
        worker.last_superseded_run.find(order.task);
    if (last_superseded_run != worker.last_superseded_run.end() &&
        order.run <= last_superseded_run->second)
    {
        answer.refusal = start_refusal::superseded;
        return answer;
    }
    if (worker.runs.contains({order.task, order.run}))
    {
        return answer;
    }
    if (!permitted(worker.about.id, order))
    {
        answer.refusal = start_refusal::permit;
        return answer;
    }
    worker.runs.emplace(order.task, order.run);
    events_.push_back(
        {worker_event::kind::started,
         clock_.now(),
         worker.about.id,
         order.task,
         order.run,
         run_end::done,
         token,
         order.payload,
         order.checkpoint});
    if (const auto delay = crashes_after(order.task))
    {
        clock_.after(
            *delay,
            [this, sent_to = workers_.at(worker.about.id)]
            {
                if (!sent_to->ended_by_restart)
                {
                    crash(sent_to->about.id);
                }
            });
        return answer;
    }
    begin_execution(order.task, order.run);
    return answer;
}

void worker_pool::start(
    const fleet::worker_address& target,
    std::uint64_t token,
    worker_instant lease_until,
    fleet::start_order order,
    fleet::completion<fleet::start_answer> done)
{
    const auto known = workers_.find(target.id);
    if (order.after_answer && known != workers_.end() && known->second->crashed)
    {
        done(refuse(refusal_code::unreachable, "refused"));
        return;
    }
    if (known != workers_.end() &&
        known->second->active_faults.earlier_copy.count() > 0)
    {
        clock_.after(
            known->second->active_faults.earlier_copy,
            [this, sent_to = known->second, token, lease_until, order]
            {
                if (!workers_.at(sent_to->about.id)->crashed &&
                    (!sent_to->ended_by_restart || orders_outlive_restarts))
                {
                    begin(
                        *workers_.at(sent_to->about.id),
                        token,
                        lease_until,
                        order);
                }
            });
        done = [done = std::move(done)](result<fleet::start_answer> answer)
        {
            if (answer)
            {
                answer->unanswered_copy = true;
            }
            else
            {
                answer.error().effect = verdict::may_have_run;
            }
            done(std::move(answer));
        };
    }
    deliver<fleet::start_answer>(
        target,
        [this,
         target,
         token,
         lease_until,
         order = std::move(order),
         outlives = outlives_restart(target.id)](
            incarnation_state& worker) -> result<fleet::start_answer>
        {
            if (token >= worker.token && !outlives &&
                is_other_incarnation(worker, target, token))
            {
                return fleet::start_answer{
                    start_refusal::other_incarnation, {}, false};
            }
            return begin(worker, token, lease_until, order);
        },
        std::move(done),
        &faults::order_transit);
}

void worker_pool::stop(
    const fleet::worker_address& target,
    std::uint64_t token,
    const task_ref& task,
    fleet::run_number run,
    fleet::completion<worker_instant> done)
{
    const auto known = workers_.find(target.id);
    if (known != workers_.end() && known->second->active_faults.losing_stops)
    {
        clock_.after(
            options_.answer_timeout,
            [done = std::move(done)]
            {
                done(refuse(
                    refusal_code::deadline_exceeded,
                    verdict::may_have_run,
                    "timeout"));
            });
        return;
    }
    deliver<worker_instant>(
        target,
        [this, token, task, run](
            incarnation_state& worker) -> result<worker_instant>
        {
            if (token < worker.token)
            {
                return refuse(refusal_code::stale_epoch, "fence");
            }
            worker.token = token;
            if (!worker.runs.contains({task, run}))
            {
                auto& last_superseded_run = worker.last_superseded_run[task];
                last_superseded_run = std::max(last_superseded_run, run);
                return clock_of(worker);
            }
            clock_.after(
                options_.stop_time,
                [this, told = workers_.at(worker.about.id), task, run]
                { finish(*told, task, run, run_end::stopped); });
            return clock_of(worker);
        },
        std::move(done));
}

fleet::worker_status
worker_pool::status_of(const incarnation_state& worker) const
{
    fleet::worker_status status;
    status.incarnation = worker.about.incarnation;
    status.clock = clock_of(worker);
    for (const auto& [task, run] : worker.runs)
    {
        status.running.push_back({task, run, {}, 0});
    }
    status.ended = worker.ended;
    return status;
}

void worker_pool::answer_hold(
    incarnation_state& worker,
    instant until,
    fleet::completion<fleet::worker_status> done)
{
    if (!worker.ended.empty() || clock_.now() >= until)
    {
        done(status_of(worker));
        return;
    }
    auto replied = std::make_shared<bool>(false);
    auto reply = [this,
                  replied,
                  done,
                  until,
                  target_worker = workers_.at(worker.about.id)]
    {
        if (!*replied && target_worker->crashed)
        {
            *replied = true;
            done(refuse(
                refusal_code::unreachable, verdict::may_have_run, "reset"));
        }
        else if (
            !*replied && !target_worker->ended_by_restart &&
            !target_worker->active_faults.silent)
        {
            *replied = true;
            done(status_of(*target_worker));
        }
        else if (!*replied)
        {
            *replied = true; // The client gets no reply and times out.
            clock_.after(
                std::max(milliseconds::zero(), until - clock_.now()) +
                    options_.answer_timeout,
                [done]
                {
                    done(refuse(
                        refusal_code::deadline_exceeded,
                        verdict::may_have_run,
                        "timeout"));
                });
        }
    };
    worker.pending_holds.emplace_back(reply);
    clock_.after(until - clock_.now(), reply);
}

void worker_pool::hold(
    const fleet::worker_address& target,
    std::uint64_t token,
    std::uint64_t acknowledged,
    std::optional<worker_instant> lease_until,
    milliseconds wait,
    fleet::completion<fleet::worker_status> done)
{
    const instant until = clock_.now() + wait;
    auto answered = std::make_shared<bool>(false);
    const auto known = workers_.find(target.id);
    if (known != workers_.end() &&
        known->second->active_faults.report_transit.count() > 0)
    {
        done = [this,
                way = known->second->active_faults.report_transit,
                done = std::move(done)](result<fleet::worker_status> report)
        { clock_.after(way, [done, report] { done(report); }); };
    }
    deliver<bool>(
        target,
        [this,
         target,
         token,
         acknowledged,
         lease_until,
         until,
         done,
         answered,
         outlives = outlives_restart(target.id)](
            incarnation_state& worker) -> result<bool>
        {
            if (token < worker.token)
            {
                return refuse(refusal_code::stale_epoch, "fence");
            }
            if ((lease_until || acknowledged > 0) && !outlives &&
                is_other_incarnation(worker, target, token))
            {
                return refuse(
                    refusal_code::unknown_worker, "another incarnation");
            }
            worker.token = token;
            acknowledge(worker, acknowledged);
            if (lease_until)
            {
                extend(worker, *lease_until);
            }
            *answered = true;
            answer_hold(worker, until, done);
            return true;
        },
        [done, answered](const result<bool>& outcome)
        {
            if (!outcome && !*answered)
            {
                done(tl::unexpected(outcome.error()));
            }
        });
}

void policy_stand_in::ask(
    const fleet::step_id& step,
    const std::vector<worker_id>& workers,
    milliseconds timeout,
    fleet::completion<fleet::permits> done)
{
    ++calls;
    if (silent)
    {
        clock_.after(
            timeout,
            [done]
            {
                done(refuse(
                    refusal_code::deadline_exceeded,
                    verdict::may_have_run,
                    "timeout"));
            });
        return;
    }
    const milliseconds work =
        base + per_worker * static_cast<milliseconds::rep>(workers.size());
    free_at_ = std::max(free_at_, clock_.now()) + work;
    fleet::permits answer;
    answer.valid = valid;
    for (const worker_id& worker : workers)
    {
        if (!allows || allows(step, worker))
        {
            answer.allowed.push_back(
                {worker, step.job.str() + "/" + worker.str()});
        }
    }
    clock_.after(free_at_ - clock_.now(), [done, answer] { done(answer); });
}

} // namespace acaciastile::standin
