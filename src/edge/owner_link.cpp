#include "edge/owner_link.hpp"

#include <absl/strings/numbers.h>
#include <utility>

namespace acaciastile::edge
{

namespace
{

namespace http = boost::beast::http;

/// An owner that has answered within this time is asked first. Calls for work
/// bring an answer every 0.7 s.
constexpr milliseconds reach_memory{1'300};
/// Added to the wait of a call for work.
constexpr milliseconds beyond_wait{900};
/// Longest wait for the owner to store a job, before this VM stores it itself.
constexpr milliseconds longest_accept{1'400};
/// A job that the owner has not answered for by then makes this VM ask whether
/// it is there; storing takes some 10 ms, and 0.5 s while the store is slow.
constexpr milliseconds check_accept_after{250};
/// An owner that does not say within this time that it is there is silent: a
/// slowed VM needs some 50 ms.
constexpr milliseconds alive_timeout{300};
/// Longest wait for the owner on a caller's behalf.
constexpr milliseconds longest_call{1'500};

/// An owner that the store has not answered for this long is cut off from it:
/// it asks every 0.3 s, and a slow store answers within 0.25 s.
constexpr milliseconds longest_store_silence{700};

bool has_lost_store(const net::http_outcome& alive)
{
    milliseconds::rep silence = 0;
    return alive.status() == 200 &&
           absl::SimpleAtoi(alive.response.body(), &silence) &&
           milliseconds(silence) > longest_store_silence;
}

tl::unexpected<error> no_owner(std::string reason)
{
    return refuse(refusal_code::no_owner, std::move(reason));
}

} // namespace

owner_link::owner_link(
    net::http_client& http,
    fleet::leadership& leaders,
    fleet::scheduler_clock& clock)
    : http_(http), leaders_(leaders), clock_(clock)
{
}

bool owner_link::is_within_reach() const
{
    const auto& owner = leaders_.owner();
    return !local_ && owner && owner->token == answered_token_ &&
           owner->token != silent_token_ &&
           age_of(answered_, clock_.now()) <= reach_memory;
}

void owner_link::note_renewal_failing(std::uint64_t token)
{
    leaders_.suspect(
        token, fleet::leadership::suspect_reason::renewals_rejected);
}

void owner_link::set_local(std::shared_ptr<fleet::fleet_owner> owner)
{
    local_ = std::move(owner);
}

std::optional<net::endpoint> owner_link::owner_address() const
{
    const auto& owner = leaders_.owner();
    return owner ? net::endpoint::parse(owner->address) : std::nullopt;
}

void owner_link::check_alive()
{
    const auto address = owner_address();
    if (checking_ || local_ || !address)
    {
        return;
    }
    checking_ = true;
    constexpr bool repeatable = true;
    http_.call(
        *address,
        {http::verb::post, peer_paths::alive, 11},
        alive_timeout,
        repeatable,
        [this,
         token = leaders_.owner()->token](const net::http_outcome& outcome)
        {
            checking_ = false;
            if (outcome.timed_out || has_lost_store(outcome))
            {
                note_silent(token);
                return;
            }
            note_answer(token, outcome);
        });
}

void owner_link::note_silent(std::uint64_t token)
{
    silent_token_ = token;
    leaders_.suspect(token, fleet::leadership::suspect_reason::unresponsive);
    const auto waiting = handed_over_;
    for (const std::shared_ptr<handed_over>& each : waiting)
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

void owner_link::handed_over::finish(const result<void>& outcome)
{
    if (done)
    {
        std::exchange(done, nullptr)(outcome);
    }
}

void owner_link::call(
    const char* path,
    std::string body,
    milliseconds timeout,
    fleet::completion<std::string> done)
{
    const auto& owner = leaders_.owner();
    const auto address = owner_address();
    if (!address)
    {
        done(no_owner("no VM that can be called owns the fleet"));
        return;
    }
    if (owner->token == silent_token_ && path != peer_paths::work)
    {
        done(no_owner("the owner does not answer"));
        return;
    }
    net::http_request request{http::verb::post, path, 11};
    request.set(http::field::content_type, "application/msgpack");
    request.body() = std::move(body);
    // A repeated hand-over whose first try was carried out could be refused,
    // which would say that the job is not stored.
    const bool repeatable = path != peer_paths::accept;
    http_.call(
        *address,
        std::move(request),
        timeout,
        repeatable,
        [this, token = owner->token, done = std::move(done)](
            net::http_outcome outcome)
        {
            note_answer(token, outcome);
            if (outcome.status() == 200)
            {
                done(std::move(outcome.response.body()));
                return;
            }
            // A VM that answers without success has done nothing, but for a
            // gateway timeout.
            const bool open =
                outcome.effect == verdict::may_have_run ||
                outcome.response.result() == http::status::gateway_timeout;
            done(refuse(
                refusal_code::no_owner,
                open ? verdict::may_have_run : verdict::not_run,
                outcome.answered() ? outcome.response.body()
                                   : outcome.failure));
        });
}

void owner_link::note_answer(
    std::uint64_t token, const net::http_outcome& outcome)
{
    using suspect_reason = fleet::leadership::suspect_reason;
    if (outcome.answered())
    {
        answered_ = clock_.now();
        answered_token_ = token;
        silent_token_ = 0;
    }
    if (outcome.status() == 409)
    {
        leaders_.suspect(token, suspect_reason::denies_ownership);
    }
    else if (outcome.effect == verdict::not_run && !outcome.timed_out)
    {
        leaders_.suspect(token, suspect_reason::unreachable);
    }
}

void owner_link::state(
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
        std::min(deadline, longest_call),
        [done = std::move(done)](const result<std::string>& body)
        { done(body.and_then(decode_job_view)); });
}

void owner_link::cancel(
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

void owner_link::pending(
    const queue_name& queue,
    milliseconds deadline,
    fleet::completion<std::size_t> done)
{
    if (local_)
    {
        if (!local_->loaded())
        {
            done(no_owner("the owner is loading"));
            return;
        }
        done(local_->pending(queue));
        return;
    }
    call(
        peer_paths::pending,
        queue.str(),
        std::min(deadline, longest_call),
        [done = std::move(done)](const result<std::string>& body)
        {
            std::uint64_t count = 0;
            if (!body)
            {
                done(tl::unexpected(body.error()));
            }
            else if (!absl::SimpleAtoi(*body, &count))
            {
                done(refuse(refusal_code::malformed, "the owner's count"));
            }
            else
            {
                done(static_cast<std::size_t>(count));
            }
        });
}

void owner_link::work(work_request request, fleet::completion<work_reply> done)
{
    if (local_)
    {
        if (request.brought)
        {
            local_->on_policy_answer(
                request.vm,
                request.brought->step,
                request.brought->granted,
                request.brought->age);
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
    const milliseconds timeout = request.wait + beyond_wait;
    call(
        peer_paths::work,
        encode(request),
        timeout,
        [done = std::move(done)](const result<std::string>& body)
        { done(body.and_then(decode_work_reply)); });
}

void owner_link::accept(
    const accept_request& request, fleet::completion<void> done)
{
    auto job = std::make_shared<handed_over>();
    job->token = leaders_.owner() ? leaders_.owner()->token : 0;
    job->done = std::move(done);
    handed_over_.push_back(job);
    clock_.after(
        check_accept_after,
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
        std::min(request.deadline / 2, longest_accept),
        [this, job](const result<std::string>& body)
        {
            handed_over_.remove(job);
            job->finish(body ? result<void>{} : tl::unexpected(body.error()));
        });
}

} // namespace acaciastile::edge
