#pragma once

#include "edge/config_watch.hpp"
#include "edge/owner_client.hpp"
#include "fleet/intake.hpp"
#include "net/http_server.hpp"

namespace acaciastile::edge
{

/// Serves the HTTP calls from the other VMs.
class peer_api
{
public:
    using submit_function = std::function<void(
        fleet::accepted_job, milliseconds, fleet::job_intake::completion)>;

    /// `submit` writes a job to the metadata store from this VM.
    peer_api(
        owner_client& owner,
        config_watch& config,
        fleet::scheduler_clock& clock,
        submit_function submit)
        : owner_(owner),
          config_(config),
          clock_(clock),
          submit_(std::move(submit))
    {
    }

    /// Handles one call. `respond` may be called after this returned. All calls
    /// except `accept` get 409 if this VM is not the owner, and 503 while the
    /// owner is loading; the liveness check is answered during loading too.
    void handle(const net::http_request& request, net::http_responder respond);

private:
    void accept(const std::string& body, net::http_responder respond);
    void work(
        fleet::fleet_owner& owner,
        const std::string& body,
        net::http_responder respond);

    owner_client& owner_;
    config_watch& config_;
    fleet::scheduler_clock& clock_;
    submit_function submit_;
};

} // namespace acaciastile::edge
