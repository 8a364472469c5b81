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

/// The key as a caller presented it, `id.secret`; empty where none came. Never
/// logged, dumped or passed to another process except for the check there.
struct presented_key
{
    std::string text;
};

/// How many of a job's tasks are in each state, and what is known of it.
struct job_status
{
    job_id job;
    team_name team;
    queue_name queue;
    job_kind kind = job_kind::batch;
    std::array<std::uint32_t, task_state_names.size()> tasks{};
    bool cancelled = false;
    std::string answer; ///< Of an ended request.
    std::string reason; ///< Of a failure or an unknown outcome.
    shard_id shard;     ///< Which shard decides for it.
    std::vector<std::string> running_on; ///< `index@worker`, sorted.
    std::optional<explanation> why;      ///< Where asked for and waiting.
};

/// The answer of a request that ran.
struct request_answer
{
    job_id job;
    std::string answer;
    bool repeated = false; ///< Of an earlier copy of the same request.
};

/// The revision that a published change got.
struct published
{
    revision in_force = 0;
};

/// A granted key: the only time that its secret is shown.
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
    std::optional<error> unreachable; ///< Where the instance did not answer.
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
    team_name team;            ///< Empty: all that the key may see.
    std::uint32_t limit = 100; ///< Most jobs in the answer.
};

/// One instance as its callers and operators see it. Every method is called
/// on the control thread and every completion comes on it; the times are of
/// that process.
class control
{
public:
    virtual ~control() = default;

    /// Accepts a service, batch or gang job. The answer comes once the job is
    /// in the log. A repeated id with the same content gets the same answer.
    virtual void submit(
        instant now,
        presented_key key,
        job_spec spec,
        completion<job_status> done) = 0;

    /// Runs a request and answers with its result, a refusal, or an unknown
    /// outcome, always before the deadline has passed by more than a second.
    virtual void request(
        instant now,
        presented_key key,
        job_spec spec,
        completion<request_answer> done) = 0;

    virtual void status(
        instant now,
        presented_key key,
        job_id job,
        bool why,
        completion<job_status> done) = 0;

    virtual void cancel(
        instant now,
        presented_key key,
        job_id job,
        completion<job_status> done) = 0;

    virtual void list(
        instant now,
        presented_key key,
        job_filter filter,
        completion<std::vector<job_status>> done) = 0;

    virtual void publish_inventory(
        instant now,
        presented_key key,
        revision base,
        inventory content,
        completion<published> done) = 0;

    virtual void publish_rules(
        instant now,
        presented_key key,
        revision base,
        rules content,
        completion<published> done) = 0;

    virtual void grant_key(
        instant now,
        presented_key key,
        team_name team,
        key_right right,
        completion<granted_key> done) = 0;

    virtual void withdraw_key(
        instant now,
        presented_key key,
        key_id id,
        completion<published> done) = 0;

    virtual void drain(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        bool draining,
        completion<published> done) = 0;

    virtual void declare_dead(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        completion<published> done) = 0;

    virtual void configuration(
        instant now,
        presented_key key,
        completion<std::vector<configuration_in_force>> done) = 0;

    virtual void teams(
        instant now,
        presented_key key,
        completion<std::vector<team_status>> done) = 0;

    virtual void workers(
        instant now,
        presented_key key,
        completion<std::vector<worker_status>> done) = 0;

    /// The whole state of this instance as a JSON text, without any key.
    virtual void
    dump(instant now, presented_key key, completion<std::string> done) = 0;

    /// A call of another instance.
    virtual void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) = 0;

    /// True where it takes new work: configuration read, not shutting down.
    [[nodiscard]] virtual bool ready() const = 0;

    /// Starts the graceful end: nothing new is taken, shards are handed over,
    /// what is in hand is finished.
    virtual void begin_shutdown(instant now) = 0;
    /// True once nothing is in hand any more.
    [[nodiscard]] virtual bool finished() const = 0;

    virtual void tick(instant now) = 0;
};

} // namespace acaciastile
