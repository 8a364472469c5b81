#include "cli/serve_process.hpp"

#include "cli/instance_setup.hpp"
#include "cli/random_bytes.hpp"
#include "cli/version.hpp"
#include "platform/http/http_log_service.hpp"
#include "platform/http/http_peer_gateway.hpp"
#include "platform/http/http_vm_list.hpp"

#include <algorithm>
#include <cstring>
#include <thread>

namespace acaciastile
{

namespace
{

constexpr milliseconds finish_poll{20};
constexpr milliseconds measure_interval{1'000};

std::uint64_t draw_seed()
{
    std::uint64_t seed = 0;
    const auto bytes = draw_random_bytes(sizeof seed);
    std::memcpy(&seed, bytes.data(), sizeof seed);
    return seed;
}

} // namespace

result<std::unique_ptr<serve_process>>
serve_process::create(const serve_settings& settings)
{
    std::unique_ptr<serve_process> made(new serve_process(settings));
    if (auto started = made->start(); !started)
    {
        return tl::unexpected(started.error());
    }
    return made;
}

serve_process::serve_process(const serve_settings& settings)
    : settings_(settings),
      events_(event_logger::create(settings.log)),
      measured_(metrics::create()),
      thread_(control_thread::create({settings.tick}, clock_, *measured_))
{
}

serve_process::~serve_process()
{
    thread_->stop();
}

result<void> serve_process::make_gateways(const instance_id& self)
{
    auto client = http_client::create({}, *thread_);
    if (!client)
    {
        return tl::unexpected(client.error());
    }
    client_ = *std::move(client);
    const std::string& platform = settings_.platform_address;
    const milliseconds timeout = settings_.platform_timeout;
    log_ = http_log_service::create(
        *client_, {platform, self.str(), timeout, timeout});
    vms_ = http_vm_list::create(*client_, {platform, self.str(), timeout});
    workers_ = http_worker_gateway::create(*client_, {self.str()});
    peers_ = http_peer_gateway::create(*client_);
    return {};
}

result<void> serve_process::make_instance()
{
    const instance_settings settings = make_instance_settings(
        {settings_.instance_name,
         settings_.data_centre,
         settings_.entry.internal.address.str()},
        settings_.tuning,
        settings_.bootstrap_key());
    if (auto made = make_gateways(settings.self.id); !made)
    {
        return made;
    }
    instance_ports ports = make_common_ports();
    ports.log = log_.get();
    ports.vms = vms_.get();
    ports.workers = workers_.get();
    ports.peers = peers_.get();
    ports.events = events_.get();
    ports.metrics = measured_.get();
    ports.clock = &clock_;
    auto cell = instance::create(settings, ports, draw_seed());
    if (!cell)
    {
        return tl::unexpected(cell.error());
    }
    cell_ = *std::move(cell);
    return {};
}

result<void> serve_process::make_entry()
{
    auto take_notice = [this](const std::string& body) -> result<void>
    {
        thread_->post([this, body]
                      { static_cast<void>(workers_->take_notice(body)); });
        return {};
    };
    auto entry = entry_service::create(
        settings_.entry,
        {*cell_, *thread_, clock_, *measured_, *events_, take_notice});
    if (!entry)
    {
        return tl::unexpected(entry.error());
    }
    entry_ = *std::move(entry);
    return {};
}

result<void> serve_process::start()
{
    events_->emit(
        {event_number::process_started,
         {{"version", program_version}, {"name", settings_.instance_name}}});
    if (auto made = make_instance(); !made)
    {
        return made;
    }
    if (auto made = make_entry(); !made)
    {
        return made;
    }
    thread_->start([this](instant now) { tick(now); });
    return {};
}

void serve_process::tick(instant now)
{
    cell_->tick(now);
    entry_->tick(now);
    if (now >= next_measure_)
    {
        next_measure_ = now + measure_interval;
        measure_traffic();
    }
}

void serve_process::measure_traffic()
{
    const http_client_counts counts = client_->counts();
    measured_->gauge("control_calls", "", static_cast<double>(counts.calls));
    measured_->gauge(
        "control_bytes_sent", "", static_cast<double>(counts.bytes_sent));
    measured_->gauge(
        "control_bytes_received",
        "",
        static_cast<double>(counts.bytes_received));
}

void serve_process::reload()
{
    events_->emit({event_number::reload_asked, {}});
    static_cast<void>(entry_->reload_tls());
}

bool serve_process::wait_finished(instant until)
{
    for (;;)
    {
        const auto finished = thread_->call<bool>(
            [this](instant, completion<bool> done) { done(cell_->finished()); },
            settings_.shutdown_bound);
        if (finished.value_or(false))
        {
            return true;
        }
        if (clock_.now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(finish_poll);
    }
}

bool serve_process::shut_down()
{
    events_->emit({event_number::stop_asked, {}});
    const instant begun = clock_.now();
    entry_->begin_shutdown();
    thread_->post([this] { cell_->begin_shutdown(clock_.now()); });
    std::this_thread::sleep_for(settings_.readiness_grace);
    const instant until = begun + settings_.shutdown_bound;
    const bool finished = wait_finished(until);
    const milliseconds left =
        std::max(milliseconds::zero(), until - clock_.now());
    const bool answered = entry_->finish(left);
    thread_->stop();
    events_->emit(
        {event_number::process_ended,
         {{"finished", finished ? "yes" : "no"},
          {"answered", answered ? "yes" : "no"}}});
    return finished && answered;
}

} // namespace acaciastile
