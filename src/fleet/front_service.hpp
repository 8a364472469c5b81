#pragma once

#include "fleet/configuration.hpp"
#include "fleet/intake.hpp"
#include "fleet/owner.hpp"

#include <functional>
#include <string>

namespace acaciastile::fleet
{

/// What the entry VM does for callers; the adapter decodes their requests.
class front_service
{
public:
    virtual ~front_service() = default;

    /// Null while no configuration is known.
    [[nodiscard]] virtual const configuration* config() const = 0;
    /// False where the configuration in force may be older than its bound
    /// allows: what it does not know may exist.
    [[nodiscard]] virtual bool config_is_fresh() const = 0;
    /// False once the process is asked to stop.
    [[nodiscard]] virtual bool is_ready() const = 0;

    virtual void submit(
        accepted_job job,
        milliseconds deadline,
        job_intake::completion done) = 0;
    /// Errors: `no_owner` where the owner cannot be asked.
    virtual void state(
        const job_id& id, milliseconds deadline, completion<job_view> done) = 0;
    virtual void
    cancel(const job_id& id, milliseconds deadline, completion<bool> done) = 0;
    virtual void pending(
        const queue_name& queue,
        milliseconds deadline,
        completion<std::size_t> done) = 0;

    virtual void refused(const std::string& id, std::string_view reason) = 0;
};

} // namespace acaciastile::fleet
