#include "support/fleet_world.hpp"

#include <algorithm>
#include <iostream>
#include <set>
#include <sstream>

namespace acaciastile::test
{

const std::string& plain_records::configuration_topic() const
{
    static const std::string name = "operators";
    return name;
}

const std::string& plain_records::configuration_key() const
{
    static const std::string name = "config";
    return name;
}

std::optional<data_centre_name>
plain_records::evacuated_data_centre(const std::string& key) const
{
    constexpr std::string_view prefix = "evacuate/";
    return key.starts_with(prefix)
               ? std::optional(data_centre_name(key.substr(prefix.size())))
               : std::nullopt;
}

const std::string& plain_records::registry_topic() const
{
    static const std::string name = "registry";
    return name;
}

result<fleet::configuration>
plain_records::read_configuration(const std::string& value) const
{
    return fleet::configuration(std::stoull(value), {}, {}, {});
}

result<fleet::worker_registration> plain_records::read_registration(
    const std::string& key, const std::string& value) const
{
    std::istringstream in(value);
    fleet::worker_registration registration;
    std::string service;
    std::string rack;
    std::string state;
    std::int64_t cores = 0;
    std::int64_t gib = 0;
    if (!(in >> registration.incarnation >> service >> rack >> cores >> gib >>
          state))
    {
        return refuse(refusal_code::malformed, "not a registration");
    }
    registration.id = worker_id(key);
    registration.address = key.substr(0, key.find('~'));
    registration.service = fleet::service_name(service);
    registration.rack = rack_name(rack);
    registration.data_centre = data_centre_name(rack.substr(0, rack.find('-')));
    registration.labels = {rack};
    registration.capacity = {cores * 1'000, gib * 1'024, 0};
    registration.draining = state == "draining";
    return registration;
}

void counted_events::emit(const event& happened)
{
    ++counts_[happened.number];
    if (!print)
    {
        return;
    }
    std::cerr << static_cast<int>(happened.number);
    for (const auto& [name, value] : happened.fields)
    {
        std::cerr << ' ' << name << '=' << value;
    }
    std::cerr << '\n';
}

fleet::step_spec
tasks(std::uint32_t count, std::int64_t cores, std::int64_t gib)
{
    fleet::step_spec step;
    step.count = count;
    step.each = {cores * 1'000, gib * 1'024, 0};
    step.estimate = milliseconds{1'000};
    return step;
}

fleet::configuration fleet_world::plain_config()
{
    fleet::queue_settings queue;
    queue.name = queue_name("work");
    queue.service = fleet::service_name("svc");
    queue.attempts = 2;
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    return fleet::configuration(1, {queue}, {account}, {});
}

fleet_world::fleet_world(std::size_t count, std::size_t worker_count)
    : config(plain_config()), store(clock), workers(clock), policy(clock)
{
    workers.needs = [this](const fleet::task_ref& task)
    {
        const auto at = specs.find(task.step);
        return at == specs.end() ? resources{} : resources_needed(at->second);
    };
    workers.gang_size = [this](const fleet::task_ref& task)
    {
        const auto at = specs.find(task.step);
        return at != specs.end() && at->second.gang ? at->second.count : 0U;
    };
    workers.on_crash = [this](const worker_id& id) { bring_back(id); };
    for (std::size_t n = 0; n < worker_count; ++n)
    {
        add_worker("w" + std::to_string(n));
    }
    for (std::size_t n = 0; n < count; ++n)
    {
        vms.push_back(
            std::make_unique<vm>(*this, "vm" + std::to_string(n), 100 + n));
        vms.back()->start();
    }
}

fleet_world::~fleet_world() = default;

void fleet_world::add_worker(
    const std::string& id,
    const std::string& rack,
    std::int64_t cores,
    std::int64_t gib)
{
    fleet::worker_registration registration;
    registration.id = worker_id(id);
    registration.address = id.substr(0, id.find('~'));
    registration.rack = rack_name(rack);
    registration.capacity = {cores * 1'000, gib * 1'024, 0};
    const std::uint64_t incarnation = workers.add(registration);
    std::ostringstream value;
    value << incarnation << " svc " << rack << ' ' << cores << ' ' << gib
          << " ready";
    store.put("registry", id, value.str());
}

void fleet_world::bring_back(const worker_id& crashed)
{
    constexpr milliseconds registration_kept{4'500};
    ++crashes_;
    const std::string& id = crashed.str();
    const auto before =
        plain_records().read_registration(id, store.newest("registry", id));
    if (!before)
    {
        return;
    }
    const std::int64_t cores = before->capacity.milli_processors / 1'000;
    if (!crashes_change_ids)
    {
        clock.after(
            crash_recovery, [this, id, cores] { restart_worker(id, cores); });
        return;
    }
    clock.after(
        registration_kept, [this, id] { store.put("registry", id, ""); });
    clock.after(
        crash_recovery,
        [this, before = *before, cores]
        {
            add_worker(
                before.address + "~" + std::to_string(++lives_),
                before.rack.str(),
                cores);
        });
}

void fleet_world::evacuate(const std::string& data_centre, bool evacuated)
{
    store.put("operators", "evacuate/" + data_centre, evacuated ? "{}" : "");
}

void fleet_world::resize_worker(const std::string& id, std::int64_t cores)
{
    const auto before =
        plain_records().read_registration(id, store.newest("registry", id));
    std::ostringstream value;
    value << before->incarnation << " svc " << before->rack.str() << ' '
          << cores << ' ' << before->capacity.memory_mib / 1'024 << " ready";
    store.put("registry", id, value.str());
}

void fleet_world::restart_worker(
    const std::string& id, std::int64_t cores, milliseconds registers_after)
{
    const std::uint64_t incarnation = workers.restart(worker_id(id));
    const auto before =
        plain_records().read_registration(id, store.newest("registry", id));
    std::ostringstream value;
    value << incarnation << " svc " << before->rack.str() << ' ' << cores << ' '
          << before->capacity.memory_mib / 1'024 << " ready";
    clock.after(
        registers_after,
        [this, id, text = value.str()] { store.put("registry", id, text); });
}

void fleet_world::register_worker(
    const std::string& id, const std::string& state)
{
    std::string value = store.newest("registry", id);
    value = value.substr(0, value.rfind(' ') + 1) + state;
    store.put("registry", id, value);
}

void fleet_world::submit(
    const std::string& id,
    std::vector<fleet::step_spec> steps,
    const std::string& account,
    const std::string& topic)
{
    fleet::accepted_job job;
    job.id = job_id(id);
    job.queue = queue_name("work");
    job.account = fleet::account_name(account);
    job.request.payload = "payload-" + id;
    job.request.steps = std::move(steps);
    if (const auto* queue = config.find(job.queue))
    {
        job.settings_at_acceptance = *queue;
    }
    for (std::uint32_t n = 0; n < job.request.steps.size(); ++n)
    {
        specs[{job.id, 0, n}] = job.request.steps[n];
    }
    store.put(topic, id, encode(job));
}

bool fleet_world::run_until(
    const std::string& id, fleet::job_state state, milliseconds most)
{
    constexpr milliseconds step{20};
    for (milliseconds spent{0}; spent < most; spent += step)
    {
        run(step);
        const fleet::job_view seen = view(id);
        if (seen.known && seen.state == state)
        {
            return true;
        }
    }
    return false;
}

fleet_world::vm* fleet_world::owner_vm() const
{
    for (const auto& each : vms)
    {
        if (each->owner && each->leadership->is_owner())
        {
            return each.get();
        }
    }
    return nullptr;
}

std::shared_ptr<fleet::fleet_owner> fleet_world::owner() const
{
    vm* found = owner_vm();
    return found == nullptr ? nullptr : found->owner;
}

fleet::job_view fleet_world::view(const std::string& id) const
{
    const auto found = owner();
    auto seen = std::make_shared<fleet::job_view>();
    if (found && found->loaded())
    {
        // The callback runs at once if the job is known.
        found->look_up(
            job_id(id),
            [seen](const result<fleet::job_view>& view)
            { *seen = view.value_or(fleet::job_view{}); });
    }
    return *seen;
}

std::vector<standin::worker_event>
fleet_world::starts_of(const std::string& job, std::uint32_t index) const
{
    std::vector<standin::worker_event> found;
    for (const standin::worker_event& each : workers.events())
    {
        if (each.what == standin::worker_event::kind::started &&
            each.task.step.job.str() == job && each.task.index == index)
        {
            found.push_back(each);
        }
    }
    return found;
}

std::vector<std::string> fleet_world::broken_promises() const
{
    return find_broken([](const standin::worker_event& end)
                       { return end.how == fleet::run_end::done; });
}

std::vector<std::string> fleet_world::broken_rules() const
{
    std::set<std::pair<fleet::task_ref, fleet::run_number>> noted;
    for (const standin::worker_event& end : workers.noted_ends())
    {
        if (end.how == fleet::run_end::done)
        {
            noted.emplace(end.task, end.run);
        }
    }
    return find_broken(
        [&](const standin::worker_event& end) {
            return noted.contains({end.task, end.run});
        });
}

std::vector<std::string> fleet_world::find_broken(const is_done& counts) const
{
    using kind = standin::worker_event::kind;
    std::vector<std::string> broken;
    std::map<fleet::task_ref, std::set<std::pair<worker_id, std::uint64_t>>>
        running;
    std::map<worker_id, resources> used;
    std::set<fleet::task_ref> done;
    for (const standin::worker_event& each : workers.events())
    {
        const std::string name = each.task.step.job.str() + "." +
                                 std::to_string(each.task.step.step) + "." +
                                 std::to_string(each.task.index);
        const auto spec = specs.find(each.task.step);
        const resources room = spec == specs.end()
                                   ? resources{}
                                   : fleet::resources_needed(spec->second);
        if (each.what == kind::ended)
        {
            running[each.task].erase({each.worker, each.run});
            used[each.worker] -= room;
            if (counts(each))
            {
                done.insert(each.task);
            }
            continue;
        }
        if (!running[each.task].empty())
        {
            broken.push_back("two runs at once: " + name);
        }
        if (done.contains(each.task))
        {
            broken.push_back("started after it was done: " + name);
        }
        running[each.task].emplace(each.worker, each.run);
        used[each.worker] += room;
        const std::string value = store.newest("registry", each.worker.str());
        const auto registration =
            plain_records().read_registration(each.worker.str(), value);
        if (registration && !used[each.worker].fits_in(registration->capacity))
        {
            broken.push_back("over capacity: " + each.worker.str());
        }
        if (spec != specs.end())
        {
            for (const std::uint32_t before : spec->second.after)
            {
                fleet::task_ref other = each.task;
                other.step.step = before;
                for (other.index = 0; other.index < specs.at(other.step).count;
                     ++other.index)
                {
                    if (!done.contains(other))
                    {
                        broken.push_back("before its predecessor: " + name);
                    }
                }
            }
        }
    }
    return broken;
}

fleet_world::vm::vm(
    fleet_world& world, const std::string& vm_name, std::uint64_t seed)
    : store_client(world.store),
      clock(world.clock, gate),
      store(store_client, gate),
      orders(world.workers, world.clock, gate),
      name(vm_name),
      world_(world),
      seed_(seed)
{
}

fleet_world::vm::~vm()
{
    kill();
}

void fleet_world::vm::kill()
{
    owner.reset();
    leadership.reset();
    operators.reset();
}

void fleet_world::vm::start()
{
    kill(); // A soak may start a VM twice; an owner refers to its process.
    fleet::leadership_settings leading;
    leading.vm = instance_id(name);
    leading.address = name + ":1";
    leading.strength = strength;
    leadership = fleet::leadership::create(
        leading, store, clock, world_.events, *this, seed_++);
    operators =
        edge::config_watch::create({}, store, records_, clock, world_.events);
    operators->on_evacuations_changed(
        [this]
        {
            if (owner)
            {
                owner->on_evacuations_changed();
            }
        });
    operators->start();
    leadership->start();
}

void fleet_world::vm::pause(milliseconds span)
{
    gate->pause();
    world_.clock.after(span, [resumed = gate] { resumed->resume(); });
}

void fleet_world::vm::stop()
{
    leadership->release([this] { owner.reset(); });
}

void fleet_world::vm::on_ownership_gained(std::uint64_t token)
{
    fleet::owner_settings deciding = world_.settings;
    deciding.vm = instance_id(name);
    owner = fleet::fleet_owner::create(
        deciding,
        {store,
         orders,
         records_,
         clock,
         world_.events,
         metrics_,
         *operators,
         [this]() -> const fleet::configuration& { return world_.config; },
         [this](const std::string& reason) { leadership->step_down(reason); },
         [this](const std::string& reason) { leadership->yield(reason); }},
        token);
    owner->start();
}

void fleet_world::vm::on_ownership_confirmed(instant sent, std::uint64_t token)
{
    if (owner)
    {
        owner->note_token(token);
        owner->confirm(sent);
    }
}

void fleet_world::vm::on_renewal_overdue()
{
    const auto& quiet = leadership->owner();
    const bool answers = std::any_of(
        world_.vms.begin(),
        world_.vms.end(),
        [&](const auto& each)
        {
            return each->name == quiet->vm && each->owner != nullptr &&
                   each->owner->store_silence() < milliseconds{700};
        });
    if (!answers && world_.peers_probe_owner)
    {
        leadership->suspect(
            quiet->token, fleet::leadership::suspect_reason::unresponsive);
    }
}

void fleet_world::vm::on_ownership_lost()
{
    clock.after(
        milliseconds::zero(),
        [this]
        {
            if (!leadership || !leadership->is_owner())
            {
                owner.reset();
            }
        });
}

} // namespace acaciastile::test
