#pragma once

#include "edge/config_watch.hpp"
#include "edge/owner_link.hpp"

#include <memory>

namespace acaciastile::edge
{

/// Fetches questions for the policy service from the owner, asks them from
/// this VM and brings the answers back, one at a time. What the owner knows of
/// the configuration comes along.
class advice_worker : public std::enable_shared_from_this<advice_worker>
{
public:
    [[nodiscard]] static std::shared_ptr<advice_worker> create(
        instance_id vm,
        owner_link& owner,
        config_watch& config,
        fleet::policy_service* policy,
        fleet::scheduler_clock& clock);

    void start();
    /// Fetches no more questions.
    void stop() noexcept { stopped_ = true; }

private:
    advice_worker(
        instance_id vm,
        owner_link& owner,
        config_watch& config,
        fleet::policy_service* policy,
        fleet::scheduler_clock& clock);

    void fetch(std::optional<work_request::answer> brought);
    void ask(const fleet::permit_request& question);

    instance_id vm_;
    owner_link& owner_;
    config_watch& config_;
    fleet::policy_service* policy_; ///< Null where there is none.
    fleet::scheduler_clock& clock_;
    bool stopped_ = false;
};

} // namespace acaciastile::edge
