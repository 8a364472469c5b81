#include "cli/dev/dev_cell.hpp"

#include "cli/instance_setup.hpp"
#include "cli/random_bytes.hpp"

#include <thread>

namespace acaciastile
{

namespace
{

constexpr milliseconds dev_tick{2};
constexpr milliseconds journal_bound{30'000};
constexpr milliseconds finish_poll{20};

generated_key make_first_key()
{
    const auto random = draw_random_bytes(key_random_bytes);
    return generate_key(
               key_id("dev-operator"), team_name(), key_right::operate, random)
        .value();
}

/// Advances the stand-ins to the present before anything is scheduled.
timer_queue timers_at(instant now)
{
    timer_queue made;
    made.run_until(now);
    return made;
}

} // namespace

/// One instance with its own views of the stand-ins.
struct dev_cell::member_process
{
    member_process(dev_cell& owner, const std::string& name)
        : log(owner.log_, name),
          vms(owner.vms_, name),
          workers(owner.workers_, name),
          peers(owner.peers_, name)
    {
    }

    embedded_log_view log;
    embedded_vm_list_view vms;
    embedded_worker_gateway workers;
    embedded_peer_gateway peers;
    std::unique_ptr<instance> cell;
    std::unique_ptr<entry_service> entry;
};

result<std::unique_ptr<dev_cell>> dev_cell::create(const dev_settings& settings)
{
    std::unique_ptr<dev_cell> made(new dev_cell(settings));
    if (auto started = made->start(settings); !started)
    {
        return tl::unexpected(started.error());
    }
    return made;
}

dev_cell::dev_cell(const dev_settings& settings)
    : seed_(settings.seed),
      first_key_(make_first_key()),
      events_(event_logger::create(settings.log)),
      measured_(metrics::create()),
      thread_(control_thread::create({dev_tick}, clock_, *measured_)),
      timers_(timers_at(clock_.now())),
      network_(timers_),
      log_(network_),
      vms_(network_),
      workers_(network_),
      peers_(network_)
{
}

dev_cell::~dev_cell()
{
    thread_->stop();
}

void dev_cell::add_workers(const inventory& workers)
{
    for (const worker_entry& each : workers.workers())
    {
        workers_.add({each.id, each.capacity});
        vms_.set(
            {each.id.str(), vm_role::worker, each.data_centre, each.address});
    }
}

result<void> dev_cell::add_instance(std::size_t number)
{
    const std::string name = "dev-" + std::to_string(number);
    const data_centre_name centre("almaty-" + std::to_string(number));
    auto made = std::make_unique<member_process>(*this, name);
    instance_settings settings =
        make_instance_settings({name, centre, name}, {}, first_key_.entry);
    instance_ports ports = make_common_ports();
    ports.log = &made->log;
    ports.vms = &made->vms;
    ports.workers = &made->workers;
    ports.peers = &made->peers;
    ports.events = events_.get();
    ports.metrics = measured_.get();
    ports.clock = &clock_;
    auto cell = instance::create(settings, ports, seed_ + number);
    if (!cell)
    {
        return tl::unexpected(cell.error());
    }
    made->cell = *std::move(cell);
    entry_settings entry;
    entry.external.address = {"127.0.0.1", 0};
    entry.internal.address = {"127.0.0.1", 0};
    auto service = entry_service::create(
        entry,
        {*made->cell,
         *thread_,
         clock_,
         *measured_,
         *events_,
         [](const std::string&) -> result<void> { return {}; }});
    if (!service)
    {
        return tl::unexpected(service.error());
    }
    made->entry = *std::move(service);
    vms_.set({name, vm_role::entry, centre, name});
    peers_.enter(
        name,
        name,
        [this, cell = made->cell.get()](
            const std::string& method,
            const std::string& body,
            completion<std::string> done)
        { cell->on_peer(clock_.now(), method, body, std::move(done)); });
    members_.push_back(std::move(made));
    return {};
}

result<void> dev_cell::start(const dev_settings& settings)
{
    add_workers(settings.workers);
    for (std::size_t number = 1; number <= settings.instances; ++number)
    {
        if (auto added = add_instance(number); !added)
        {
            return added;
        }
    }
    thread_->start([this](instant now) { tick(now); });
    return {};
}

void dev_cell::tick(instant now)
{
    timers_.run_until(now);
    for (auto& each : members_)
    {
        each->cell->tick(now);
        each->entry->tick(now);
    }
}

std::vector<std::string> dev_cell::addresses() const
{
    std::vector<std::string> found;
    for (const auto& each : members_)
    {
        found.push_back(each->entry->external_address());
    }
    return found;
}

std::vector<run_entry> dev_cell::journal()
{
    using entries = std::vector<run_entry>;
    return thread_
        ->call<entries>(
            [this](instant, completion<entries> done)
            { done(workers_.journal().entries()); },
            journal_bound)
        .value_or(entries());
}

bool dev_cell::shut_down(milliseconds bound)
{
    const instant until = clock_.now() + bound;
    thread_->post(
        [this]
        {
            for (auto& each : members_)
            {
                each->entry->begin_shutdown();
                each->cell->begin_shutdown(clock_.now());
            }
        });
    bool finished = false;
    while (!finished && clock_.now() < until)
    {
        std::this_thread::sleep_for(finish_poll);
        finished = thread_
                       ->call<bool>(
                           [this](instant, completion<bool> done)
                           {
                               bool all = true;
                               for (auto& each : members_)
                               {
                                   all = all && each->cell->finished();
                               }
                               done(all);
                           },
                           bound)
                       .value_or(false);
    }
    for (auto& each : members_)
    {
        finished = each->entry->finish(bound) && finished;
    }
    thread_->stop();
    return finished;
}

} // namespace acaciastile
