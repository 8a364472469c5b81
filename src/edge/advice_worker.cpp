#include "edge/advice_worker.hpp"

namespace acaciastile::edge
{

namespace
{

/// Of one call for work, while the owner has none.
constexpr milliseconds fetch_wait{700};
/// After a call for work that failed.
constexpr milliseconds fetch_retry{120};
/// Beyond the expected time of an answer of the policy service.
constexpr milliseconds ask_patience{700};

} // namespace

std::shared_ptr<advice_worker> advice_worker::create(
    instance_id vm,
    owner_link& owner,
    config_watch& config,
    fleet::policy_service* policy,
    fleet::scheduler_clock& clock)
{
    return std::shared_ptr<advice_worker>(
        new advice_worker(std::move(vm), owner, config, policy, clock));
}

advice_worker::advice_worker(
    instance_id vm,
    owner_link& owner,
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

void advice_worker::start()
{
    fetch(std::nullopt);
}

void advice_worker::fetch(std::optional<work_request::answer> brought)
{
    if (stopped_ && !brought)
    {
        return;
    }
    const milliseconds wait = stopped_ ? milliseconds::zero() : fetch_wait;
    const fleet::configuration* config = config_.current();
    owner_.work(
        {vm_,
         wait,
         config == nullptr ? 0 : config->version(),
         std::move(brought)},
        [weak = weak_from_this()](const result<work_reply>& reply)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (reply && reply->config_version > 0)
            {
                self->config_.learn(
                    reply->config_version, reply->config, reply->config_age);
            }
            if (self->stopped_)
            {
                return;
            }
            if (reply && reply->failing_token != 0)
            {
                self->owner_.note_renewal_failing(reply->failing_token);
            }
            if (reply && reply->question && self->policy_ != nullptr)
            {
                self->ask(*reply->question);
                return;
            }
            // A pause also breaks the chain of calls where the owner is in
            // this process and answers at once.
            self->clock_.after(
                reply ? milliseconds{1} : fetch_retry,
                [weak]
                {
                    if (const auto again = weak.lock())
                    {
                        again->fetch(std::nullopt);
                    }
                });
        });
}

void advice_worker::ask(const fleet::permit_request& question)
{
    policy_->ask(
        question.step,
        question.workers,
        question.expected * 2 + ask_patience,
        [weak = weak_from_this(),
         step = question.step](const result<fleet::permits>& granted)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            work_request::answer answer;
            answer.step = step;
            if (granted)
            {
                answer.granted = *granted;
            }
            self->fetch(std::move(answer));
        });
}

} // namespace acaciastile::edge
