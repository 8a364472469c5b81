#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Stable error codes of the API. A test checks that docs/API.md lists the same
/// ones.
enum class refusal_code
{
    malformed,           ///< The input could not be parsed.
    invalid_value,       ///< A field has a value that is not allowed.
    body_too_large,      ///< The body exceeds the configured size limit.
    unauthenticated,     ///< The key is missing, unknown or withdrawn.
    forbidden,           ///< The key does not permit the operation.
    unknown_team,        ///< No rule in force defines this team.
    unknown_queue,       ///< No rule in force defines this queue.
    unknown_job,         ///< No job or request has this id.
    unknown_worker,      ///< No worker has this id.
    conflicting_id,      ///< The id is already used with other content.
    revision_conflict,   ///< The base revision is no longer in force.
    limit_exceeded,      ///< A team's upper limit would be exceeded.
    can_never_run,       ///< No worker in the inventory is large enough.
    queue_full,          ///< The team's queue has reached its limit.
    overloaded,          ///< Rejected under load before any work began.
    stale_configuration, ///< Neither the log nor a peer confirmed the keys.
    log_unavailable,     ///< The platform's log did not accept the record.
    not_owner,           ///< The shard is owned by another instance.
    no_owner,            ///< The shard currently has no live owner.
    stale_epoch,         ///< A newer owner has fenced off this epoch.
    stale_lease,         ///< The command arrived after its lease expired.
    worker_full,         ///< The worker has too little free capacity.
    worker_leaving,      ///< The worker accepts no new tasks.
    worker_failed,       ///< The task failed on the worker.
    unreachable,         ///< The network call got no response.
    deadline_exceeded,   ///< The request's deadline passed.
    cancelled,           ///< The caller cancelled the job or request.
    outcome_unknown,     ///< It may have run and will not be retried.
    offset_expired,      ///< The log no longer retains this offset.
    shutting_down,       ///< The instance accepts no new requests.
    internal             ///< A bug or an unexpected failure.
};

/// Names of the codes, indexed by enumerator.
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
