#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Stable codes of refusals and errors, as callers and operators see them.
/// docs/API.md lists every one; a test holds the two against each other.
enum class refusal_code
{
    malformed,           ///< The input could not be parsed.
    invalid_value,       ///< A field holds a value that is not allowed.
    body_too_large,      ///< The body exceeds the configured bound.
    unauthenticated,     ///< No key, an unknown key or a withdrawn key.
    forbidden,           ///< The key does not carry the needed right.
    unknown_team,        ///< No team of that name is in force.
    unknown_queue,       ///< No queue of that name is in force.
    unknown_job,         ///< No job or request has that id.
    unknown_worker,      ///< No worker has that id.
    conflicting_id,      ///< The id was used before for other content.
    revision_conflict,   ///< The base revision is not the one in force.
    limit_exceeded,      ///< A team's upper limit would be exceeded.
    can_never_run,       ///< No worker of the inventory could hold it.
    queue_full,          ///< The team's queue is at its bound.
    overloaded,          ///< Load was shed before any work was done.
    stale_configuration, ///< Neither the log nor a peer confirms the keys.
    log_unavailable,     ///< The platform's log did not take the record.
    not_owner,           ///< The shard is owned by another instance.
    no_owner,            ///< The shard has no live owner at the moment.
    stale_epoch,         ///< A newer owner has sealed the worker.
    stale_lease,         ///< The command arrived after its lease ended.
    worker_full,         ///< The worker cannot hold the task.
    worker_leaving,      ///< The worker takes no new work.
    worker_failed,       ///< The worker failed the task.
    unreachable,         ///< The network call brought no answer.
    deadline_exceeded,   ///< The request's deadline passed.
    cancelled,           ///< The caller cancelled it.
    outcome_unknown,     ///< It may have run and is not started again.
    offset_expired,      ///< The log no longer keeps that offset.
    shutting_down,       ///< The instance accepts nothing new.
    internal             ///< A fault of this program.
};

/// Every code with its stable name, in order of the enumeration.
inline constexpr std::array<std::pair<refusal_code, std::string_view>, 31>
    refusal_code_names{{
        {refusal_code::malformed, "malformed"},
        {refusal_code::invalid_value, "invalid_value"},
        {refusal_code::body_too_large, "body_too_large"},
        {refusal_code::unauthenticated, "unauthenticated"},
        {refusal_code::forbidden, "forbidden"},
        {refusal_code::unknown_team, "unknown_team"},
        {refusal_code::unknown_queue, "unknown_queue"},
        {refusal_code::unknown_job, "unknown_job"},
        {refusal_code::unknown_worker, "unknown_worker"},
        {refusal_code::conflicting_id, "conflicting_id"},
        {refusal_code::revision_conflict, "revision_conflict"},
        {refusal_code::limit_exceeded, "limit_exceeded"},
        {refusal_code::can_never_run, "can_never_run"},
        {refusal_code::queue_full, "queue_full"},
        {refusal_code::overloaded, "overloaded"},
        {refusal_code::stale_configuration, "stale_configuration"},
        {refusal_code::log_unavailable, "log_unavailable"},
        {refusal_code::not_owner, "not_owner"},
        {refusal_code::no_owner, "no_owner"},
        {refusal_code::stale_epoch, "stale_epoch"},
        {refusal_code::stale_lease, "stale_lease"},
        {refusal_code::worker_full, "worker_full"},
        {refusal_code::worker_leaving, "worker_leaving"},
        {refusal_code::worker_failed, "worker_failed"},
        {refusal_code::unreachable, "unreachable"},
        {refusal_code::deadline_exceeded, "deadline_exceeded"},
        {refusal_code::cancelled, "cancelled"},
        {refusal_code::outcome_unknown, "outcome_unknown"},
        {refusal_code::offset_expired, "offset_expired"},
        {refusal_code::shutting_down, "shutting_down"},
        {refusal_code::internal, "internal"},
    }};

[[nodiscard]] constexpr std::string_view to_string(refusal_code code) noexcept
{
    return refusal_code_names[static_cast<std::size_t>(code)].second;
}

} // namespace acaciastile
