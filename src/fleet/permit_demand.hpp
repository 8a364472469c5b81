#pragma once

#include "fleet/waiting_step.hpp"

#include <absl/functional/function_ref.h>
#include <cstdint>
#include <vector>

namespace acaciastile::fleet
{

/// Which steps may ask for permits in one planning pass, and in which order.
/// Steps are added in planning order. For each account it counts the use that
/// earlier steps add once they start: a step asks only for as many tasks as the
/// account's cap admits beside it.
class permit_demand
{
public:
    /// Returns true if the account of the step stays within its cap with
    /// `added`.
    using cap_check = absl::FunctionRef<bool(
        const waiting_step& step, const resources& added)>;
    /// Asks for permits for so many tasks of the step. Returns true if a
    /// request is sent.
    using request =
        absl::FunctionRef<bool(waiting_step& step, std::uint32_t tasks)>;

    explicit permit_demand(std::size_t accounts) : accounts_(accounts) {}

    /// Counts a request of the account that is not answered yet.
    void add_unanswered(const waiting_step& step)
    {
        ++account_of(step).unanswered;
    }

    /// Counts the use of so many tasks that have permits or wait for them, for
    /// the steps that are added later.
    void promise(const waiting_step& step, std::uint32_t tasks)
    {
        account_of(step).promised +=
            step.needs * static_cast<std::int64_t>(tasks);
    }

    /// Adds a step that needs permits for `tasks`, or for all of them if it is
    /// a gang. `ending`: what the account's runs are expected to free before
    /// the permits expire.
    void add(waiting_step& step, std::uint32_t tasks, const resources& ending)
    {
        entries_.push_back(
            {&step,
             step.job->account_index,
             tasks,
             account_of(step).promised - ending,
             none});
    }

    /// Asks for the added steps, those of higher rank first, as far as their
    /// accounts' caps admit. Steps of one rank take turns by account: the
    /// account with the fewest unanswered requests comes first, then the
    /// planning order decides. A step that finds no worker to ask for holds up
    /// no other one; as its search is work all the same, it counts as a turn.
    /// What is out of time has one rank, as no account's backlog may keep
    /// another's work waiting for good. Ends when `is_spent` returns true.
    void distribute(
        absl::FunctionRef<bool()> is_spent, cap_check within_cap, request ask);

    /// Unanswered requests of the step's account.
    [[nodiscard]] std::uint32_t unanswered(const waiting_step& step) const
    {
        return accounts_[step.job->account_index].unanswered;
    }

private:
    struct account_state
    {
        resources promised;
        resources asked; ///< By steps that have asked in this pass.
        std::uint32_t unanswered = 0;
        std::uint32_t in_vain = 0; ///< Searches of this pass for no worker.
        /// First and last added step of the rank that is being distributed.
        std::uint32_t first = none;
        std::uint32_t last = none;
    };
    struct entry
    {
        waiting_step* step = nullptr;
        std::uint32_t account = 0;
        std::uint32_t tasks = 0;
        /// Promised to earlier steps of the account, less what ends soon.
        resources before;
        std::uint32_t next = none; ///< Of the same account and rank.
    };

    static constexpr std::uint32_t none = ~std::uint32_t{0};

    [[nodiscard]] account_state& account_of(const waiting_step& step)
    {
        return accounts_[step.job->account_index];
    }
    [[nodiscard]] static bool
    is_same_rank(const waiting_step& left, const waiting_step& right);
    /// The largest number of the entry's tasks that the cap admits; for a gang,
    /// all or none.
    [[nodiscard]] std::uint32_t
    admitted(const entry& wanted, cap_check within_cap) const;
    void distribute_rank(
        std::uint32_t begin,
        std::uint32_t end,
        absl::FunctionRef<bool()> is_spent,
        cap_check within_cap,
        request ask);

    std::vector<account_state> accounts_;
    std::vector<entry> entries_;
};

} // namespace acaciastile::fleet
