#pragma once

#include "cell/fold_outcome.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciastile
{

struct record_writer_settings
{
    milliseconds batch_interval{50};   ///< Minimum time between appends.
    std::size_t batch_records = 1'000; ///< Maximum records per append.
    std::size_t batch_bytes = 512 * 1024;
    milliseconds append_timeout{3'000};    ///< Then the answer is deemed lost.
    milliseconds retry_base{100};          ///< First retry delay.
    milliseconds retry_cap{5'000};         ///< Maximum retry delay.
    std::size_t pending_records = 200'000; ///< Further writes are refused.
};

/// Writes records to one stream in rate-limited batches. A record completes
/// only when it is read back: the owner of the reader calls `settle` for every
/// record that it applies. If the answer to an append is lost the records are
/// sent again under the same ids, and readers ignore the duplicates.
///
/// At most one append is in flight, and unconfirmed records go first into the
/// next one, so the first copies of records appear in the stream in the order
/// of the calls to `write`. Only a record that failed with `may_have_run` may
/// still appear after later ones.
class record_writer
{
public:
    [[nodiscard]] static std::unique_ptr<record_writer> create(
        log_service& log,
        stream_name stream,
        record_writer_settings settings,
        std::uint64_t seed);

    virtual ~record_writer() = default;

    /// Queues a record. `done` receives the outcome once the record has been
    /// read back. Errors: `log_unavailable` after `patience`, with `not_run` if
    /// no append of the record can have taken effect, else `may_have_run`;
    /// `overloaded` with `not_run` if too many records are pending;
    /// `conflicting_id` if a record with this id is pending.
    virtual void write(
        instant now,
        std::string record_id,
        std::string body,
        milliseconds patience,
        completion<fold_outcome> done) = 0;

    /// Completes a pending record that was read back, with its outcome.
    /// Ignores ids that are not pending.
    virtual void
    settle(const std::string& record_id, const fold_outcome& outcome) = 0;

    /// Looks up the outcome of a record by its id; empty if unknown.
    using outcome_lookup =
        std::function<std::optional<fold_outcome>(const std::string&)>;

    /// Completes every pending record whose outcome the lookup knows. Must be
    /// called after a snapshot has replaced the state, because the records that
    /// the snapshot covers are not read back one by one.
    virtual void settle_known(const outcome_lookup& lookup) = 0;

    virtual void tick(instant now) = 0;

    /// Fails every pending record: with `not_run` if no append of it can have
    /// taken effect, else `may_have_run`.
    virtual void abandon(const error& why) = 0;

    /// Sets the minimum time between appends. It depends on the number of
    /// members, which share the append rate of the log.
    virtual void set_batch_interval(milliseconds interval) = 0;

    [[nodiscard]] virtual std::size_t pending() const noexcept = 0;
    [[nodiscard]] virtual std::uint64_t appends_sent() const noexcept = 0;
    /// True if a record was appended but not yet read back.
    [[nodiscard]] virtual bool wants_read() const noexcept = 0;
};

} // namespace acaciastile
