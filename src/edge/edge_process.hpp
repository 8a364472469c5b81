#pragma once

#include "edge/advice_poller.hpp"
#include "edge/config_watch.hpp"
#include "edge/lag_monitor.hpp"
#include "edge/owner_client.hpp"
#include "edge/peer_api.hpp"
#include "fleet/front_service.hpp"
#include "fleet/intake.hpp"
#include "fleet/leadership.hpp"
#include "fleet/settings.hpp"
#include "net/http_server.hpp"
#include "observe/event_logger.hpp"
#include "observe/metrics.hpp"
#include "observe/nonblocking_appender.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

namespace acaciastile::edge
{

/// The platform-specific implementations that one process uses. They share the
/// process's HTTP client.
struct adapter
{
    std::unique_ptr<fleet::metadata_store> store;
    std::unique_ptr<fleet::worker_orders> orders;
    std::unique_ptr<fleet::policy_service>
        policy; ///< Null if the platform has no policy service.
    std::unique_ptr<fleet::external_records> foreign;
    /// Returns an HTTP handler that decodes client requests, passes them to the
    /// given service and encodes the replies.
    std::function<net::http_handler(fleet::front_service&)> make_front;
    /// Returns the reply to a readiness probe; the argument is true if the
    /// process is ready.
    std::function<net::http_response(bool)> answer_readiness;
};

using adapter_factory =
    std::function<adapter(net::http_client&, const fleet::edge_settings&)>;

/// The server process on one VM. It serves three HTTP listeners: client
/// requests, readiness probes and calls from the other VMs. While this VM owns
/// the fleet, the process also runs the `fleet_owner`. Everything runs on one
/// thread with one event loop.
class edge_process final : public fleet::front_service,
                           private fleet::leadership_listener
{
public:
    /// Opens the listeners and starts all background work.
    /// Errors: `unreachable` if a listener cannot bind its address.
    [[nodiscard]] static result<std::unique_ptr<edge_process>>
    create(fleet::edge_settings settings, const adapter_factory& make_adapter);
    ~edge_process() override;

    /// Runs the event loop until SIGTERM or SIGINT and the graceful shutdown
    /// that follows.
    void run();

    [[nodiscard]] const fleet::configuration* config() const override;
    [[nodiscard]] bool config_is_fresh() const override;
    [[nodiscard]] bool is_ready() const override;
    void submit(
        fleet::accepted_job job,
        milliseconds deadline,
        fleet::job_intake::completion done) override;
    void state(
        const job_id& id,
        milliseconds deadline,
        fleet::completion<fleet::job_view> done) override;
    void cancel(
        const job_id& id,
        milliseconds deadline,
        fleet::completion<bool> done) override;
    void pending(
        const queue_name& queue,
        milliseconds deadline,
        fleet::completion<std::size_t> done) override;
    void refused(const std::string& id, std::string_view reason) override;

private:
    class loop_clock;

    explicit edge_process(fleet::edge_settings settings);

    result<void> start(const adapter_factory& make_adapter);
    result<void> listen();
    void on_ownership_gained(std::uint64_t token) override;
    void on_ownership_lost() override;
    void on_ownership_confirmed(instant sent, std::uint64_t token) override;
    void on_renewal_overdue() override;
    /// Destroys the `fleet_owner` unless this VM still owns the fleet.
    void destroy_lost_owner();
    /// Writes a job to the metadata store from this VM.
    void store_locally(
        fleet::accepted_job job,
        const fleet::intake_terms& terms,
        fleet::job_intake::completion done);
    void report_submission(
        const fleet::accepted_job& job,
        instant received_at,
        fleet::intake_outcome outcome,
        const std::string& reason);
    /// Logs a count of waiting jobs that a caller is given.
    void report_count(
        const queue_name& queue,
        const fleet::waiting_count& count,
        milliseconds took);
    /// Writes kept log lines, now and at regular intervals.
    void flush_log();
    void wait_for_signal();
    void begin_stop();
    /// Ends the event loop once no request is active and ownership was
    /// released, at the latest at the end of the grace period.
    void finish_when_idle();
    [[nodiscard]] net::http_response
    answer_metrics(const net::http_request& of);

    fleet::edge_settings settings_;
    boost::asio::io_context loop_;
    net::timer_service timers_;
    std::unique_ptr<loop_clock> clock_;
    nonblocking_appender* log_appender_; ///< Owned by `events_`.
    std::unique_ptr<event_logger> events_;
    std::unique_ptr<metrics> metrics_;
    net::http_client http_;
    adapter adapter_;
    std::shared_ptr<config_watch> config_;
    std::shared_ptr<fleet::leadership> leadership_;
    std::unique_ptr<owner_client> owner_;
    std::shared_ptr<fleet::job_intake> intake_;
    std::unique_ptr<peer_api> peer_api_;
    std::shared_ptr<advice_poller> advice_;
    std::shared_ptr<lag_monitor> lag_;
    std::unique_ptr<net::http_server> front_;
    std::unique_ptr<net::http_server> readiness_;
    std::unique_ptr<net::http_server> peers_;
    boost::asio::signal_set signals_;
    bool stopping_ = false;
    bool handed_over_ = false; ///< Ownership was released during shutdown.
    instant stop_requested_at_{};
};

} // namespace acaciastile::edge
