#include "edge/advice_poller.hpp"

#include <algorithm>

namespace acaciastile::edge
{

namespace
{

/// Long-poll time of one work request.
constexpr milliseconds fetch_poll_time{700};
/// Delay before the next work request after a failed one.
constexpr milliseconds fetch_retry_delay{120};
/// Added to twice the expected response time of the policy service to get the
/// timeout of a query.
constexpr milliseconds query_timeout_margin{700};

} // namespace

std::shared_ptr<advice_poller> advice_poller::create(
    instance_id vm,
    owner_client& owner,
    config_watch& config,
    fleet::policy_service* policy,
    fleet::scheduler_clock& clock)
{
    return std::shared_ptr<advice_poller>(
        new advice_poller(std::move(vm), owner, config, policy, clock));
}

advice_poller::advice_poller(
    instance_id vm,
    owner_client& owner,
    config_watch& config,
    fleet::policy_service* policy,
    fleet::scheduler_clock& clock)
    : vm_(std::move(vm)),
      owner_(owner),
      config_(config),
      policy_(policy),
      clock_(clock)
{
}

void advice_poller::start()
{
    fetch(std::nullopt);
}

void advice_poller::fetch(std::optional<work_request::answer> last_answer)
{
    if (stopped_ && !last_answer)
    {
        return;
    }
    const milliseconds wait = stopped_ ? milliseconds::zero() : fetch_poll_time;
    const fleet::configuration* config = config_.current();
    owner_.work(
        {vm_,
         wait,
         config == nullptr ? 0 : config->version(),
         std::move(last_answer)},
        [weak = weak_from_this(),
         sent = clock_.now_with_suspends()](const result<work_reply>& reply)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (reply && reply->config_version > 0)
            {
                const milliseconds taken =
                    self->clock_.now_with_suspends() - sent;
                const milliseconds travelled =
                    taken - std::min(taken, reply->held.value_or(taken));
                self->config_.learn_from_peer(
                    reply->config_version,
                    reply->config,
                    reply->config_age + travelled);
            }
            if (self->stopped_)
            {
                return;
            }
            if (reply && reply->failing_token != 0)
            {
                self->owner_.report_failing_renewal(reply->failing_token);
            }
            if (reply && reply->question && self->policy_ != nullptr)
            {
                self->ask(*reply->question);
                return;
            }
            // The delay also prevents unbounded recursion when the owner runs
            // in this process and replies synchronously.
            self->clock_.after(
                reply ? milliseconds{1} : fetch_retry_delay,
                [weak]
                {
                    if (const auto again = weak.lock())
                    {
                        again->fetch(std::nullopt);
                    }
                });
        });
}

void advice_poller::ask(const fleet::permit_request& question)
{
    policy_->ask(
        question.step,
        question.workers,
        question.expected * 2 + query_timeout_margin,
        [weak = weak_from_this(),
         step = question.step,
         number = question.number](const result<fleet::permits>& granted)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            work_request::answer answer;
            answer.step = step;
            answer.question = number;
            if (granted)
            {
                answer.granted = *granted;
            }
            self->fetch(std::move(answer));
        });
}

} // namespace acaciastile::edge
