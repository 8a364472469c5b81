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

/// What a shard's owner needs of the instance that it lives in.
class shard_host
{
public:
    virtual ~shard_host() = default;

    [[nodiscard]] virtual const cell_state& cell() const = 0;
    /// Writes one change to the cell's stream.
    virtual void
    write_cell(cell_change change, completion<fold_outcome> done) = 0;
    /// Another shard whose workers, empty, could hold the job.
    [[nodiscard]] virtual std::optional<shard_id>
    find_shard_for(const job_spec& spec, const shard_id& without) const = 0;
    /// Gives a job to another shard's owner, who answers once it is in that
    /// shard's stream. Giving it twice is harmless.
    virtual void hand_over_job(
        const shard_id& to, const job_spec& spec, completion<bool> done) = 0;
    /// Last contact with the log, directly or through a peer.
    [[nodiscard]] virtual instant last_log_contact() const = 0;
    /// Reads the log at the next tick: a worker that was just sealed may only
    /// be used once its owner's claim was seen to be in force after the seal.
    virtual void confirm_claims() = 0;
    [[nodiscard]] virtual bool is_vm_leaving(const worker_id& worker) const = 0;
    /// A name for a new record that no other record has.
    [[nodiscard]] virtual std::string next_record_id() = 0;
    virtual event_sink& events() = 0;
    virtual metric_sink& metrics() = 0;
};

} // namespace acaciastile
