#pragma once

#include "fleet/intake.hpp"
#include "fleet/leadership.hpp"
#include "fleet/owner.hpp"
#include "standin/manual_clock.hpp"
#include "standin/memory_store.hpp"
#include "standin/worker_pool.hpp"
#include "support/event_recorder.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile::test
{

/// Registry and configuration as the tests write them: the value of a
/// registration is `INCARNATION SERVICE RACK CORES MEMORY STATE`.
class plain_records final : public fleet::external_records
{
public:
    [[nodiscard]] const std::string& configuration_topic() const override;
    [[nodiscard]] const std::string& configuration_key() const override;
    [[nodiscard]] const std::string& registry_topic() const override;
    [[nodiscard]] result<fleet::configuration>
    read_configuration(const std::string& value) const override;
    [[nodiscard]] std::optional<fleet::worker_registration> read_registration(
        const std::string& key, const std::string& value) const override;
};

class no_metrics final : public metric_sink
{
public:
    void count(std::string_view, std::string_view, double) override {}
    void sample(std::string_view, std::string_view, double) override {}
    void gauge(std::string_view, std::string_view, double) override {}
};

class no_events final : public event_sink
{
public:
    void emit(const event& happened) override;
    bool print = false;
};

/// Several VMs, of which one owns the fleet, on the stand-ins of store,
/// workers and policy service, under a manual clock.
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
    no_events events;
    std::vector<std::unique_ptr<vm>> vms;
    std::map<fleet::step_id, fleet::step_spec> specs;
    /// VMs ask a quiet owner directly; a killed one does not answer.
    bool peers_probe_owner = false;

    /// A queue `work` of the service `svc`, two attempts, no advice.
    [[nodiscard]] static fleet::configuration plain_config();

    void add_worker(
        const std::string& id,
        const std::string& rack = "r1-1",
        std::int64_t cores = 16,
        std::int64_t gib = 64);
    void
    register_worker(const std::string& id, const std::string& state = "ready");

    /// Stores a job as an entry VM does, without the owner's help.
    void submit(
        const std::string& id,
        std::vector<fleet::step_spec> steps,
        const std::string& account = "acct");
    void run(milliseconds span) { clock.advance(span); }
    /// Advances until the job is shown in that state; false after `most`.
    bool
    run_until(const std::string& id, fleet::job_state state, milliseconds most);

    [[nodiscard]] std::shared_ptr<fleet::fleet_owner> owner() const;
    [[nodiscard]] vm* owner_vm() const;
    [[nodiscard]] fleet::job_view view(const std::string& id) const;

    /// Starts of one task, in order.
    [[nodiscard]] std::vector<standin::worker_event>
    starts_of(const std::string& job, std::uint32_t index = 0) const;

    /// Breaks of what must always hold, as the workers saw it; empty: none.
    [[nodiscard]] std::vector<std::string> broken_promises() const;
};

/// One VM: its part in ownership and, while it owns the fleet, the owner.
class fleet_world::vm final : private fleet::leadership_listener
{
public:
    vm(fleet_world& world, const std::string& name, std::uint64_t seed);
    ~vm() override;

    /// As after a kill: nothing of it is left; `start` begins a new process.
    void kill();
    void start();
    /// As on a stop signal: leaves the fleet to another VM.
    void stop();

    standin::memory_store::client store_client;
    std::shared_ptr<fleet::leadership> leadership;
    std::shared_ptr<fleet::fleet_owner> owner;
    std::string name;
    std::uint32_t strength = 1'000;

private:
    void on_gained(std::uint64_t token) override;
    void on_lost() override;
    void on_owner_quiet() override;

    fleet_world& world_;
    plain_records records_;
    no_metrics metrics_;
    std::uint64_t seed_;
};

[[nodiscard]] fleet::step_spec
tasks(std::uint32_t count, std::int64_t cores = 1, std::int64_t gib = 1);

} // namespace acaciastile::test
