#include "fleet/advice_dispatcher.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void advice_dispatcher::add(permit_request question)
{
    auto at = std::find_if(
        waiting_.begin(),
        waiting_.end(),
        [&](const permit_request& each)
        {
            return std::pair(each.priority, each.turn) >
                   std::pair(question.priority, question.turn);
        });
    waiting_.insert(at, std::move(question));
}

void advice_dispatcher::request_question(
    const instance_id& vm,
    instant now,
    instant deadline,
    question_handler deliver)
{
    const auto [seen, added] = last_seen_.insert_or_assign(vm, now);
    if (added)
    {
        active_vms_until_ = {};
    }
    if (auto unanswered = assignments_.extract(vm))
    {
        permit_request& question = unanswered.mapped().question;
        release(question);
        add(std::move(question)); // The VM has lost it.
    }
    if (const auto at = idle_vms_.find(vm); at != idle_vms_.end())
    {
        at->second.deliver(std::nullopt); // The VM has abandoned that request.
        idle_vms_.erase(at);
    }
    idle_vms_.emplace(vm, idle_vm{std::move(deliver), deadline});
    next_deadline_ = std::min(next_deadline_, deadline);
}

std::size_t advice_dispatcher::count_active_vms(instant now) const
{
    // VMs come and go rarely compared with the questions of a large fleet.
    constexpr milliseconds count_interval{50};
    if (now >= active_vms_until_)
    {
        active_vms_ = static_cast<std::size_t>(std::count_if(
            last_seen_.begin(),
            last_seen_.end(),
            [&](const auto& each)
            { return each.second + settings_.vm_inactive_after > now; }));
        active_vms_until_ = now + count_interval;
    }
    return active_vms_;
}

permit_request_budget advice_dispatcher::budget(instant now) const
{
    const auto lengthy = static_cast<std::size_t>(std::count_if(
        waiting_.begin(),
        waiting_.end(),
        [&](const permit_request& each) { return is_long(each); }));
    const std::size_t brief = waiting_.size() - lengthy;
    const auto first = static_cast<std::size_t>(std::count_if(
        waiting_.begin(),
        waiting_.end(),
        [&](const permit_request& each)
        { return each.turn == 0 && !is_long(each); }));
    const std::size_t max_brief_ready =
        std::max<std::size_t>(1, count_active_vms(now)) *
        settings_.short_ready_per_vm;
    return {
        max_brief_ready - std::min(max_brief_ready, brief),
        settings_.max_long_ready - std::min(settings_.max_long_ready, lengthy),
        settings_.long_question_threshold,
        max_brief_ready - std::min(max_brief_ready, first)};
}

std::vector<permit_request> advice_dispatcher::expire(instant now)
{
    std::vector<permit_request> overdue;
    if (now < next_deadline_)
    {
        return overdue;
    }
    next_deadline_ = instant::max();
    std::erase_if(
        assignments_,
        [&](auto& each)
        {
            if (each.second.deadline > now)
            {
                next_deadline_ = std::min(next_deadline_, each.second.deadline);
                return false;
            }
            release(each.second.question);
            overdue.push_back(std::move(each.second.question));
            return true;
        });
    for (auto at = idle_vms_.begin(); at != idle_vms_.end();)
    {
        if (at->second.deadline > now)
        {
            next_deadline_ = std::min(next_deadline_, at->second.deadline);
            ++at;
            continue;
        }
        question_handler deliver = std::move(at->second.deliver);
        at = idle_vms_.erase(at);
        deliver(std::nullopt);
    }
    return overdue;
}

std::vector<permit_request> advice_dispatcher::dispatch(instant now)
{
    const std::size_t active_vms = count_active_vms(now);
    const std::size_t long_allowed =
        active_vms > settings_.vms_reserved_for_short
            ? active_vms - settings_.vms_reserved_for_short
            : 1;
    // Of two VMs none is kept free: the other one may not reach the service.
    const std::size_t further_allowed =
        active_vms > settings_.vms_reserved_for_first + 1
            ? active_vms - settings_.vms_reserved_for_first
            : std::max<std::size_t>(1, active_vms);
    for (auto question = waiting_.begin();
         question != waiting_.end() && !idle_vms_.empty();)
    {
        if ((is_long(*question) && long_assigned_ >= long_allowed) ||
            (question->turn > 0 && further_assigned_ >= further_allowed))
        {
            ++question;
            continue;
        }
        long_assigned_ += is_long(*question) ? 1 : 0;
        further_assigned_ += question->turn > 0 ? 1 : 0;
        auto receiver = idle_vms_.extract(idle_vms_.begin());
        const instance_id vm = receiver.key();
        const instant deadline =
            now + question->expected * 2 + settings_.answer_grace;
        question->number = ++last_number_;
        assignments_[vm] = {*question, deadline};
        next_deadline_ = std::min(next_deadline_, deadline);
        // The VM counts as active while it works on the question.
        last_seen_[vm] = now + question->expected * 2;
        permit_request assigned = std::move(*question);
        question = waiting_.erase(question);
        receiver.mapped().deliver(std::move(assigned));
    }
    return expire(now);
}

std::optional<permit_request> advice_dispatcher::finish(
    const instance_id& vm, const step_id& step, std::uint64_t number)
{
    const auto at = assignments_.find(vm);
    if (at == assignments_.end() || at->second.question.step != step ||
        (number != 0 && at->second.question.number != number))
    {
        return std::nullopt;
    }
    std::optional<permit_request> answered = std::move(at->second.question);
    release(*answered);
    assignments_.erase(at);
    return answered;
}

void advice_dispatcher::close()
{
    auto idle = std::move(idle_vms_);
    idle_vms_.clear();
    for (auto& [vm, each] : idle)
    {
        each.deliver(std::nullopt);
    }
}

} // namespace acaciastile::fleet
