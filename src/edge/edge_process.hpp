#pragma once

#include "edge/advice_worker.hpp"
#include "edge/config_watch.hpp"
#include "edge/owner_link.hpp"
#include "edge/peer_api.hpp"
#include "fleet/front_service.hpp"
#include "fleet/intake.hpp"
#include "fleet/leadership.hpp"
#include "fleet/settings.hpp"
#include "net/http_server.hpp"
#include "observe/log_events.hpp"
#include "observe/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

namespace acaciastile::edge
{

/// Ports of the adapter that one process needs, made on its HTTP client.
struct adapter
{
    std::unique_ptr<fleet::metadata_store> store;
    std::unique_ptr<fleet::worker_orders> orders;
    std::unique_ptr<fleet::policy_service>
        policy; ///< Null where there is none.
    std::unique_ptr<fleet::external_records> foreign;
    /// Decodes callers' requests for the given service.
    std::function<net::http_handler(fleet::front_service&)> make_front;
    std::function<net::http_response(bool)> answer_readiness;
};

using adapter_factory =
    std::function<adapter(net::http_client&, const fleet::edge_settings&)>;

/// One process on an entry VM: front, readiness, peers and, while this VM owns
/// the fleet, the owner. One thread and one event loop.
class edge_process final : public fleet::front_service,
                           private fleet::leadership_listener
{
public:
    /// Errors: `unreachable` where an address cannot be listened on.
    [[nodiscard]] static result<std::unique_ptr<edge_process>>
    create(fleet::edge_settings settings, const adapter_factory& make_adapter);
    ~edge_process() override;

    /// Runs until a signal ends the process in order.
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
    void on_renewal_overdue() override;
    void drop_owner();
    /// Stores a job on this VM's own way to the store.
    void store_here(
        fleet::accepted_job job,
        instant deadline,
        bool may_be_stored,
        fleet::job_intake::completion done);
    void tell_submitted(
        const fleet::accepted_job& job,
        instant begun,
        fleet::intake_outcome outcome,
        const std::string& reason);
    void wait_for_signal();
    void begin_stop();
    void finish_when_idle();
    [[nodiscard]] net::http_response
    answer_metrics(const net::http_request& of);

    fleet::edge_settings settings_;
    boost::asio::io_context loop_;
    net::timer_service timers_;
    std::unique_ptr<loop_clock> clock_;
    std::unique_ptr<log_events> events_;
    std::unique_ptr<metrics> metrics_;
    net::http_client http_;
    adapter adapter_;
    std::shared_ptr<config_watch> config_;
    std::shared_ptr<fleet::leadership> leaders_;
    std::unique_ptr<owner_link> owner_;
    std::shared_ptr<fleet::job_intake> intake_;
    std::unique_ptr<peer_api> peer_api_;
    std::shared_ptr<advice_worker> advice_;
    std::unique_ptr<net::http_server> front_;
    std::unique_ptr<net::http_server> readiness_;
    std::unique_ptr<net::http_server> peers_;
    boost::asio::signal_set signals_;
    bool stopping_ = false;
    bool handed_over_ = false;
    instant stop_begun_{};
};

} // namespace acaciastile::edge
