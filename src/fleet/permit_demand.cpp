#include "fleet/permit_demand.hpp"

#include <queue>
#include <tuple>

namespace acaciastile::fleet
{

std::uint32_t
permit_demand::admitted(const entry& wanted, cap_check within_cap) const
{
    const waiting_step& step = *wanted.step;
    const resources before = wanted.before + accounts_[wanted.account].asked;
    const auto admits = [&](std::uint32_t count)
    {
        return within_cap(
            step, before + step.needs * static_cast<std::int64_t>(count));
    };
    if (admits(wanted.tasks))
    {
        return wanted.tasks;
    }
    if (step.spec->gang)
    {
        return 0;
    }
    std::uint32_t found = 0;
    std::uint32_t too_many = wanted.tasks;
    while (found + 1 < too_many)
    {
        const std::uint32_t middle = found + (too_many - found) / 2;
        (admits(middle) ? found : too_many) = middle;
    }
    return found;
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

void permit_demand::distribute(
    absl::FunctionRef<bool()> is_spent, cap_check within_cap, request ask)
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
        distribute_rank(begin, end, is_spent, within_cap, ask);
        begin = end;
    }
}

void permit_demand::distribute_rank(
    std::uint32_t begin,
    std::uint32_t end,
    absl::FunctionRef<bool()> is_spent,
    cap_check within_cap,
    request ask)
{
    /// Turns that an account has had, its next step, the account.
    using turn = std::tuple<std::uint32_t, std::uint32_t, account_state*>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    for (std::uint32_t at = begin; at < end; ++at)
    {
        account_state& account = accounts_[entries_[at].account];
        if (account.first == none)
        {
            account.first = at;
            turns.emplace(account.unanswered + account.in_vain, at, &account);
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
        const std::uint32_t tasks = is_spent() ? 0 : admitted(next, within_cap);
        if (tasks > 0 && ask(*next.step, tasks))
        {
            ++account.unanswered;
            account.asked +=
                next.step->needs * static_cast<std::int64_t>(tasks);
        }
        else if (tasks > 0)
        {
            ++account.in_vain;
        }
        if (account.first != none && !is_spent())
        {
            turns.emplace(
                account.unanswered + account.in_vain, account.first, &account);
        }
        else
        {
            account.first = none;
        }
    }
}

} // namespace acaciastile::fleet
