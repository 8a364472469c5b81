#include "support/instance_rig.hpp"

#include "domain/key_check.hpp"
#include "policy/fair_scheduler.hpp"
#include "support/letter_size.hpp"

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>

namespace acaciastile::bench
{

namespace
{

constexpr milliseconds step{10};
constexpr milliseconds settle_time{15'000};
constexpr int most_waits = 10'000;
constexpr instant beginning = instant{} + std::chrono::hours{24};
const std::string own_name = "entry-vm-0001";
const std::string own_address = "10.0.0.1:7000";

generated_key first_key()
{
    const std::vector<std::uint8_t> bytes(key_random_bytes, 7);
    return generate_key(key_id("first"), team_name(), key_right::operate, bytes)
        .value();
}

worker_entry make_local_worker(std::size_t number)
{
    worker_entry made = make_worker(number);
    made.data_centre = data_centre_name("region-1-dc0");
    made.rack = rack_name("dc0-rack-" + std::to_string(number / 6));
    return made;
}

} // namespace

void counting_worker_gateway::call(
    worker_call message, completion<worker_report> done)
{
    ++calls;
    if (!counting)
    {
        next_.call(std::move(message), std::move(done));
        return;
    }
    bytes_sent += encode(worker_call_message{own_name, message}).size();
    next_.call(
        std::move(message),
        [this, done = std::move(done)](result<worker_report> report)
        {
            bytes_received += report ? encode(*report).size() : 0;
            done(std::move(report));
        });
}

class instance_rig::manual_clock final : public clock_source
{
public:
    explicit manual_clock(const timer_queue& timers) : timers_(timers) {}
    [[nodiscard]] instant now() const noexcept override
    {
        return timers_.now();
    }

private:
    const timer_queue& timers_;
};

class instance_rig::no_events final : public event_sink, public metric_sink
{
public:
    void emit(const event&) override {}
    void count(std::string_view, std::string_view, double) override {}
    void sample(std::string_view, std::string_view, double) override {}
    void gauge(std::string_view, std::string_view, double) override {}
};

instance_rig::instance_rig(std::size_t workers, std::size_t appends_per_second)
    : workers_(workers),
      clock_(std::make_unique<manual_clock>(timers_)),
      events_(std::make_unique<no_events>()),
      workers_gateway_(std::make_unique<embedded_worker_gateway>(
          platform_.workers, own_name)),
      counted_(std::make_unique<counting_worker_gateway>(*workers_gateway_)),
      vms_(std::make_unique<embedded_vm_list_view>(platform_.vms, own_name)),
      peer_gateway_(std::make_unique<embedded_peer_gateway>(peers_, own_name)),
      log_(std::make_unique<embedded_log_view>(platform_.log, own_name)),
      counted_log_(std::make_unique<counting_log_service>(*log_, own_name))
{
    timers_.run_until(beginning);
    for (std::size_t n = 0; n < workers; ++n)
    {
        const worker_entry entry = make_local_worker(n);
        embedded_worker_settings settings;
        settings.id = entry.id;
        settings.capacity = entry.capacity;
        platform_.workers.add(settings);
        platform_.vms.set(
            {entry.id.str(),
             vm_role::worker,
             entry.data_centre,
             entry.address});
    }
    instance_settings settings;
    settings.self.id = instance_id(own_name + ".1");
    settings.self.address = own_address;
    settings.self.data_centre = data_centre_name("region-1-dc0");
    settings.notify_address = own_address;
    settings.bootstrap_key = first_key().entry;
    operator_key_ = first_key().presented;
    if (appends_per_second > 0)
    {
        settings.fleet_appends_per_second = appends_per_second;
    }
    instance_ports ports;
    ports.log = counted_log_.get();
    ports.vms = vms_.get();
    ports.workers = counted_.get();
    ports.peers = peer_gateway_.get();
    ports.events = events_.get();
    ports.metrics = events_.get();
    ports.clock = clock_.get();
    ports.make_scheduler = [] { return fair_scheduler::create({}); };
    ports.random_bytes = [this](std::size_t count)
    {
        std::string bytes;
        while (bytes.size() < count)
        {
            bytes.push_back(static_cast<char>(random_() & 0x7f));
        }
        return bytes;
    };
    instance_ = instance::create(settings, ports, 1).value();
}

instance_rig::~instance_rig() = default;

template<class Value>
Value instance_rig::wait_for(
    const std::function<void(completion<Value>)>& begin)
{
    std::optional<result<Value>> outcome;
    begin([&outcome](result<Value> told) { outcome = std::move(told); });
    for (int waits = 0; !outcome && waits < most_waits; ++waits)
    {
        run_for(step);
    }
    if (!outcome || !*outcome)
    {
        std::fprintf(
            stderr,
            "the instance refused: %s\n",
            outcome ? outcome->error().message.c_str() : "no answer");
        std::exit(1);
    }
    return std::move(**outcome);
}

void instance_rig::set_up()
{
    run_for(settle_time);
    const presented_key key{operator_key_};
    std::vector<worker_entry> entries;
    for (std::size_t n = 0; n < workers_; ++n)
    {
        entries.push_back(make_local_worker(n));
    }
    const inventory listed = inventory::create(std::move(entries)).value();
    wait_for<published>(
        [&](completion<published> done)
        {
            instance_->publish_inventory(
                timers_.now(), key, 0, listed, std::move(done));
        });
    wait_for<published>(
        [&](completion<published> done)
        {
            instance_->publish_rules(
                timers_.now(),
                key,
                0,
                make_rules(letter::teams),
                std::move(done));
        });
    team_key_ = wait_for<granted_key>(
                    [&](completion<granted_key> done)
                    {
                        instance_->grant_key(
                            timers_.now(),
                            key,
                            make_team(0),
                            key_right::caller,
                            std::move(done));
                    })
                    .secret_text;
    run_for(settle_time);
}

job_spec instance_rig::make_small_job(
    std::size_t number, std::uint32_t tasks, milliseconds runs)
{
    job_spec spec = make_job(number, tasks);
    spec.team = make_team(0);
    spec.each = {500, 512, 0};
    spec.run_time = runs;
    spec.payload = "{\"run_ms\": " + std::to_string(runs.count()) + "}";
    return spec;
}

void instance_rig::post(
    std::size_t number, std::uint32_t tasks, milliseconds runs)
{
    instance_->submit(
        timers_.now(),
        {team_key_},
        make_small_job(number, tasks, runs),
        [](const result<job_status>&) {});
}

milliseconds instance_rig::publish_again()
{
    const instant begin = timers_.now();
    const revision base = instance_->cell().rules_revision();
    wait_for<published>(
        [&](completion<published> done)
        {
            instance_->publish_rules(
                begin,
                {operator_key_},
                base,
                make_rules(letter::teams - base % 2),
                std::move(done));
        });
    return timers_.now() - begin;
}

void instance_rig::submit(
    std::size_t number, std::uint32_t tasks, milliseconds runs)
{
    const job_spec spec = make_small_job(number, tasks, runs);
    wait_for<job_status>(
        [&](completion<job_status> done) {
            instance_->submit(
                timers_.now(), {team_key_}, spec, std::move(done));
        });
}

void instance_rig::run_for(milliseconds time)
{
    const instant until = timers_.now() + time;
    while (timers_.now() < until)
    {
        timers_.run_until(timers_.now() + step);
        instance_->tick(timers_.now());
    }
}

std::size_t instance_rig::running_tasks() const
{
    std::size_t count = 0;
    for (const worker_id& id : platform_.workers.ids())
    {
        count += platform_.workers.find(id)->running_count();
    }
    return count;
}

} // namespace acaciastile::bench
