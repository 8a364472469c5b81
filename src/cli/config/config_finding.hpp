#pragma once

#include "domain/source_position.hpp"

#include <array>
#include <string>
#include <string_view>

namespace acaciastile
{

/// What `check-config` can find in a document.
enum class config_finding_kind
{
    // Errors: `publish` and the cell refuse the document.
    unreadable,          ///< The file cannot be read.
    malformed,           ///< Not JSON.
    repeated_field,      ///< A field is given twice in one object.
    unknown_kind,        ///< Neither an inventory nor rules.
    invalid_value,       ///< A field is missing, unknown or out of its bounds.
    listed_twice,        ///< Two workers, teams or queues of one name.
    unknown_team,        ///< A queue refers to a team that is not listed.
    not_compared,        ///< The document to compare with cannot be had.
                         // Entries that never match.
    unused_team,         ///< No queue accepts jobs of the team.
    unused_charged_team, ///< The queue accepts no job without a key.
    team_repeated,       ///< A queue names a team twice.
    preemptible_unused,  ///< Tasks of the queue's policy are not preempted.
    address_unusable,    ///< No instance can call the worker.
                         // Limits that contradict each other or another entry.
    limit_of_nothing,    ///< A team's upper limit holds no task.
    queue_of_nothing,    ///< A queue accepts no job.
    queue_too_short,     ///< A gang queue accepts no job of two tasks.
    share_above_limit,   ///< A team cannot reach its share.
    rack_in_two_centres  ///< The scheduler takes two racks for one.
};

/// True for findings with which a document is refused or cannot be judged; the
/// others are warnings.
[[nodiscard]] constexpr bool is_error(config_finding_kind kind) noexcept
{
    return kind <= config_finding_kind::not_compared;
}

inline constexpr std::array<std::string_view, 18> config_finding_names{
    "unreadable",
    "malformed",
    "repeated_field",
    "unknown_kind",
    "invalid_value",
    "listed_twice",
    "unknown_team",
    "not_compared",
    "unused_team",
    "unused_charged_team",
    "team_repeated",
    "preemptible_unused",
    "address_unusable",
    "limit_of_nothing",
    "queue_of_nothing",
    "queue_too_short",
    "share_above_limit",
    "rack_in_two_centres"};

[[nodiscard]] constexpr std::string_view
to_string(config_finding_kind kind) noexcept
{
    return config_finding_names[static_cast<std::size_t>(kind)];
}

/// One finding and its place in the document.
struct config_finding
{
    config_finding_kind kind = config_finding_kind::malformed;
    std::string path; ///< Such as `queues[3].teams[0]`; empty: the document.
    source_position position;
    std::string message;
};

} // namespace acaciastile
