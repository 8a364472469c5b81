#pragma once

#include "cell/allowance_planner.hpp"
#include "cell/record_writer.hpp"
#include "cell/stream_reader.hpp"
#include "cell/worker_link_settings.hpp"
#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile
{

/// Settings of a shard owner.
struct shard_settings
{
    worker_link_settings link;
    allowance_settings allowance;
    record_writer_settings writer;
    /// The owner is the only writer of its stream and reads after each of its
    /// appends. Polling serves only to detect that the log is unavailable.
    stream_reader_settings reader{.poll_interval = milliseconds{2'000}};
    /// An owner without contact to the log, directly or through a peer, for
    /// this long stops renewing leases. A new owner waits as long before it
    /// treats attempts on unreachable workers as ended.
    milliseconds log_silence_limit{2 * 60 * 60 * 1000};
    milliseconds write_patience{5'000}; ///< Timeout of an append.
    milliseconds allowance_interval{250};
    /// Each job is restated once in this period, a third of the log's
    /// retention, so that its state outlives its older records.
    milliseconds restate_period{8 * 60 * 60 * 1000};
    milliseconds retry_after_failure{1'000}; ///< Doubled with each attempt.
    milliseconds retry_after_failure_cap{60'000};
    milliseconds answers_kept{60'000}; ///< For requests not in the log.
    milliseconds default_deadline{30'000};
    std::size_t answers_kept_count = 10'000;
    std::size_t placements_in_tick = 2'000;
};

} // namespace acaciastile
