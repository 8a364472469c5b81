#pragma once

#include "edge/config_watch.hpp"
#include "fleet/intake.hpp"
#include "fleet/leadership.hpp"
#include "fleet/owner.hpp"
#include "standin/manual_clock.hpp"
#include "standin/memory_store.hpp"
#include "standin/worker_pool.hpp"
#include "support/event_recorder.hpp"
#include "support/process_gate.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile::test
{

/// Text formats for the records of tests. The value of a registration is
/// `INCARNATION SERVICE RACK CORES MEMORY STATE`, with the memory in GiB; that
/// of a configuration is its revision. A worker whose id is `NAME~N` is at the
/// address of the worker `NAME`. A rack `DC-N` is in the data centre `DC`, and
/// the key `evacuate/DC` evacuates it.
class plain_records final : public fleet::external_records
{
public:
    [[nodiscard]] const std::string& configuration_topic() const override;
    [[nodiscard]] const std::string& configuration_key() const override;
    [[nodiscard]] std::optional<data_centre_name>
    evacuated_data_centre(const std::string& key) const override;
    [[nodiscard]] const std::string& registry_topic() const override;
    [[nodiscard]] result<fleet::configuration>
    read_configuration(const std::string& value) const override;
    [[nodiscard]] result<fleet::worker_registration> read_registration(
        const std::string& key, const std::string& value) const override;
};

class no_metrics final : public metric_sink
{
public:
    void count(std::string_view, std::string_view, double) override {}
    void sample(std::string_view, std::string_view, double) override {}
    void gauge(std::string_view, std::string_view, double) override {}
};

/// Counts events, and writes them to the standard error output if `print` is
/// set.
class counted_events final : public event_sink
{
public:
    void emit(const event& happened) override;
    [[nodiscard]] std::size_t count(event_number number) const
    {
        const auto at = counts_.find(number);
        return at == counts_.end() ? 0 : at->second;
    }
    bool print = false;

private:
    std::map<event_number, std::size_t> counts_;
};

/// Simulates several VMs, one of which owns the fleet, with stand-ins for the
/// store, the workers and the policy service and with a manual clock.
class fleet_world
{
public:
    class vm;

    explicit fleet_world(std::size_t vms = 3, std::size_t workers = 4);
    ~fleet_world();

    fleet::configuration config;
    fleet::owner_settings settings;
    standin::manual_clock clock;
    standin::memory_store store;
    standin::worker_pool workers;
    standin::policy_stand_in policy;
    counted_events events;
    std::vector<std::unique_ptr<vm>> vms;
    std::map<fleet::step_id, fleet::step_spec> specs;
    /// VMs call an owner whose renewals are overdue directly, and suspect it if
    /// it does not answer.
    bool peers_probe_owner = false;
    /// How long a worker that has crashed stays away.
    milliseconds crash_recovery{3'000};
    /// It is back under another id at its address; its registration expires.
    bool crashes_change_ids = false;

    /// One queue `work` of the service `svc` with two attempts and without a
    /// policy service, and one account `acct`.
    [[nodiscard]] static fleet::configuration plain_config();

    void add_worker(
        const std::string& id,
        const std::string& rack = "r1-1",
        std::int64_t cores = 16,
        std::int64_t gib = 64);
    void
    register_worker(const std::string& id, const std::string& state = "ready");
    /// Restarts a worker, perhaps with another capacity. It registers again
    /// after `registers_after`.
    void restart_worker(
        const std::string& id,
        std::int64_t cores = 16,
        milliseconds registers_after = milliseconds{100});

    /// Stores an operator's request to evacuate a data centre, or withdraws it.
    void evacuate(const std::string& data_centre, bool evacuated = true);

    /// Registers a worker with another capacity.
    void resize_worker(const std::string& id, std::int64_t cores);

    /// Stores a job as the VM that accepts it does; the owner reads it from the
    /// topic of jobs.
    void submit(
        const std::string& id,
        std::vector<fleet::step_spec> steps,
        const std::string& account = "acct",
        const std::string& topic = fleet::topics::jobs);
    void run(milliseconds span) { clock.advance(span); }
    /// Advances the clock until the job is reported in the given state; returns
    /// false if that takes longer than `most`.
    bool
    run_until(const std::string& id, fleet::job_state state, milliseconds most);

    /// The current owner; null if there is none.
    [[nodiscard]] std::shared_ptr<fleet::fleet_owner> owner() const;
    [[nodiscard]] vm* owner_vm() const;
    [[nodiscard]] fleet::job_view view(const std::string& id) const;

    /// Starts of one task, in order.
    [[nodiscard]] std::vector<standin::worker_event>
    starts_of(const std::string& job, std::uint32_t index = 0) const;

    /// Number of workers that have crashed under their tasks.
    [[nodiscard]] std::size_t crashes() const { return crashes_; }

    /// Violations of scheduling invariants found in the events of the workers:
    /// a task runs twice at a time or again after it is done, a worker is over
    /// capacity, or a step starts before its predecessors are done.
    [[nodiscard]] std::vector<std::string> broken_promises() const;
    /// As `broken_promises`, without starts after an end `done` that was never
    /// taken note of: such an end may be lost with its worker.
    [[nodiscard]] std::vector<std::string> broken_rules() const;

private:
    using is_done = std::function<bool(const standin::worker_event&)>;
    /// `counts` tells which ends complete their task.
    [[nodiscard]] std::vector<std::string>
    find_broken(const is_done& counts) const;
    void bring_back(const worker_id& crashed);

    std::size_t crashes_ = 0;
    std::size_t lives_ = 0;
};

/// One VM: its leadership client and, while it owns the fleet, the owner.
class fleet_world::vm final : private fleet::leadership_listener
{
public:
    vm(fleet_world& world, const std::string& name, std::uint64_t seed);
    ~vm() override;

    /// Ends the process without notice; `start` begins a new one.
    void kill();
    void start();
    /// Stops in an orderly way: gives up ownership if it has it.
    void stop();

    /// Stops the process for a time, as a signal does: it sends nothing and
    /// handles nothing until then.
    void pause(milliseconds span);

    standin::memory_store::client store_client;
    std::shared_ptr<process_gate> gate = std::make_shared<process_gate>();
    gated_clock clock;
    gated_store store;
    gated_orders orders;
    std::shared_ptr<fleet::leadership> leadership;
    std::shared_ptr<edge::config_watch> operators;
    std::shared_ptr<fleet::fleet_owner> owner;
    std::string name;
    std::uint32_t strength = 1'000;

private:
    void on_ownership_gained(std::uint64_t token) override;
    void on_ownership_lost() override;
    void on_ownership_confirmed(instant sent, std::uint64_t token) override;
    void on_renewal_overdue() override;

    fleet_world& world_;
    plain_records records_;
    no_metrics metrics_;
    std::uint64_t seed_;
};

[[nodiscard]] fleet::step_spec
tasks(std::uint32_t count, std::int64_t cores = 1, std::int64_t gib = 1);

} // namespace acaciastile::test
