#pragma once

#include "domain/result.hpp"
#include "fleet/configuration.hpp"
#include "fleet/job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// Called once with the result of an asynchronous call.
template<class Value>
using completion = std::function<void(result<Value>)>;

/// Clocks and timers of the control thread.
class scheduler_clock
{
public:
    virtual ~scheduler_clock() = default;
    /// Monotonic time.
    [[nodiscard]] virtual instant now() const = 0;
    /// Monotonic time that also advances while the VM is suspended.
    [[nodiscard]] virtual instant now_with_suspends() const = 0;
    /// Wall-clock time.
    [[nodiscard]] virtual wall_time wall() const = 0;
    /// Calls `work` on the control thread after the delay.
    virtual void after(milliseconds delay, std::function<void()> work) = 0;
};

/// A record of the metadata store. Records of keyed topics have a key; an empty
/// value deletes it.
struct store_record
{
    log_offset offset = 0;
    std::string key;
    std::string value;
};

/// Conditions on an append.
struct append_options
{
    /// The append fails unless the topic ends at this offset.
    std::optional<log_offset> expected_end;
    /// Identity of a writer. An append fences out all writers of the same name
    /// with a lower epoch. The sequence number counts the appends of an epoch.
    struct writer
    {
        std::string name;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
    };
    /// Empty: the append is not fenced.
    std::optional<writer> fence;
};

/// Part of the records of a topic.
struct store_page
{
    std::vector<store_record> records;
    log_offset end = 0; ///< Offset at which to continue reading.
    /// End of the topic when it was read; higher than `end` if there are more
    /// records than one response can hold.
    log_offset topic_end = 0;

    [[nodiscard]] bool is_last() const noexcept { return end >= topic_end; }
};

/// The first retained offset, taken from the message of an `offset_expired`
/// error; `fallback` if the message has none.
[[nodiscard]] log_offset
first_kept(const error& expired, log_offset fallback) noexcept;

/// Follows a read of the newest records of a topic while it goes on. Either
/// function may be empty.
struct newest_observer
{
    /// Called for each record as it is read; may replace a value that is of no
    /// use, so that the result does not hold it.
    std::function<void(store_record&)> on_record;
    /// Called after each page with the number of its records.
    std::function<void(std::size_t)> on_page;
};

/// The platform's metadata store. Each topic is a totally ordered log.
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    /// Appends all records or none. Returns the offset of the first record.
    /// Errors: `revision_conflict` (`not_run`) if the topic does not end at the
    /// expected offset, `stale_epoch` (`not_run`) if the writer is fenced out,
    /// `log_unavailable` with `not_run` or `may_have_run`.
    virtual void append(
        const std::string& topic,
        std::vector<store_record> records,
        append_options options,
        completion<log_offset> done) = 0;

    /// Reads records starting at an offset; waits up to `wait` for the first.
    /// Errors: `offset_expired`, whose message is the first retained offset,
    /// and `log_unavailable`.
    virtual void read(
        const std::string& topic,
        log_offset from,
        milliseconds wait,
        completion<store_page> done) = 0;

    /// Reads the newest record of each key of a keyed topic. The `end` of the
    /// result is that of the first page that the store returned, so that
    /// reading on from there misses no record. Errors: `log_unavailable`;
    /// `malformed`, with the topic and the key, if the pages do not go on.
    virtual void read_newest(
        const std::string& topic,
        newest_observer observer,
        completion<store_page> done) = 0;
};

/// Address of one incarnation of a worker.
struct worker_address
{
    worker_id id;
    std::string address;
    std::uint64_t incarnation = 0; ///< Changes when the worker restarts.
};

/// A request to a worker to start a run.
struct start_order
{
    task_ref task;
    run_number run = 0;
    std::string payload;
    std::string checkpoint; ///< Empty: starts from the beginning.
    std::string permit;     ///< Of the policy service; empty without one.
    /// The order is sent only just after the worker has answered another call
    /// on the same connection. If the worker has ended its process before, the
    /// order is known not to have run.
    bool after_answer = false;
};

/// A run as a worker reports it while it is running.
struct running_run
{
    task_ref task;
    run_number run = 0;
    std::string checkpoint;
    double percent = 0;
};

/// A run as a worker reports it after its end.
struct ended_run
{
    std::uint64_t number = 0; ///< Position in the worker's list of ended runs.
    task_ref task;
    run_number run = 0;
    run_end how = run_end::stopped;
    std::string checkpoint;
};

/// A worker's status report.
struct worker_status
{
    std::uint64_t incarnation = 0;
    worker_instant clock{};
    std::vector<running_run> running;
    std::vector<ended_run> ended;
};

