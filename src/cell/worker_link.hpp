#pragma once

#include "cell/worker_link_settings.hpp"
#include "cell/worker_listener.hpp"
#include "domain/worker_entry.hpp"
#include "platform/worker_gateway.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace acaciastile
{

/// State of one attempt, as far as the owner knows.
enum class attempt_phase
{
    unsent,  ///< The start was not sent.
    sent,    ///< The start was sent; no report has confirmed or refused it.
    adopted, ///< Assigned by a former owner, or held when the worker's seal
             ///< was lost; not yet reported.
    running  ///< Reported as running.
};

/// Connection of a shard's owner to one worker. At most one message is in
/// flight; each carries all commands that are due. The link renews the leases
/// of running attempts and determines when they have expired.
///
/// A lease ends at an instant of the worker's clock, computed from the last
/// reading of that clock: reading + elapsed * (1 - drift) + lease. On the
/// owner's clock it has expired for certain at: sent + lease / (1 - drift) +
/// margin. As the end is absolute, a delayed message cannot extend the lease.
class worker_link : public std::enable_shared_from_this<worker_link>
{
public:
    /// `unsealed_lapse` is when the leases granted by former owners have
    /// expired for certain if this worker is never reached.
    [[nodiscard]] static std::shared_ptr<worker_link> create(
        worker_entry entry,
        shard_id shard,
        shard_epoch epoch,
        instant unsealed_lapse,
        std::string notify_address,
        worker_link_settings settings,
        std::uint64_t seed,
        worker_gateway& gateway,
        const clock_source& clock,
        worker_listener& listener);

    /// Takes over an attempt that a former owner assigned to this worker.
    void adopt(const attempt_id& attempt);
    /// Sends a start with each message until a report confirms or refuses it.
    void start(start_command command);
    /// Cancels a start that was not sent; false if it was sent already or is
    /// unknown.
    [[nodiscard]] bool cancel_unsent_start(const attempt_id& attempt);
    /// Sends a stop with each message until the attempt is no longer held.
    void stop(const attempt_id& attempt, stop_manner manner);
    /// Lets the worker drop its record of the attempt, whose end the owner
    /// has stored.
    void forget(const attempt_id& attempt);
    /// Treats every attempt on the worker as ended, because an operator
    /// declared it dead.
    void declare_dead();
    /// Sends a message at the next tick.
    void call_soon() noexcept { due_ = true; }
    /// Stops sending, so that the leases expire.
    void silence() noexcept { silent_ = true; }

    /// `log_contact` is when the last read began that reached the head of the
    /// log and found this owner's claim in force. No start is sent until such
    /// a read has begun after the worker was sealed.
    void tick(instant log_contact);

    [[nodiscard]] const worker_entry& entry() const noexcept { return entry_; }
    [[nodiscard]] bool sealed() const noexcept { return sealed_; }
    /// When the last seal was answered. A restarted worker has lost the epoch
    /// that sealed it, so an owner that was replaced while paused can seal it.
    [[nodiscard]] instant sealed_at() const noexcept { return sealed_at_; }
    [[nodiscard]] bool reachable() const noexcept { return reachable_; }
    [[nodiscard]] bool leaving() const noexcept { return leaving_; }
    [[nodiscard]] bool in_flight() const noexcept { return in_flight_; }
    [[nodiscard]] bool has_unknown_attempts() const noexcept
    {
        return has_unknown_attempts_;
    }
    /// Attempts that run or may run on the worker, and unsent starts.
    [[nodiscard]] const std::map<attempt_id, attempt_phase>&
    held() const noexcept
    {
        return held_;
    }
    [[nodiscard]] std::uint64_t calls_sent() const noexcept { return calls_; }

private:
    worker_link(
        worker_entry entry,
        shard_id shard,
        shard_epoch epoch,
        instant unsealed_lapse,
        std::string notify_address,
        worker_link_settings settings,
        std::uint64_t seed,
        worker_gateway& gateway,
        const clock_source& clock,
        worker_listener& listener);

    [[nodiscard]] bool wants_call(instant now) const;
    [[nodiscard]] worker_call make_call(instant now);
    [[nodiscard]] bool may_grant() const noexcept;
    [[nodiscard]] bool may_start() const noexcept;
    void send(instant now);
    void on_answer(std::uint64_t sequence, result<worker_report> answer);
    void on_failure(const error& why);
    void on_report(const worker_report& report);
    void settle_held(const worker_report& report);
    void stop_unknown_attempts(const worker_report& report);
    void check_lapse(instant now);
    void lapse_all();
    /// The longest time on the owner's clock that `lease` on the worker's
    /// clock can take, including `lapse_margin`.
    [[nodiscard]] milliseconds
    max_local_duration(milliseconds lease) const noexcept;
    /// When the leases granted by a former owner have expired for certain. It
    /// can extend none after the seal.
    [[nodiscard]] instant
    former_lease_expiry(const worker_report& report) const;

    worker_entry entry_;
    shard_id shard_;
    shard_epoch epoch_;
    std::string notify_address_;
    worker_link_settings settings_;
    worker_gateway& gateway_;
    const clock_source& clock_;
    worker_listener& listener_;
    circuit_breaker breaker_;

    bool sealed_ = false;
    bool reachable_ = true;
    bool leaving_ = false;
    bool silent_ = false;
    bool due_ = true;
    bool has_unknown_attempts_ = false;

    bool in_flight_ = false;
    bool sealing_ = false; ///< The message in flight is a seal.
    std::uint64_t sequence_ = 0;
    instant sent_at_{};
    instant next_beat_{};
    std::uint64_t calls_ = 0;

    std::uint64_t incarnation_ = 0; ///< From the last report; 0: unknown.
    instant sealed_at_{};
    instant log_contact_ = instant::min();
    std::optional<worker_instant> clock_reading_;
    instant read_at_{};
    instant lapse_at_;

    std::map<attempt_id, attempt_phase> held_;
    std::map<attempt_id, start_command> starts_;
    std::map<attempt_id, stop_manner> stops_;
    std::set<attempt_id> forgets_;
    std::set<attempt_id> sent_starts_; ///< In the message in flight.
    std::set<attempt_id> sent_forgets_;
};

} // namespace acaciastile
