#pragma once

#include "cell/membership.hpp"
#include "domain/inventory.hpp"
#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/rules.hpp"
#include "domain/task_state.hpp"
#include "platform/completion.hpp"
#include "policy/scheduler.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile
{

/// The key as a caller presented it, `id.secret`; empty if there was none. It
/// is never logged or dumped, and passed to another process only to be checked
/// there.
struct presented_key
{
    std::string text;
};

/// State of a job: the number of its tasks in each task state, and its outcome.
struct job_status
{
    job_id job;
    team_name team;
    queue_name queue;
    job_kind kind = job_kind::batch;
    std::array<std::uint32_t, task_state_names.size()> tasks{};
    bool cancelled = false;
    std::string answer; ///< Of a completed request.
    std::string reason; ///< Of a failure or an unknown outcome.
    shard_id shard;     ///< The shard that schedules the job.
    std::vector<std::string> running_on; ///< `index@worker`, sorted.
    std::optional<explanation> why;      ///< If requested and tasks wait.
};

/// The answer of a completed request.
struct request_answer
{
    job_id job;
    std::string answer;
    bool repeated = false; ///< From an earlier copy of the request.
};

/// The revision assigned to a published change.
struct published
{
    revision in_force = 0;
};

/// A newly granted key. Its secret is not available again later.
struct granted_key
{
    key_entry entry;
    std::string secret_text; ///< `id.secret`.
};

/// The configuration in force at one instance.
struct configuration_in_force
{
    instance_id instance;
    log_offset folded = 0;
    revision inventory_revision = 0;
    revision rules_revision = 0;
    milliseconds log_age{0};          ///< Since the last contact with the log.
    std::optional<error> unreachable; ///< If the instance did not answer.
};

/// The documents in force at one instance.
struct documents_in_force
{
    revision inventory_revision = 0;
    inventory workers;
    revision rules_revision = 0;
    rules teams_and_queues;
};

struct team_status
{
    team_name name;
    std::uint32_t share = 0;
    resources upper_limit;
    resources allowance; ///< Over all shards.
    resources running;   ///< Over the shards that answered.
    resources waiting;
    std::uint32_t shards_unheard = 0; ///< Shards that did not answer.
};

struct worker_status
{
    worker_entry entry;
    shard_id shard;
    std::string state; ///< `open`, `closed`, `unsealed`, `unreachable`, ...
    resources used;
    std::uint32_t tasks = 0;
};

struct job_filter
{
    team_name team;            ///< Empty: all teams visible to the key.
    std::uint32_t limit = 100; ///< Maximum number of jobs in the answer.
};

/// Interface of one instance to its callers and operators. All methods are
/// called and all completions run on the control thread; times are readings of
/// this process's clock.
class control
{
public:
    virtual ~control() = default;

    /// Accepts a service, batch or gang job and completes once the job is in
    /// the log. Submitting the same id and content again is idempotent.
    virtual void submit(
        instant now,
        presented_key key,
        job_spec spec,
        completion<job_status> done) = 0;

    /// Runs a request and completes with its result, a refusal or an unknown
    /// outcome at most one second after the deadline.
    virtual void request(
        instant now,
        presented_key key,
        job_spec spec,
        completion<request_answer> done) = 0;

    /// Completes with the state of a job; `why` also asks why its tasks wait.
    /// Errors: `unknown_job`, also for a job that the key may not see.
    virtual void status(
        instant now,
        presented_key key,
        job_id job,
        bool why,
        completion<job_status> done) = 0;

    /// Cancels a job and completes with its state. Errors: `unknown_job`, also
    /// for a job that the key may not see.
    virtual void cancel(
        instant now,
        presented_key key,
        job_id job,
        completion<job_status> done) = 0;

    /// Completes with the jobs that match the filter, sorted by id. Instances
    /// that do not answer are left out.
    virtual void list(
        instant now,
        presented_key key,
        job_filter filter,
        completion<std::vector<job_status>> done) = 0;

    /// Replaces the inventory. `base` is the revision that the change is based
    /// on. Errors: `revision_conflict` if it is not the one in force.
    virtual void publish_inventory(
        instant now,
        presented_key key,
        revision base,
        inventory content,
        completion<published> done) = 0;

    /// Replaces the rules, under the same condition as `publish_inventory`.
    virtual void publish_rules(
        instant now,
        presented_key key,
        revision base,
        rules content,
        completion<published> done) = 0;

    /// Creates a key for a team, or for an operator.
    virtual void grant_key(
        instant now,
        presented_key key,
        team_name team,
        key_right right,
        completion<granted_key> done) = 0;

    /// Withdraws a key. Errors: those of `key_ring::withdraw`.
    virtual void withdraw_key(
        instant now,
        presented_key key,
        key_id id,
        completion<published> done) = 0;

    /// Drains workers or, if `draining` is false, reopens drained and dead
    /// ones.
    virtual void drain(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        bool draining,
        completion<published> done) = 0;

    /// Declares workers dead: everything that ran on them counts as ended.
    virtual void declare_dead(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        completion<published> done) = 0;

    /// Completes with the configuration in force at each live instance.
    virtual void configuration(
        instant now,
        presented_key key,
        completion<std::vector<configuration_in_force>> done) = 0;

    /// Completes with the inventory and rules in force at this instance.
    virtual void documents(
        instant now,
        presented_key key,
        completion<documents_in_force> done) = 0;

    /// Completes with the share, limit and load of each team visible to the
    /// key.
    virtual void teams(
        instant now,
        presented_key key,
        completion<std::vector<team_status>> done) = 0;

    /// Completes with the state of every worker of the inventory, sorted by id.
    virtual void workers(
        instant now,
        presented_key key,
        completion<std::vector<worker_status>> done) = 0;

    /// The state of this instance as JSON text, without any key.
    virtual void
    dump(instant now, presented_key key, completion<std::string> done) = 0;

    /// Handles a call from another instance.
    virtual void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) = 0;

    /// True if it accepts new work: it has read the configuration and is not
    /// shutting down.
    [[nodiscard]] virtual bool ready() const = 0;

    /// Starts a graceful shutdown: new work is refused, shards are handed over
    /// and calls in progress are completed.
    virtual void begin_shutdown(instant now) = 0;
    /// True once the shutdown is complete or has timed out.
    [[nodiscard]] virtual bool finished() const = 0;

    /// Runs the periodic work. Must be called regularly.
    virtual void tick(instant now) = 0;
};

} // namespace acaciastile
