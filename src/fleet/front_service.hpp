#pragma once

#include "fleet/configuration.hpp"
#include "fleet/intake.hpp"
#include "fleet/owner.hpp"

#include <functional>
#include <string>

namespace acaciastile::fleet
{

/// Operations that an entry VM offers to callers. The adapter of the callers'
/// interface decodes their requests.
class front_service
{
public:
    virtual ~front_service() = default;

    /// The current configuration; null while none is known.
    [[nodiscard]] virtual const configuration* config() const = 0;
    /// False if the current configuration may be older than allowed; a queue or
    /// account that it does not contain may then exist.
    [[nodiscard]] virtual bool config_is_fresh() const = 0;
    /// False once the process was asked to stop.
    [[nodiscard]] virtual bool is_ready() const = 0;

    /// Stores a job.
    virtual void submit(
        accepted_job job,
        milliseconds deadline,
        job_intake::completion done) = 0;
    /// Reads the state of a job from the fleet's owner. Errors: `no_owner` if
    /// the owner cannot be reached; likewise in the two calls below.
    virtual void state(
        const job_id& id, milliseconds deadline, completion<job_view> done) = 0;
    /// Cancels a job; completes with false if it is unknown.
    virtual void
    cancel(const job_id& id, milliseconds deadline, completion<bool> done) = 0;
    /// Number of a queue's jobs of which no task has started, at most
    /// `longest_count_age` ago. Errors: also if no such count can be had.
    virtual void pending(
        const queue_name& queue,
        milliseconds deadline,
        completion<std::size_t> done) = 0;

    /// Reports a job that the adapter rejected.
    virtual void refused(const std::string& id, std::string_view reason) = 0;
};

} // namespace acaciastile::fleet
