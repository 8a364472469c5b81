#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "domain/task_id.hpp"
#include "platform/completion.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace acaciastile
{

/// Starts one attempt.
struct start_command
{
    attempt_id attempt;
    resources needs;
    milliseconds run_time{0}; ///< Declared; only stand-ins use it.
    std::string name;
    std::string payload;
};

/// How an attempt left its worker.
enum class attempt_outcome
{
    succeeded,
    failed,
    stopped,      ///< Ended by a stop command.
    checkpointed, ///< Ended by a checkpoint command; may be resumed.
    lapsed        ///< Ended by the worker when its lease lapsed.
};

enum class stop_manner
{
    stop,
    checkpoint
};

struct stop_command
{
    attempt_id attempt;
    stop_manner manner = stop_manner::stop;
};

/// One message to a worker. The worker handles it whole and in this order:
/// seal, forget, stop, renew, start.
///
/// A worker refuses the whole message (`stale_epoch`, `not_run`) where `epoch`
/// is lower than the highest that sealed it, and raises its own epoch where
/// `seal` is set. A message whose epoch is higher than the sealed one and
/// which does not seal is refused in the same way.
///
/// `incarnation` is that of the worker's last report. A worker that was
/// restarted has another one: its clock and its sealed epoch began anew, and
/// all that ran before has ended. It refuses a message made for another
/// incarnation whole with `stale_epoch`, `not_run`. Zero, unknown, is taken
/// only in a message that seals and neither renews nor starts.
/// A restarted worker has forgotten its sealed epoch, so an owner that was
/// replaced while paused could seal it. Hence an owner that seals a new
/// incarnation starts nothing on it before it has read the log to its head
/// after the answer of the seal and still found its own claim in force: any
/// later claim then seals after it, or meets yet another incarnation.
///
/// `lease_until` is on the worker's own clock: it is the new end of the lease
/// of every attempt listed in `renew` and of those started. A message that
/// arrives after that instant is refused whole with `stale_lease`, `not_run`.
/// A delayed copy of a start can therefore arrive until the latest
/// `lease_until` that was sent. The worker remembers forgotten attempts until
/// the latest `lease_until` that it has seen, that of the forgetting message
/// included, and ignores their starts: a message that forgets should carry a
/// `lease_until` no earlier than those before it.
struct worker_call
{
    worker_id worker;
    std::string address;
    shard_id shard;
    shard_epoch epoch = 0;
    std::uint64_t incarnation = 0; ///< Of the last report; zero: unknown.
    bool seal = false;
    worker_instant lease_until{};   ///< Checked where it renews or starts.
    std::vector<attempt_id> forget; ///< Ended attempts whose end is kept.
    std::vector<stop_command> stop;
    std::vector<attempt_id> renew;
    std::vector<start_command> start;
    std::string notify_address; ///< Where the worker tells of ends.
};

struct running_attempt
{
    attempt_id attempt;
    resources needs;
    resources usage; ///< As measured, with a lag.
    worker_instant lease_until{};
};

/// An attempt that ended; repeated in each report until it is forgotten.
struct ended_attempt
{
    attempt_id attempt;
    attempt_outcome outcome = attempt_outcome::succeeded;
    std::string answer;
    std::string reason;
    milliseconds ran{0};
    resources peak_usage;
};

/// A start that the worker refused: it was not run.
struct refused_start
{
    attempt_id attempt;
    refusal_code code = refusal_code::worker_full;
};

/// A worker's answer: its whole state after the message.
struct worker_report
{
    worker_id worker;
    worker_instant clock{};
    std::uint64_t incarnation = 0; ///< Never zero; new with each restart.
    shard_epoch sealed = 0;
    bool leaving = false;
    resources capacity;
    std::vector<running_attempt> running;
    std::vector<ended_attempt> ended;
    std::vector<refused_start> refused;
};

/// Says that something ended on a worker; a hint to call it, never a proof.
struct worker_notice
{
    worker_id worker;
};

/// The way to the workers.
class worker_gateway
{
public:
    virtual ~worker_gateway() = default;

    /// Errors: `stale_epoch` or `stale_lease` with `not_run`; `unreachable`
    /// with `not_run` where nothing was sent, else with `may_have_run`.
    virtual void call(worker_call message, completion<worker_report> done) = 0;

    /// Sets who hears notices; called on the control thread.
    virtual void
    on_notice(std::function<void(const worker_notice&)> handler) = 0;
};

} // namespace acaciastile
