#pragma once

#include "domain/result.hpp"
#include "fleet/configuration.hpp"
#include "fleet/job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

template<class Value>
using completion = std::function<void(result<Value>)>;

/// Runs functions later on the control thread, and tells the time there.
class scheduler_clock
{
public:
    virtual ~scheduler_clock() = default;
    [[nodiscard]] virtual instant now() const = 0;
    /// Steady time that goes on while the VM is suspended.
    [[nodiscard]] virtual instant now_with_suspends() const = 0;
    [[nodiscard]] virtual wall_time wall() const = 0;
    virtual void after(milliseconds delay, std::function<void()> work) = 0;
};

/// A record of the metadata store. Records of keyed topics have a key, and an
/// empty value drops it.
struct store_record
{
    log_offset offset = 0;
    std::string key;
    std::string value;
};

/// Conditions of an append.
struct append_options
{
    /// Takes effect only where the topic ends at this offset.
    std::optional<log_offset> expected_end;
    /// Fences out appends under the same name with a lower epoch. An epoch's
    /// sequence numbers count its appends.
    struct writer
    {
        std::string name;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
    };
    std::optional<writer> fence;
};

struct store_page
{
    std::vector<store_record> records;
    log_offset end = 0; ///< Where to read on.
    /// Where the topic ended when it was read; beyond `end` where one answer
    /// could not hold all.
    log_offset topic_end = 0;

    [[nodiscard]] bool is_last() const noexcept { return end >= topic_end; }
};

/// The first offset that is still kept, as `offset_expired` tells it.
[[nodiscard]] log_offset
first_kept(const error& expired, log_offset otherwise) noexcept;

/// The platform's metadata store: topics of records in one order each.
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    /// Appends all records or none; gives the offset of the first.
    /// Errors: `revision_conflict` (`not_run`) where the condition on the end
    /// does not hold, `stale_epoch` (`not_run`) where the writer is fenced
    /// out, `log_unavailable` with `not_run` or `may_have_run`.
    virtual void append(
        const std::string& topic,
        std::vector<store_record> records,
        append_options options,
        completion<log_offset> done) = 0;

    /// Reads from an offset on; waits up to `wait` for the first record.
    /// Errors: `offset_expired`, whose message is the first offset that is
    /// still kept, `log_unavailable`.
    virtual void read(
        const std::string& topic,
        log_offset from,
        milliseconds wait,
        completion<store_page> done) = 0;

    /// The newest record of each key of a keyed topic, page by page as the
    /// store gives them; `end` is that of the first page, so that reading from
    /// there misses nothing. Errors: `log_unavailable`.
    virtual void
    read_newest(const std::string& topic, completion<store_page> done) = 0;
};

/// Where a worker is and which life of it is meant.
struct worker_address
{
    worker_id id;
    std::string address;
    std::uint64_t incarnation = 0;
};

struct start_order
{
    task_ref task;
    run_number run = 0;
    std::string payload;
    std::string checkpoint; ///< Empty: from the beginning.
    std::string permit;     ///< Of the queue's policy; empty where none needed.
};

struct running_run
{
    task_ref task;
    run_number run = 0;
    std::string checkpoint;
    double percent = 0;
};

struct ended_run
{
    std::uint64_t number = 0; ///< Position in the worker's list of ends.
    task_ref task;
    run_number run = 0;
    run_end how = run_end::stopped;
    std::string checkpoint;
};

struct worker_status
{
    std::uint64_t incarnation = 0;
    worker_instant clock{};
    std::vector<running_run> running;
    std::vector<ended_run> ended;
};

/// Why a worker did not start a task; it has done nothing then.
enum class start_refusal
{
    fenced,
    superseded, ///< This run or a later one was there before.
    too_late,   ///< The lease in the order has passed.
    no_room,
    permit,
    unhealthy,
    other_incarnation,
    malformed
};

struct start_answer
{
    std::optional<start_refusal> refusal;
    std::optional<worker_instant> clock;
};

/// Orders to the workers. Errors of all calls: `unreachable` with `not_run`
/// where nothing was sent, else with `may_have_run`.
class worker_orders
{
public:
    virtual ~worker_orders() = default;

    /// The lease goes to all that runs on the worker.
    virtual void start(
        const worker_address& target,
        std::uint64_t token,
        worker_instant lease_until,
        start_order order,
        completion<start_answer> done) = 0;

    /// Errors besides: `stale_epoch`, `unknown_worker` for another life.
    virtual void stop(
        const worker_address& target,
        std::uint64_t token,
        const task_ref& task,
        run_number run,
        completion<worker_instant> done) = 0;

    /// Extends the lease where `lease_until` is set, forgets ends up to
    /// `acknowledged`, and waits up to `wait` for an end.
    /// Errors besides: `stale_epoch`, `unknown_worker` for another life.
    virtual void hold(
        const worker_address& target,
        std::uint64_t token,
        std::uint64_t acknowledged,
        std::optional<worker_instant> lease_until,
        milliseconds wait,
        completion<worker_status> done) = 0;
};

/// Permits of one step: which workers may run it.
struct permits
{
    struct permit
    {
        worker_id worker;
        std::string ticket;
    };
    std::vector<permit> allowed;
    milliseconds valid{0};
};

/// The policy service of a queue.
class policy_service
{
public:
    virtual ~policy_service() = default;
    /// Errors: `overloaded` (`not_run`), `unreachable`.
    virtual void
    ask(const step_id& step,
        const std::vector<worker_id>& workers,
        milliseconds timeout,
        completion<permits> done) = 0;
};

/// A worker as it registers itself.
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
    milliseconds remaining{0}; ///< While it drains: least time left.
};

/// What a topic of another writer holds, as far as it can be read.
class external_records
{
public:
    virtual ~external_records() = default;
    /// Topic and key of the operators' configuration.
    [[nodiscard]] virtual const std::string& configuration_topic() const = 0;
    [[nodiscard]] virtual const std::string& configuration_key() const = 0;
    /// Topic of the workers' registry; its keys are their ids.
    [[nodiscard]] virtual const std::string& registry_topic() const = 0;

    /// Errors: `malformed`.
    [[nodiscard]] virtual result<configuration>
    read_configuration(const std::string& value) const = 0;
    /// Nothing where the entry names no usable worker.
    [[nodiscard]] virtual std::optional<worker_registration> read_registration(
        const std::string& key, const std::string& value) const = 0;
};

} // namespace acaciastile::fleet
