#include "fleet/permit_demand.hpp"

#include <algorithm>
#include <queue>
#include <tuple>

namespace acaciastile::fleet
{

void permit_demand::add(
    waiting_step& step,
    std::uint32_t tasks,
    const resources& ending,
    cap_check within_cap)
{
    const resources before = account_of(step).promised - ending;
    const auto admits = [&](std::uint32_t count) {
        return within_cap(
            before + step.needs * static_cast<std::int64_t>(count));
    };
    if (!admits(tasks))
    {
        if (step.spec->gang)
        {
            return;
        }
        // The largest number that the cap admits.
        std::uint32_t admitted = 0;
        while (admitted + 1 < tasks)
        {
            const std::uint32_t middle = admitted + (tasks - admitted) / 2;
            (admits(middle) ? admitted : tasks) = middle;
        }
        tasks = admitted;
    }
    if (tasks > 0)
    {
        promise(step, tasks);
        entries_.push_back({&step, step.job->account_index, tasks, none});
    }
}

bool permit_demand::is_same_rank(
    const waiting_step& left, const waiting_step& right)
{
    if (is_out_of_time(left.urgency) || is_out_of_time(right.urgency))
    {
        return is_out_of_time(left.urgency) == is_out_of_time(right.urgency);
    }
    return left.rank() == right.rank() && left.tight == right.tight;
}

void permit_demand::distribute(absl::FunctionRef<bool()> is_spent, request ask)
{
    const auto count = static_cast<std::uint32_t>(entries_.size());
    for (std::uint32_t begin = 0; begin < count && !is_spent();)
    {
        std::uint32_t end = begin + 1;
        while (end < count &&
               is_same_rank(*entries_[begin].step, *entries_[end].step))
        {
            ++end;
        }
        distribute_rank(begin, end, is_spent, ask);
        begin = end;
    }
}

void permit_demand::distribute_rank(
    std::uint32_t begin,
    std::uint32_t end,
    absl::FunctionRef<bool()> is_spent,
    request ask)
{
    /// Unanswered requests of an account, its next step, the account.
    using turn = std::tuple<std::uint32_t, std::uint32_t, account_state*>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    for (std::uint32_t at = begin; at < end; ++at)
    {
        account_state& account = accounts_[entries_[at].account];
        if (account.first == none)
        {
            account.first = at;
            turns.emplace(account.unanswered, at, &account);
        }
        else
        {
            entries_[account.last].next = at;
        }
        account.last = at;
    }
    while (!turns.empty())
    {
        account_state& account = *std::get<account_state*>(turns.top());
        const entry& next = entries_[account.first];
        turns.pop();
        account.first = next.next;
        if (!is_spent() && ask(*next.step, next.tasks))
        {
            ++account.unanswered;
        }
        if (account.first != none && !is_spent())
        {
            turns.emplace(account.unanswered, account.first, &account);
        }
        else
        {
            account.first = none;
        }
    }
}

} // namespace acaciastile::fleet
