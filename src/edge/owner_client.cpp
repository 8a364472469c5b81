#include "edge/owner_client.hpp"

#include <absl/strings/numbers.h>
#include <utility>

namespace acaciastile::edge
{

namespace
{

namespace http = boost::beast::http;

/// An owner that replied within this time counts as reachable. Work requests
/// get a reply at least every 0.7 s.
constexpr milliseconds reachable_period{1'300};
/// Added to the long-poll time of a work request to get its timeout.
constexpr milliseconds work_timeout_margin{900};
/// Maximum time for the owner to store a job before this VM stores it itself.
constexpr milliseconds max_accept_timeout{1'400};
/// If the owner has not replied to an `accept` call after this time, this VM
/// checks that the owner is alive. Storing a job takes about 10 ms, or 0.5 s
/// while the store is slow.
constexpr milliseconds accept_check_delay{250};
/// Time between two liveness checks of an owner that replies to other calls.
/// Many VMs check it at once while the store is slow.
constexpr milliseconds check_interval{600};
/// Timeout of a liveness check. A slow VM replies in about 50 ms.
constexpr milliseconds alive_timeout{300};
/// Maximum time to wait for the owner while a client waits for the result.
constexpr milliseconds max_call_timeout{1'500};

/// An owner that has had no reply from the store for this long has lost its
/// connection to it. The owner sends a request every 0.3 s, and a slow store
/// replies within 0.25 s.
constexpr milliseconds max_store_silence{700};

bool has_lost_store(const net::http_outcome& alive)
{
    milliseconds::rep silence = 0;
    return alive.status() == 200 &&
           absl::SimpleAtoi(alive.response.body(), &silence) &&
           milliseconds(silence) > max_store_silence;
}

tl::unexpected<error> no_owner(std::string reason)
{
    return refuse(refusal_code::no_owner, std::move(reason));
}

} // namespace

owner_client::owner_client(
    net::http_client& http,
    fleet::leadership& leaders,
    fleet::scheduler_clock& clock)
    : http_(http), leadership_(leaders), clock_(clock)
{
}

bool owner_client::is_reachable() const
{
    const auto& owner = leadership_.owner();
    return !local_ && owner && owner->token == last_reply_token_ &&
           owner->token != unresponsive_token_ &&
           age_of(last_reply_, clock_.now()) <= reachable_period;
}

void owner_client::report_failing_renewal(std::uint64_t token)
{
    leadership_.suspect(
        token, fleet::leadership::suspect_reason::renewals_rejected);
}

void owner_client::set_local(std::shared_ptr<fleet::fleet_owner> owner)
{
    local_ = std::move(owner);
}

std::optional<net::endpoint> owner_client::owner_address() const
{
    const auto& owner = leadership_.owner();
    return owner ? net::endpoint::parse(owner->address) : std::nullopt;
}

void owner_client::check_alive()
{
    const auto address = owner_address();
    const instant now = clock_.now();
    const bool replies = age_of(last_reply_, now) < accept_check_delay;
    if (check_in_progress_ || local_ || !address ||
        (replies && age_of(last_check_, now) < check_interval))
    {
        return;
    }
    check_in_progress_ = true;
    last_check_ = now;
    constexpr bool repeatable = true;
    http_.call(
        *address,
        {http::verb::post, peer_paths::alive, 11},
        alive_timeout,
        repeatable,
        [this,
         token = leadership_.owner()->token](const net::http_outcome& outcome)
        {
            check_in_progress_ = false;
            if (outcome.timed_out || has_lost_store(outcome))
            {
                mark_unresponsive(token);
                return;
            }
            record_reply(token, outcome);
        });
}

void owner_client::mark_unresponsive(std::uint64_t token)
{
    unresponsive_token_ = token;
    leadership_.suspect(token, fleet::leadership::suspect_reason::unresponsive);
    const auto waiting = pending_accepts_;
    for (const std::shared_ptr<pending_accept>& each : waiting)
    {
        if (each->token == token)
        {
            each->finish(refuse(
                refusal_code::no_owner,
                verdict::may_have_run,
                "the owner does not answer"));
        }
    }
}

void owner_client::pending_accept::finish(const result<void>& outcome)
{
    if (done)
    {
        std::exchange(done, nullptr)(outcome);
    }
}

void owner_client::call(
    const char* path,
    std::string body,
    milliseconds timeout,
    fleet::completion<std::string> done)
{
    const auto& owner = leadership_.owner();
    const auto address = owner_address();
    if (!address)
    {
        done(no_owner("no VM that can be called owns the fleet"));
        return;
    }
    if (owner->token == unresponsive_token_ && path != peer_paths::work)
    {
        done(no_owner("the owner does not answer"));
        return;
    }
    net::http_request request{http::verb::post, path, 11};
    request.set(http::field::content_type, "application/msgpack");
    request.body() = std::move(body);
    // `accept` must not be retried: if the first attempt stored the job and the
    // retry were rejected, the reply would wrongly say that it is not stored.
    const bool repeatable = path != peer_paths::accept;
    http_.call(
        *address,
        std::move(request),
        timeout,
        repeatable,
        [this, token = owner->token, done = std::move(done)](
            net::http_outcome outcome)
        {
            record_reply(token, outcome);
            if (outcome.status() == 200)
            {
                done(std::move(outcome.response.body()));
                return;
            }
            // An error status means that the peer did nothing, except for 504,
            // which means that it does not know.
            const bool outcome_unknown =
                outcome.effect == verdict::may_have_run ||
                outcome.response.result() == http::status::gateway_timeout;
            done(refuse(
                refusal_code::no_owner,
                outcome_unknown ? verdict::may_have_run : verdict::not_run,
                outcome.answered() ? outcome.response.body()
                                   : outcome.failure));
        });
}

void owner_client::record_reply(
    std::uint64_t token, const net::http_outcome& outcome)
{
    using suspect_reason = fleet::leadership::suspect_reason;
    if (outcome.answered())
    {
        last_reply_ = clock_.now();
        last_reply_token_ = token;
        unresponsive_token_ = 0;
    }
    if (outcome.status() == 409)
    {
        leadership_.suspect(token, suspect_reason::denies_ownership);
    }
    else if (outcome.effect == verdict::not_run && !outcome.timed_out)
    {
        leadership_.suspect(token, suspect_reason::unreachable);
    }
}

void owner_client::state(
    const job_id& id,
    milliseconds deadline,
    fleet::completion<fleet::job_view> done)
{
    if (local_)
    {
        local_->look_up(id, std::move(done));
        return;
    }
    call(
        peer_paths::state,
        id.str(),
        std::min(deadline, max_call_timeout),
        [done = std::move(done)](const result<std::string>& body)
        { done(body.and_then(decode_job_view)); });
}

void owner_client::cancel(
    const job_id& id, milliseconds deadline, fleet::completion<bool> done)
{
    if (local_)
    {
        local_->cancel(id, std::move(done));
        return;
    }
    call(
        peer_paths::cancel,
        id.str(),
        deadline,
        [done = std::move(done)](const result<std::string>& body) {
            done(body.map([](const std::string& known)
                          { return known == "1"; }));
        });
}

void owner_client::count_waiting(
    const queue_name& queue,
    milliseconds deadline,
    fleet::completion<fleet::waiting_count> done)
{
    if (local_)
    {
        local_->count_waiting(queue, std::move(done));
        return;
    }
    call(
        peer_paths::count,
        queue.str(),
        std::min(deadline, max_call_timeout),
        [done = std::move(done)](const result<std::string>& body)
        { done(body.and_then(decode_waiting_count)); });
}

void owner_client::work(
    work_request request, fleet::completion<work_reply> done)
{
    if (local_)
    {
        if (request.last_answer)
        {
            local_->on_policy_answer(
                request.vm,
                request.last_answer->step,
                request.last_answer->question,
                request.last_answer->granted,
                request.last_answer->age);
        }
        local_->request_work(
            request.vm,
            request.wait,
            [done =
                 std::move(done)](std::optional<fleet::permit_request> question)
            {
                work_reply reply;
                reply.question = std::move(question);
                done(std::move(reply));
            });
        return;
    }
    const milliseconds timeout = request.wait + work_timeout_margin;
    call(
        peer_paths::work,
        encode(request),
        timeout,
        [done = std::move(done)](const result<std::string>& body)
        { done(body.and_then(decode_work_reply)); });
}

void owner_client::accept(
    const accept_request& request, fleet::completion<void> done)
{
    auto job = std::make_shared<pending_accept>();
    job->token = leadership_.owner() ? leadership_.owner()->token : 0;
    job->done = std::move(done);
    pending_accepts_.push_back(job);
    clock_.after(
        accept_check_delay,
        [this, job]
        {
            if (job->done)
            {
                check_alive();
            }
        });
    call(
        peer_paths::accept,
        encode(request),
        std::min(request.deadline / 2, max_accept_timeout),
        [this, job](const result<std::string>& body)
        {
            pending_accepts_.remove(job);
            job->finish(body ? result<void>{} : tl::unexpected(body.error()));
        });
}

} // namespace acaciastile::edge
