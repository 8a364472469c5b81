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

/// A team's share for when the fleet is full, and its upper limit on what it
/// may run at once over the whole fleet.
struct team_rule
{
    team_name name;
    std::uint32_t share = 1; ///< Weight relative to the other teams.
    resources upper_limit;

    [[nodiscard]] bool operator==(const team_rule&) const = default;
};

/// Who may use a queue and the policy of what waits in it.
struct queue_rule
{
    queue_name name;
    work_class policy = work_class::batch;
    bool open_to_all = false;            ///< Takes work without a key.
    std::vector<team_name> teams;        ///< Empty: every team with a key.
    team_name charged_team;              ///< Charged for keyless work.
    std::uint32_t queue_bound = 100'000; ///< Waiting tasks for each team.
    bool preemptible = false;            ///< Running tasks may be checkpointed.
    bool oversubscribe = false; ///< Places by learnt, not declared, usage.

    [[nodiscard]] bool operator==(const queue_rule&) const = default;
};

/// The rules that operators publish on top of the inventory.
/// Holds: names are unique, queues name known teams, shares are positive.
class rules
{
public:
    rules() = default;

    /// Errors: `invalid_value` or `unknown_team`, naming the rule.
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

    /// Null where no such name is in force.
    [[nodiscard]] const team_rule* find(const team_name& name) const noexcept;
    [[nodiscard]] const queue_rule* find(const queue_name& name) const noexcept;

    [[nodiscard]] bool operator==(const rules&) const = default;

private:
    std::vector<team_rule> teams_;
    std::vector<queue_rule> queues_;
};

} // namespace acaciastile
