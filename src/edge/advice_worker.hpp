#pragma once

#include "edge/owner_link.hpp"

#include <memory>

namespace acaciastile::edge
{

/// Fetches questions for the policy service from the owner, asks them from
/// this VM and brings the answers back, one at a time.
class advice_worker : public std::enable_shared_from_this<advice_worker>
{
public:
    [[nodiscard]] static std::shared_ptr<advice_worker> create(
        instance_id vm,
        owner_link& owner,
        fleet::policy_service& policy,
        fleet::scheduler_clock& clock);

    void start();
    /// Fetches no more questions.
    void stop() noexcept { stopped_ = true; }

private:
    advice_worker(
        instance_id vm,
        owner_link& owner,
        fleet::policy_service& policy,
        fleet::scheduler_clock& clock);

    void fetch(std::optional<work_request::answer> brought);
    void ask(const fleet::ask_decision& question);

    instance_id vm_;
    owner_link& owner_;
    fleet::policy_service& policy_;
    fleet::scheduler_clock& clock_;
    bool stopped_ = false;
};

} // namespace acaciastile::edge
