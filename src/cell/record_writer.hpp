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
    milliseconds batch_interval{50};   ///< Least time between appends.
    std::size_t batch_records = 1'000; ///< At most in one append.
    std::size_t batch_bytes = 512 * 1024;
    milliseconds append_timeout{3'000};    ///< Then the answer counts as lost.
    milliseconds retry_base{100};          ///< First delay after a failure.
    milliseconds retry_cap{5'000};         ///< Longest delay.
    std::size_t pending_records = 200'000; ///< More are refused.
};

/// Writes records to one stream in batches within an append share. A record
/// is settled by reading alone: the owner of the reader calls `settle` for
/// every record that it folds. An append whose answer is lost is sent again
/// with the same ids, which fold to nothing the second time.
///
/// At most one append is in flight and what was not confirmed goes first into
/// the next one, so the first copies of records stand in the stream in the
/// order of the calls of `write`. Only a record that was given up with
/// `may_have_run` may still appear after later ones.
class record_writer
{
public:
    [[nodiscard]] static std::unique_ptr<record_writer> create(
        log_service& log,
        stream_name stream,
        record_writer_settings settings,
        std::uint64_t seed);

    virtual ~record_writer() = default;

    /// Queues a record. `done` gets the fold's outcome once it was read back.
    /// Errors: `log_unavailable` after `patience`, with `not_run` where no
    /// append of it may have taken effect, else with `may_have_run`;
    /// `overloaded` with `not_run` where too many are pending.
    virtual void write(
        instant now,
        std::string record_id,
        std::string body,
        milliseconds patience,
        completion<fold_outcome> done) = 0;

    /// Tells that the record was read back and what the fold made of it.
    virtual void
    settle(const std::string& record_id, const fold_outcome& outcome) = 0;

    /// Tells the outcome of a record by its id; empty where it is not known.
    using outcome_lookup =
        std::function<std::optional<fold_outcome>(const std::string&)>;

    /// Settles every pending record that the lookup knows. To be called when
    /// a snapshot has replaced the folded state, because the records that it
    /// covers are not handed out one by one.
    virtual void settle_known(const outcome_lookup& lookup) = 0;

    virtual void tick(instant now) = 0;

    /// Gives every pending record up: those never sent with `not_run`.
    virtual void abandon(const error& why) = 0;

    /// Changes the append share, in step with the number of members.
    virtual void set_batch_interval(milliseconds interval) = 0;

    [[nodiscard]] virtual std::size_t pending() const noexcept = 0;
    [[nodiscard]] virtual std::uint64_t appends_sent() const noexcept = 0;
    /// True where an append succeeded that was not yet read back.
    [[nodiscard]] virtual bool wants_read() const noexcept = 0;
};

} // namespace acaciastile
