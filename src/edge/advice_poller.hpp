#pragma once

#include "edge/config_watch.hpp"
#include "edge/owner_client.hpp"

#include <memory>

namespace acaciastile::edge
{

/// Long-polls the fleet's owner for queries to the policy service, sends them
/// from this VM and returns the results to the owner, one query at a time. The
/// owner's replies also carry its configuration, which is passed to the
/// `config_watch`.
class advice_poller : public std::enable_shared_from_this<advice_poller>
{
public:
    [[nodiscard]] static std::shared_ptr<advice_poller> create(
        instance_id vm,
        owner_client& owner,
        config_watch& config,
        fleet::policy_service* policy,
        fleet::scheduler_clock& clock);

    void start();
    /// Stops fetching queries. The result of a query in progress is still
    /// returned.
    void stop() noexcept { stopped_ = true; }

private:
    advice_poller(
        instance_id vm,
        owner_client& owner,
        config_watch& config,
        fleet::policy_service* policy,
        fleet::scheduler_clock& clock);

    void fetch(std::optional<work_request::answer> last_answer);
    void ask(const fleet::permit_request& question);

    instance_id vm_;
    owner_client& owner_;
    config_watch& config_;
    fleet::policy_service* policy_; ///< Null if there is none.
    fleet::scheduler_clock& clock_;
    bool stopped_ = false;
};

} // namespace acaciastile::edge
