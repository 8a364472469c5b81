#pragma once

#include "cell/cell_state.hpp"
#include "cell/fold_outcome.hpp"
#include "domain/event_sink.hpp"
#include "domain/job_spec.hpp"
#include "domain/metric_sink.hpp"
#include "platform/completion.hpp"

#include <optional>

namespace acaciastile
{

/// The services that an instance provides to the shard owners it hosts.
class shard_host
{
public:
    virtual ~shard_host() = default;

    [[nodiscard]] virtual const cell_state& cell() const = 0;
    /// Appends a change to the cell's stream.
    virtual void
    write_cell(cell_change change, completion<fold_outcome> done) = 0;
    /// Selects a shard other than `without` whose workers, if idle, could run
    /// the job. Empty if there is none.
    [[nodiscard]] virtual std::optional<shard_id>
    find_shard_for(const job_spec& spec, const shard_id& without) const = 0;
    /// Hands a job over to the owner of another shard, which replies once the
    /// job is in that shard's stream. Idempotent.
    virtual void hand_over_job(
        const shard_id& to, const job_spec& spec, completion<bool> done) = 0;
    /// Time of the last contact with the log, directly or through a peer.
    [[nodiscard]] virtual instant last_log_contact() const = 0;
    /// Schedules a read of the log for the next tick. After a worker is sealed,
    /// its owner must read the log and find its claim still in force before it
    /// may use the worker.
    virtual void confirm_claims() = 0;
    [[nodiscard]] virtual bool is_vm_leaving(const worker_id& worker) const = 0;
    /// Returns a unique id for a new record.
    [[nodiscard]] virtual std::string next_record_id() = 0;
    virtual event_sink& events() = 0;
    virtual metric_sink& metrics() = 0;
};

} // namespace acaciastile
