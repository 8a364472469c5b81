#include "edge/edge_process.hpp"

#include "fleet/event_text.hpp"
#include "observe/nonblocking_appender.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <random>

namespace acaciastile::edge
{

namespace
{

/// Minimum time between the stop signal and closing connections. The load
/// balancer probes readiness once a second and removes a VM after two failures.
constexpr milliseconds min_shutdown_time{2'300};
/// Part of the grace period that is reserved for the process to exit.
constexpr milliseconds shutdown_margin{700};
constexpr milliseconds shutdown_poll_interval{50};
/// Subtracted from the limit for applying a new configuration. A configuration
/// that was not confirmed within the remaining time may be superseded by the
/// time a reply that relies on it arrives.
constexpr milliseconds config_freshness_margin{300};
/// Log lines that follow each other faster than this are written together.
constexpr milliseconds log_write_interval{20};
constexpr milliseconds log_flush_interval{100};
/// How long a caller's job waits for a store that refuses appends before the
/// caller is told to come back. A store that restarts or sheds load is back
/// within that time as a rule; a caller with several tries spans longer ones.
constexpr milliseconds store_patience{1'000};
constexpr const char* metrics_path = "/metrics";
constexpr const char* state_path = "/state";

/// Processor cores and link speed from which a VM gets the full leadership
/// strength. An owner of 350 workers uses 0.2 cores under light load and reads
/// its state over its link.
constexpr double full_strength_cores = 0.5;
constexpr double full_strength_link_mbps = 100;

/// Parts of the process's descriptors that each listener may use for
/// connections. The rest is for calls to workers, the store and other VMs.
constexpr std::size_t front_descriptor_part = 4;
constexpr std::size_t peers_descriptor_part = 4;
constexpr std::size_t readiness_descriptor_part = 16;
/// Parts of the process's memory that the requests and answers of each listener
/// may use. Those of peers carry configurations.
constexpr std::size_t front_memory_part = 8;
constexpr std::size_t peers_memory_part = 4;
constexpr std::size_t readiness_memory_part = 64;
/// A listener has at least this many connections, however low the limit.
constexpr std::size_t fewest_connections = 4;

/// Limits of a listener that may use one part in so many of the descriptors and
/// of the memory.
net::http_server_settings listener_limits(
    const fleet::edge_settings& settings,
    std::size_t descriptor_part,
    std::size_t memory_part)
{
    net::http_server_settings limits;
    limits.connections = std::clamp(
        settings.descriptors / descriptor_part,
        fewest_connections,
        limits.connections);
    limits.memory_limit = (settings.memory_mib << 20U) / memory_part;
    return limits;
}

std::uint32_t leadership_strength(const fleet::edge_settings& settings)
{
    const double fraction = std::min(
        settings.cores / full_strength_cores,
        settings.link_mbps / full_strength_link_mbps);
    return static_cast<std::uint32_t>(1'000 * std::min(1.0, fraction));
}

nonblocking_appender_settings make_appender_settings()
{
    nonblocking_appender_settings settings;
    settings.write_interval = log_write_interval;
    return settings;
}

std::uint64_t random_seed()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32U | device();
}

} // namespace

/// Provides the event loop's timers and the system clocks.
class edge_process::loop_clock final : public fleet::scheduler_clock
{
public:
    explicit loop_clock(net::timer_service& timers) : timers_(timers) {}

    [[nodiscard]] instant now() const override { return timers_.now(); }

    [[nodiscard]] instant now_with_suspends() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return instant(std::chrono::duration_cast<milliseconds>(
            std::chrono::seconds(time.tv_sec) +
            std::chrono::nanoseconds(time.tv_nsec)));
    }

    [[nodiscard]] fleet::wall_time wall() const override
    {
        return std::chrono::time_point_cast<milliseconds>(
            std::chrono::system_clock::now());
    }

    void after(milliseconds delay, std::function<void()> work) override
    {
        timers_.after(delay, std::move(work));
    }

private:
    net::timer_service& timers_;
};

result<std::unique_ptr<edge_process>> edge_process::create(
    fleet::edge_settings settings, const adapter_factory& make_adapter)
{
    std::unique_ptr<edge_process> made(new edge_process(std::move(settings)));
    if (auto started = made->start(make_adapter); !started)
    {
        return tl::unexpected(started.error());
    }
    return made;
}

edge_process::edge_process(fleet::edge_settings settings)
    : settings_(std::move(settings)),
      timers_(loop_),
      clock_(std::make_unique<loop_clock>(timers_)),
      log_appender_(new nonblocking_appender(make_appender_settings())),
      events_(event_logger::create(
          {log_format::json, event_level::info},
          log4cplus::SharedAppenderPtr(log_appender_))),
      metrics_(metrics::create()),
      http_(loop_, timers_),
      signals_(loop_)
{
}

edge_process::~edge_process()
{
    destroy_lost_owner();
}

result<void> edge_process::start(const adapter_factory& make_adapter)
{
    events_->emit(
        {event_number::process_started,
         {{"vm", settings_.vm.str()},
          {"data_centre", settings_.data_centre.str()}}});
    adapter_ = make_adapter(http_, settings_);
    config_watch_settings watch_settings;
    watch_settings.max_age = settings_.config_bound - config_freshness_margin;
    config_ = config_watch::create(
        watch_settings, *adapter_.store, *adapter_.foreign, *clock_, *events_);
    config_->on_evacuations_changed(
        [this]
        {
            if (const auto owner = owner_->local())
            {
                owner->on_evacuations_changed();
            }
        });
    fleet::leadership_settings leader_settings;
    leader_settings.vm = settings_.vm;
    leader_settings.strength = leadership_strength(settings_);
    leader_settings.address =
        net::endpoint{settings_.address, settings_.peer_port}.str();
    leadership_ = fleet::leadership::create(
        leader_settings,
        *adapter_.store,
        *clock_,
        *events_,
        *this,
        random_seed());
    owner_ = std::make_unique<owner_client>(http_, *leadership_, *clock_);
    fleet::intake_settings intake_options;
    intake_options.request_bytes = settings_.request_bytes;
    intake_options.first_topic = std::hash<std::string>{}(settings_.vm.str()) %
                                 fleet::topics::job_topics.size();
    intake_ = fleet::job_intake::create(
        intake_options, *adapter_.store, *clock_, *metrics_);
    peer_api_ = std::make_unique<peer_api>(
        *owner_,
        *config_,
        *clock_,
        [this](
            fleet::accepted_job job,
            milliseconds deadline,
            fleet::job_intake::completion done)
        {
            store_locally(
                std::move(job), {clock_->now() + deadline}, std::move(done));
        });
    if (auto listening = listen(); !listening)
    {
        return listening;
    }
    advice_ = advice_poller::create(
        settings_.vm, *owner_, *config_, adapter_.policy.get(), *clock_);
    advice_->start();
    config_->start();
    leadership_->start();
    lag_ = lag_monitor::create(
        *clock_,
        [this](double speed) { leadership_->set_speed(speed); },
        [this](milliseconds stalled)
        {
            events_->emit(
                {event_number::process_stalled,
                 {{"stalled_ms", fleet::text_of(stalled)},
                  {"owns_fleet", leadership_->is_owner() ? "yes" : "no"}}});
        });
    lag_->start();
    flush_log();
    wait_for_signal();
    return {};
}

result<void> edge_process::listen()
{
    const auto limits = [this](
                            const char* listener,
                            std::size_t descriptor_part,
                            std::size_t memory_part)
    {
        net::http_server_settings made =
            listener_limits(settings_, descriptor_part, memory_part);
        made.on_limit = [this, listener](net::connection_limit reached)
        {
            metrics_->count(
                "http_limits_reached",
                std::string(listener) + " " +
                    std::string(net::name_of(reached)),
                1);
        };
        return made;
    };
    auto front = net::http_server::create(
        loop_,
        settings_.front,
        limits("front", front_descriptor_part, front_memory_part),
        adapter_.make_front(*this));
    if (!front)
    {
        return tl::unexpected(front.error());
    }
    front_ = *std::move(front);
    auto readiness = net::http_server::create(
        loop_,
        settings_.readiness,
        limits("readiness", readiness_descriptor_part, readiness_memory_part),
        [this](net::http_request, net::http_responder respond)
        { respond(adapter_.answer_readiness(is_ready())); });
    if (!readiness)
    {
        return tl::unexpected(readiness.error());
    }
    readiness_ = *std::move(readiness);
    auto peers = net::http_server::create(
        loop_,
        {settings_.address, settings_.peer_port},
        limits("peers", peers_descriptor_part, peers_memory_part),
        [this](net::http_request request, net::http_responder respond)
        {
            if (request.method() == boost::beast::http::verb::get)
            {
                respond(answer_metrics(request));
                return;
            }
            peer_api_->handle(request, std::move(respond));
        });
    if (!peers)
    {
        return tl::unexpected(peers.error());
    }
    peers_ = *std::move(peers);
    events_->emit(
        {event_number::listening,
         {{"front", settings_.front.str()},
          {"readiness", settings_.readiness.str()},
          {"peers",
           net::endpoint{settings_.address, settings_.peer_port}.str()}}});
    return {};
}

net::http_response edge_process::answer_metrics(const net::http_request& of)
{
    net::http_response response;
    response.set(boost::beast::http::field::content_type, "text/plain");
    if (of.target() == metrics_path)
    {
        const net::http_client_counts& counts = http_.counts();
        metrics_->gauge("http_calls", "", static_cast<double>(counts.calls));
        metrics_->gauge(
            "http_connects", "", static_cast<double>(counts.connects));
        metrics_->gauge(
            "http_timeouts", "", static_cast<double>(counts.timeouts));
        log_appender_->measure(*metrics_);
        response.body() = metrics_->expose();
        return response;
    }
    if (of.target() == state_path)
    {
        response.body() = owner_->local() ? owner_->local()->describe()
                                          : std::string("not the owner");
        return response;
    }
    response.result(boost::beast::http::status::not_found);
    return response;
}

void edge_process::run()
{
    loop_.run();
    log_appender_->flush();
}

void edge_process::flush_log()
{
    log_appender_->flush();
    clock_->after(log_flush_interval, [this] { flush_log(); });
}

// Fleet ownership

void edge_process::on_ownership_gained(std::uint64_t token)
{
    fleet::owner_settings owner_options;
    owner_options.vm = settings_.vm;
    owner_options.status_kept = settings_.status_kept;
    owner_options.workers.lease =
        std::min(owner_options.workers.lease, settings_.longest_lease);
    owner_options.workers.longest_lease = settings_.longest_lease;
    auto owner = fleet::fleet_owner::create(
        owner_options,
        {*adapter_.store,
         *adapter_.orders,
         *adapter_.foreign,
         *clock_,
         *events_,
         *metrics_,
         *config_,
         [this]() -> const fleet::configuration&
         {
             static const fleet::configuration none;
             const fleet::configuration* current = config_->current();
             return current == nullptr ? none : *current;
         },
         [this](const std::string& reason) { leadership_->step_down(reason); },
         [this](const std::string& reason) { leadership_->yield(reason); }},
        token);
    owner_->set_local(owner);
    owner->start();
}

void edge_process::on_ownership_lost()
{
    // The owner may be on the call stack: destroy it in the next iteration of
    // the event loop.
    clock_->after(milliseconds::zero(), [this] { destroy_lost_owner(); });
}

void edge_process::on_ownership_confirmed(instant sent, std::uint64_t token)
{
    if (const auto owner = owner_->local())
    {
        owner->note_token(token);
        owner->confirm(sent);
    }
}

void edge_process::on_renewal_overdue()
{
    owner_->check_alive();
}

void edge_process::destroy_lost_owner()
{
    if (owner_ && owner_->local() &&
        !(leadership_ && leadership_->is_owner() &&
          leadership_->owner()->token == owner_->local()->token()))
    {
        owner_->set_local(nullptr);
    }
}

// Client requests

const fleet::configuration* edge_process::config() const
{
    return config_->current();
}

bool edge_process::config_is_fresh() const
{
    return config_->is_fresh();
}

bool edge_process::is_ready() const
{
    return !stopping_ && config_->current() != nullptr && config_->is_fresh();
}

void edge_process::submit(
    fleet::accepted_job job,
    milliseconds deadline,
    fleet::job_intake::completion done)
{
    const instant received_at = clock_->now();
    auto shared_job = std::make_shared<fleet::accepted_job>(std::move(job));
    shared_job->accepted = clock_->wall();
    auto report_and_reply =
        [this, received_at, shared_job, done = std::move(done)](
            fleet::intake_outcome outcome, const std::string& reason)
    {
        report_submission(*shared_job, received_at, outcome, reason);
        done(outcome, reason);
    };
    if (!owner_->is_reachable())
    {
        store_locally(
            *shared_job,
            {received_at + deadline, false, store_patience},
            report_and_reply);
        return;
    }
    // Sending jobs to the owner batches them into a few large appends and lets
    // the owner schedule the job without reading it from the store first.
    owner_->accept(
        {*shared_job, deadline},
        [this, received_at, deadline, shared_job, report_and_reply](
            const result<void>& stored)
        {
            if (stored)
            {
                report_and_reply(fleet::intake_outcome::stored, {});
                return;
            }
            const bool may_be_stored =
                stored.error().effect != verdict::not_run;
            store_locally(
                *shared_job,
                {received_at + deadline, may_be_stored, store_patience},
                report_and_reply);
        });
}

void edge_process::store_locally(
    fleet::accepted_job job,
    const fleet::intake_terms& terms,
    fleet::job_intake::completion done)
{
    auto shared_job = std::make_shared<fleet::accepted_job>(std::move(job));
    intake_->submit(
        *shared_job,
        terms,
        [this, shared_job, done = std::move(done)](
            fleet::intake_outcome outcome, const std::string& reason)
        {
            if (outcome == fleet::intake_outcome::stored && owner_->local())
            {
                owner_->local()->accept(*shared_job);
            }
            done(outcome, reason);
        });
}

void edge_process::report_submission(
    const fleet::accepted_job& job,
    instant received_at,
    fleet::intake_outcome outcome,
    const std::string& reason)
{
    const milliseconds took = clock_->now() - received_at;
    metrics_->sample("fleet_accept_ms", "", static_cast<double>(took.count()));
    if (outcome == fleet::intake_outcome::stored)
    {
        events_->emit(
            {event_number::job_stored,
             {{"job", job.id.str()},
              {"queue", job.queue.str()},
              {"account", job.account.str()},
              {"took_ms", std::to_string(took.count())},
              {"config", std::to_string(config()->version())}}});
        return;
    }
    events_->emit(
        {event_number::job_rejected,
         {{"job", job.id.str()},
          {"verdict",
           std::string(to_string(
               outcome == fleet::intake_outcome::refused
                   ? verdict::not_run
                   : verdict::may_have_run))},
          {"took_ms", std::to_string(took.count())},
          {"reason", reason}}});
}

void edge_process::state(
    const job_id& id,
    milliseconds deadline,
    fleet::completion<fleet::job_view> done)
{
    owner_->state(id, deadline, std::move(done));
}

void edge_process::cancel(
    const job_id& id, milliseconds deadline, fleet::completion<bool> done)
{
    owner_->cancel(id, deadline, std::move(done));
}

void edge_process::pending(
    const queue_name& queue,
    milliseconds deadline,
    fleet::completion<std::size_t> done)
{
    owner_->count_waiting(
        queue,
        deadline,
        [this,
         queue,
         asked = clock_->now_with_suspends(),
         done = std::move(done)](const result<fleet::waiting_count>& count)
        {
            if (!count)
            {
                done(tl::unexpected(count.error()));
                return;
            }
            // The way to the owner and back, or this VM stood still meanwhile.
            const milliseconds took = clock_->now_with_suspends() - asked;
            if (count->age + (took - count->held) > fleet::longest_count_age)
            {
                done(
                    refuse(refusal_code::no_owner, "the count is out of date"));
                return;
            }
            report_count(queue, *count, took);
            done(count->waiting);
        });
}

void edge_process::report_count(
    const queue_name& queue,
    const fleet::waiting_count& count,
    milliseconds took)
{
    const auto& owner = leadership_->owner();
    events_->emit(
        {event_number::count_given,
         {{"queue", queue.str()},
          {"waiting", std::to_string(count.waiting)},
          {"age_ms", fleet::text_of(count.age)},
          {"took_ms", fleet::text_of(took)},
          {"owner", owner ? owner->vm : ""},
          {"fence", std::to_string(owner ? owner->token : 0)}}});
}

void edge_process::refused(const std::string& id, std::string_view reason)
{
    metrics_->count("fleet_requests_refused", reason, 1);
    events_->emit(
        {event_number::request_refused,
         {{"job", id},
          {"reason", std::string(reason)},
          {"config",
           std::to_string(config() == nullptr ? 0 : config()->version())}}});
}

// Signals and shutdown

void edge_process::wait_for_signal()
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        boost::system::error_code failed;
        signals_.add(number, failed);
    }
    signals_.async_wait(
        [this](const boost::system::error_code& failed, int number)
        {
            if (failed)
            {
                return;
            }
            if (number == SIGHUP)
            {
                // The settings file is read only at startup, so there is
                // nothing to reload.
                events_->emit({event_number::reload_asked, {}});
            }
            else if (!stopping_)
            {
                begin_stop();
            }
            wait_for_signal();
        });
}

void edge_process::begin_stop()
{
    stopping_ = true;
    stop_requested_at_ = clock_->now();
    events_->emit({event_number::stop_asked, {}});
    advice_->stop();
    // The owner keeps scheduling until the release is stored. The next owner
    // learns from the workers about decisions that were not stored.
    leadership_->release(
        [this]
        {
            handed_over_ = true;
            owner_->set_local(nullptr);
        });
    finish_when_idle();
}

void edge_process::finish_when_idle()
{
    const milliseconds since = clock_->now() - stop_requested_at_;
    const bool idle = since >= min_shutdown_time &&
                      front_->active_requests() == 0 && handed_over_;
    if (idle || since >= settings_.grace - shutdown_margin)
    {
        front_->drain();
        events_->emit(
            {event_number::process_ended,
             {{"in_hand", std::to_string(front_->active_requests())},
              {"handed_over", handed_over_ ? "yes" : "no"}}});
        loop_.stop();
        return;
    }
    clock_->after(shutdown_poll_interval, [this] { finish_when_idle(); });
}

} // namespace acaciastile::edge
