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

/// What the owner and the worker know together about one attempt.
enum class attempt_phase
{
    unsent,  ///< Its start was never sent.
    sent,    ///< Its start was sent and no report has settled it.
    adopted, ///< Assigned by a former owner; not yet seen in a report.
    running  ///< Seen running.
};

/// The way of a shard's owner to one worker: one message at a time, each
/// carrying all that has gathered. It keeps the leases and proves their
/// lapse.
///
/// A lease ends at an instant of the worker's clock, worked out from the last
/// reading: reading + elapsed * (1 - drift) + lease. On the owner's clock it
/// has ended for certain at: sent + lease / (1 - drift) + margin. A message
/// that is late cannot lengthen it.
class worker_link : public std::enable_shared_from_this<worker_link>
{
public:
    /// `unsealed_lapse` is when attempts of former owners have surely ended
    /// if this worker is never reached.
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
    /// Sends a start with the next message and until a report settles it.
    void start(start_command command);
    /// Takes an unsent start back; false where it was sent already.
    [[nodiscard]] bool take_back(const attempt_id& attempt);
    void stop(const attempt_id& attempt, stop_manner manner);
    /// The attempt's end is kept elsewhere; the worker may drop it.
    void forget(const attempt_id& attempt);
    /// Everything on it has ended by an operator's word.
    void declare_dead();
    /// Sends a message at the next tick.
    void call_soon() noexcept { due_ = true; }
    /// Stops sending anything: leases run out by themselves.
    void silence() noexcept { silent_ = true; }

    /// `log_contact` is the start of the last read that reached the log's
    /// head and found this owner's claim in force. Starts are held back until
    /// such a read began after the worker was sealed.
    void tick(instant log_contact);

    [[nodiscard]] const worker_entry& entry() const noexcept { return entry_; }
    [[nodiscard]] bool sealed() const noexcept { return sealed_; }
    /// When the answer of the last seal came. A restarted worker has forgotten
    /// who sealed it, so an owner that was replaced while paused could seal it.
    [[nodiscard]] instant sealed_at() const noexcept { return sealed_at_; }
    [[nodiscard]] bool reachable() const noexcept { return reachable_; }
    [[nodiscard]] bool leaving() const noexcept { return leaving_; }
    [[nodiscard]] bool in_flight() const noexcept { return in_flight_; }
    [[nodiscard]] bool has_strays() const noexcept { return has_strays_; }
    /// Attempts that run or may run there.
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
    void note_strays(const worker_report& report);
    void check_lapse(instant now);
    void lapse_all();
    /// The longest time that a lease on the worker's clock may take here.
    [[nodiscard]] milliseconds on_own_clock(milliseconds lease) const noexcept;
    /// When the leases that a former owner granted have surely ended. Since
    /// the seal it can lengthen none.
    [[nodiscard]] instant lapse_of_former(const worker_report& report) const;

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
    bool has_strays_ = false;

    bool in_flight_ = false;
    bool sealing_ = false; ///< The message in flight seals.
    std::uint64_t sequence_ = 0;
    instant sent_at_{};
    instant next_beat_{};
    std::uint64_t calls_ = 0;

    std::uint64_t incarnation_ = 0; ///< Of the last report; zero: unknown.
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
