#pragma once

#include "cell/backoff.hpp"
#include "cell/cell_state.hpp"
#include "cell/retry_budget.hpp"
#include "domain/instant.hpp"
#include "platform/peer_gateway.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

namespace acaciastile
{

struct shard_router_settings
{
    backoff_settings backoff{milliseconds{50}, milliseconds{1'000}};
    retry_budget_settings budget;
};

/// A call to the owner of a shard. The id that it carries makes it idempotent,
/// so it may be retried whatever the outcome of the previous try.
struct shard_call
{
    shard_id shard;
    std::string method;
    /// Makes the body of a try. `left` is the time until `give_up`.
    std::function<std::string(milliseconds left)> body;
    instant give_up{}; ///< Deadline of the whole call.
    /// Timeout of one try. With zero a try lasts until the call's deadline or a
    /// change of the shard's owner.
    milliseconds try_timeout{0};
    completion<std::string> done;
};

/// Calls the owner of a shard as named by the claims in the log. Retries if the
/// owner changes or no answer comes, within a retry budget and until the call's
/// deadline. A call that fails is answered immediately.
class shard_router
{
public:
    using local_handler = std::function<void(
        const std::string& method,
        const std::string& body,
        completion<std::string> done)>;

    [[nodiscard]] static std::unique_ptr<shard_router> create(
        instance_id self,
        shard_router_settings settings,
        std::uint64_t seed,
        const cell_state& cell,
        peer_gateway& peers,
        const clock_source& clock,
        local_handler local);

    void call(shard_call message);
    /// Retries the calls that are due and fails those past their deadline.
    void tick();

    [[nodiscard]] std::size_t in_hand() const noexcept { return calls_.size(); }
    [[nodiscard]] std::uint64_t retries() const noexcept { return retries_; }

private:
    struct pending_call
    {
        shard_call message;
        backoff delay;
        instant next_try{};
        bool in_flight = false;
        bool may_have_run = false;
        error last{};
        std::uint64_t sequence = 0;
        shard_epoch epoch = 0; ///< Epoch of the owner called last.
    };
    using call_list = std::list<std::shared_ptr<pending_call>>;

    shard_router(
        instance_id self,
        shard_router_settings settings,
        std::uint64_t seed,
        const cell_state& cell,
        peer_gateway& peers,
        const clock_source& clock,
        local_handler local);

    void send(const std::shared_ptr<pending_call>& call);
    void on_answer(
        const std::shared_ptr<pending_call>& call, result<std::string> answer);
    void try_later(const std::shared_ptr<pending_call>& call, error why);
    void finish(
        const std::shared_ptr<pending_call>& call, result<std::string> answer);
    void give_up(const std::shared_ptr<pending_call>& call);
    [[nodiscard]] bool owner_changed(const pending_call& call) const;

    instance_id self_;
    shard_router_settings settings_;
    std::mt19937_64 random_;
    const cell_state& cell_;
    peer_gateway& peers_;
    const clock_source& clock_;
    local_handler local_;
    retry_budget budget_;
    call_list calls_;
    std::uint64_t retries_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciastile
