#pragma once

#include "edge/peer_messages.hpp"
#include "fleet/leadership.hpp"
#include "net/http_client.hpp"

#include <list>
#include <memory>
#include <optional>

namespace acaciastile::edge
{

/// Client for the current owner of the fleet. Calls it directly if it runs in
/// this process, and over HTTP if it runs on another VM.
class owner_client
{
public:
    owner_client(
        net::http_client& http,
        fleet::leadership& leaders,
        fleet::scheduler_clock& clock);

    /// Sets the owner that runs in this process; null if another VM is the
    /// owner.
    void set_local(std::shared_ptr<fleet::fleet_owner> owner);
    [[nodiscard]] const std::shared_ptr<fleet::fleet_owner>&
    local() const noexcept
    {
        return local_;
    }

    /// Returns the state of a job. All calls fail with `no_owner` if the owner
    /// is unknown or does not reply.
    void state(
        const job_id& id,
        milliseconds deadline,
        fleet::completion<fleet::job_view> done);
    /// Cancels a job. Returns false if the owner does not know the job.
    void cancel(
        const job_id& id, milliseconds deadline, fleet::completion<bool> done);
    /// Returns the number of a queue's jobs that wait, with its age when the
    /// owner replied. Fails with `malformed` if the reply cannot be decoded.
    void count_waiting(
        const queue_name& queue,
        milliseconds deadline,
        fleet::completion<fleet::waiting_count> done);
    /// Long-polls for the next query to the policy service.
    void work(work_request request, fleet::completion<work_reply> done);
    /// Sends a job to the owner to be stored. The verdict of an error says
    /// whether the job may have been stored.
    void accept(const accept_request& request, fleet::completion<void> done);
    /// Checks that an owner on another VM is alive. If it does not reply, the
    /// `accept` calls that still wait for it fail, and the owner becomes
    /// suspected, so that other VMs may claim the fleet sooner.
    void check_alive();
    /// Records that the store rejects the owner's requests, so that another VM
    /// may take over.
    void report_failing_renewal(std::uint64_t token);
    /// The fencing token of the owner in this process if the store rejects its
    /// requests, else zero.
    [[nodiscard]] std::uint64_t failing_token() const
    {
        return local_ && leadership_.is_renewal_failing() ? local_->token() : 0;
    }
    /// True if another VM owns the fleet and has replied recently, so that a
    /// call to it is likely to succeed.
    [[nodiscard]] bool is_reachable() const;

private:
    /// An `accept` call that the owner has not replied to.
    struct pending_accept
    {
        std::uint64_t token = 0;
        fleet::completion<void> done; ///< Empty after it was called.

        void finish(const result<void>& outcome);
    };

    [[nodiscard]] std::optional<net::endpoint> owner_address() const;
    void mark_unresponsive(std::uint64_t token);
    void call(
        const char* path,
        std::string body,
        milliseconds timeout,
        fleet::completion<std::string> done);
    void record_reply(std::uint64_t token, const net::http_outcome& outcome);

    net::http_client& http_;
    fleet::leadership& leadership_;
    fleet::scheduler_clock& clock_;
    std::shared_ptr<fleet::fleet_owner> local_;
    instant last_reply_ = instant::min(); ///< Time of the owner's last reply.
    std::uint64_t last_reply_token_ = 0;  ///< Token of the owner that replied.
    /// Fencing token of the owner that failed its last liveness check.
    std::uint64_t unresponsive_token_ = 0;
    bool check_in_progress_ = false;
    instant last_check_ = instant::min(); ///< When `check_alive` last asked.
    std::list<std::shared_ptr<pending_accept>> pending_accepts_;
};

} // namespace acaciastile::edge
