#pragma once

#include "cell/allowance_planner.hpp"
#include "cell/record_writer.hpp"
#include "cell/stream_reader.hpp"
#include "cell/worker_link_settings.hpp"
#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile
{

/// How an owner runs a shard.
struct shard_settings
{
    worker_link_settings link;
    allowance_settings allowance;
    record_writer_settings writer;
    /// The owner is the only writer of its stream and reads after each of its
    /// appends; the interval only finds an outage.
    stream_reader_settings reader{.poll_interval = milliseconds{2'000}};
    /// An owner that has not heard of the log for this long, directly or
    /// through a peer, stops renewing leases. A new owner waits for it
    /// before it believes that workers it cannot reach have stopped.
    milliseconds log_silence_limit{2 * 60 * 60 * 1000};
    milliseconds write_patience{5'000}; ///< For what a caller waits for.
    milliseconds allowance_interval{250};
    milliseconds restate_period{8 * 60 * 60 * 1000}; ///< A third of retention.
    milliseconds retry_after_failure{1'000}; ///< Doubled with each attempt.
    milliseconds retry_after_failure_cap{60'000};
    milliseconds answers_kept{60'000}; ///< Of requests outside the log.
    milliseconds default_deadline{30'000};
    std::size_t answers_kept_count = 10'000;
    std::size_t placements_in_tick = 2'000;
};

} // namespace acaciastile