/// Why a worker rejected a start order; the rejected copy had no effect.
enum class start_refusal
{
    fenced,     ///< The worker knows a later owner.
    superseded, ///< The worker already had this run or a later one.
    too_late,   ///< The lease in the order has expired.
    no_room,    ///< The worker lacks free resources.
    permit,     ///< The worker rejected the permit.
    unhealthy,
    other_incarnation, ///< The worker was restarted.
    malformed
};

/// A worker's response to a start order.
struct start_answer
{
    std::optional<start_refusal> refusal; ///< Empty if the run was started.
    std::optional<worker_instant> clock;  ///< The worker's clock.
    /// An earlier copy of the order was sent without a response. The worker may
    /// have carried it out, or may still do so, even if `refusal` is set.
    bool unanswered_copy = false;
};

/// Orders of the fleet's owner to the workers. All calls carry the owner's
/// token, by which workers reject orders of earlier owners. Errors of all
/// calls: `unreachable` if there is no connection or it broke, and
/// `deadline_exceeded` if no response came in time; with `not_run` if nothing
/// was sent, else `may_have_run`.
///
/// What only holds for one incarnation of a worker (a start, a lease, a number
/// of acknowledged ends) reaches no other one, unless the network carries a
/// call out late that got no response.
class worker_orders
{
public:
    virtual ~worker_orders() = default;

    /// Starts a run. The lease applies to all runs on the worker. Another
    /// incarnation than the target's counts as the refusal
    /// `other_incarnation`.
    virtual void start(
        const worker_address& target,
        std::uint64_t token,
        worker_instant lease_until,
        start_order order,
        completion<start_answer> done) = 0;

    /// Stops a run. Returns the worker's clock. Further errors: `stale_epoch`,
    /// and `unknown_worker` if the worker was restarted.
    virtual void stop(
        const worker_address& target,
        std::uint64_t token,
        const task_ref& task,
        run_number run,
        completion<worker_instant> done) = 0;

    /// Reads the worker's status; waits up to `wait` for a run to end. Extends
    /// the lease if `lease_until` is set, and lets the worker drop ended runs
    /// up to number `acknowledged`. Further errors: `stale_epoch`, and
    /// `unknown_worker` if the worker was restarted and the call has a lease or
    /// a number. Any incarnation answers a call without them.
    virtual void hold(
        const worker_address& target,
        std::uint64_t token,
        std::uint64_t acknowledged,
        std::optional<worker_instant> lease_until,
        milliseconds wait,
        completion<worker_status> done) = 0;
};

/// The policy service's response: workers that may run a step.
struct permits
{
    struct permit
    {
        worker_id worker;
        std::string ticket; ///< Sent to the worker with the start order.
    };
    std::vector<permit> allowed;
    milliseconds valid{0}; ///< Time until the permits expire.
};

/// The policy service, which decides on which workers a step may run.
class policy_service
{
public:
    virtual ~policy_service() = default;
    /// Requests permits for a step. Errors: `overloaded` (`not_run`),
    /// `unreachable`.
    virtual void
    ask(const step_id& step,
        const std::vector<worker_id>& workers,
        milliseconds timeout,
        completion<permits> done) = 0;
};

/// True if a key of the registry may be the id of a worker: up to 128 bytes of
/// printable ASCII. Other systems may write other keys.
[[nodiscard]] bool is_worker_key(std::string_view key) noexcept;

/// A worker's entry in the registry.
struct worker_registration
{
    worker_id id;
    std::uint64_t incarnation = 0;
    service_name service;
    std::string address;
    data_centre_name data_centre;
    resources capacity;
    std::vector<std::string> labels;
    rack_name rack;
    bool draining = false;
    milliseconds remaining{0}; ///< While draining: minimum time left.
    milliseconds cold{0};      ///< How long it stays slow after its start.
};

/// Decodes records that other systems write to the metadata store.
class external_records
{
public:
    virtual ~external_records() = default;
    /// Topic and key of the operators' configuration.
    [[nodiscard]] virtual const std::string& configuration_topic() const = 0;
    [[nodiscard]] virtual const std::string& configuration_key() const = 0;
    /// The data centre whose evacuation a record with this key requests; the
    /// record is deleted when the evacuation is withdrawn. Empty for all other
    /// records of the operators.
    [[nodiscard]] virtual std::optional<data_centre_name>
    evacuated_data_centre(const std::string& key) const = 0;
    /// Topic of the workers' registry, keyed by worker id.
    [[nodiscard]] virtual const std::string& registry_topic() const = 0;

    /// Errors: `malformed`.
    [[nodiscard]] virtual result<configuration>
    read_configuration(const std::string& value) const = 0;
    /// Errors: `malformed`, with the field, if the entry does not describe a
    /// usable worker. Other systems may write to the registry.
    [[nodiscard]] virtual result<worker_registration> read_registration(
        const std::string& key, const std::string& value) const = 0;
};

} // namespace acaciastile::fleet
