#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "domain/result.hpp"
#include "domain/work_class.hpp"

#include <cstdint>
#include <vector>

namespace acaciastile
{

/// A team's share of the capacity under contention, and its upper limit on
/// concurrently used resources over all workers.
struct team_rule
{
    team_name name;
    std::uint32_t share = 1; ///< Weight relative to the other teams.
    resources upper_limit;

    [[nodiscard]] bool operator==(const team_rule&) const = default;
};

/// Access and scheduling policy of a queue.
struct queue_rule
{
    queue_name name;
    work_class policy = work_class::batch;
    bool open_to_all = false;     ///< Accepts jobs without a key.
    std::vector<team_name> teams; ///< May submit; empty: every team with a key.
    team_name charged_team;       ///< Charged for jobs without a key.
    std::uint32_t queue_bound = 100'000; ///< Max. waiting tasks of each team.
    bool preemptible = false;            ///< Running tasks may be checkpointed.
    bool oversubscribe = false; ///< Places by measured, not declared, usage.

    [[nodiscard]] bool operator==(const queue_rule&) const = default;
};

/// Teams and queues as published by operators.
/// Invariants: names are unique and not empty; queues refer to known teams;
/// shares are positive; upper limits are not negative.
class rules
{
public:
    rules() = default;

    /// Errors: `invalid_value` or `unknown_team`; the message names the team or
    /// queue.
    [[nodiscard]] static result<rules>
    create(std::vector<team_rule> teams, std::vector<queue_rule> queues);

    [[nodiscard]] const std::vector<team_rule>& teams() const noexcept
    {
        return teams_;
    }
    [[nodiscard]] const std::vector<queue_rule>& queues() const noexcept
    {
        return queues_;
    }

    /// Null if no rule has this name.
    [[nodiscard]] const team_rule* find(const team_name& name) const noexcept;
    [[nodiscard]] const queue_rule* find(const queue_name& name) const noexcept;

    [[nodiscard]] bool operator==(const rules&) const = default;

private:
    std::vector<team_rule> teams_;
    std::vector<queue_rule> queues_;
};

} // namespace acaciastile
