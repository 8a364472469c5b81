#pragma once

#include "edge/peer_messages.hpp"
#include "fleet/leadership.hpp"
#include "net/http_client.hpp"

#include <list>
#include <memory>
#include <optional>

namespace acaciastile::edge
{

/// Calls the present owner of the fleet, wherever it is: in this process or
/// on another VM.
class owner_link
{
public:
    owner_link(
        net::http_client& http,
        fleet::leadership& leaders,
        fleet::scheduler_clock& clock);

    /// The owner in this process; null where it is elsewhere.
    void set_local(std::shared_ptr<fleet::fleet_owner> owner);
    [[nodiscard]] const std::shared_ptr<fleet::fleet_owner>&
    local() const noexcept
    {
        return local_;
    }

    /// Errors of all calls: `no_owner`.
    void state(
        const job_id& id,
        milliseconds deadline,
        fleet::completion<fleet::job_view> done);
    void cancel(
        const job_id& id, milliseconds deadline, fleet::completion<bool> done);
    void pending(
        const queue_name& queue,
        milliseconds deadline,
        fleet::completion<std::size_t> done);
    void work(work_request request, fleet::completion<work_reply> done);
    /// Hands a job over to be stored. Errors besides: `log_unavailable`; the
    /// verdict says whether it may be stored.
    void accept(const accept_request& request, fleet::completion<void> done);
    /// Asks the owner whether it is there; where no answer comes, calls to it
    /// that have none yet end, and others may claim the fleet sooner.
    void check_alive();
    /// The store turns the owner away; another VM may do better.
    void note_renewal_failing(std::uint64_t token);
    /// This VM's token where the store turns it away as the owner, else zero.
    [[nodiscard]] std::uint64_t failing_token() const
    {
        return local_ && leaders_.is_renewal_failing() ? local_->token() : 0;
    }
    /// True where another VM owns the fleet and has answered lately, so that
    /// a call to it is worth its wait.
    [[nodiscard]] bool is_within_reach() const;

private:
    /// A job that was handed over and not answered for.
    struct handed_over
    {
        std::uint64_t token = 0;
        fleet::completion<void> done; ///< Empty once it was called.

        void finish(const result<void>& outcome);
    };

    [[nodiscard]] std::optional<net::endpoint> owner_address() const;
    void note_silent(std::uint64_t token);
    void call(
        const char* path,
        std::string body,
        milliseconds timeout,
        fleet::completion<std::string> done);
    void note_answer(std::uint64_t token, const net::http_outcome& outcome);

    net::http_client& http_;
    fleet::leadership& leaders_;
    fleet::scheduler_clock& clock_;
    std::shared_ptr<fleet::fleet_owner> local_;
    instant answered_ = instant::min(); ///< The owner's last answer.
    std::uint64_t answered_token_ = 0;  ///< Whose answer it was.
    std::uint64_t silent_token_ = 0;    ///< Did not say that it is there.
    bool checking_ = false;
    std::list<std::shared_ptr<handed_over>> handed_over_;
};

} // namespace acaciastile::edge
