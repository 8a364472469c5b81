#pragma once

#include "platform/embedded/embedded_network.hpp"
#include "platform/embedded/embedded_worker.hpp"
#include "platform/embedded/run_journal.hpp"
#include "platform/worker_gateway.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

/// Who called a worker, and so hears its notices.
struct worker_caller
{
    std::string name; ///< In the network.
    std::string notify_address;
};

/// The workers of the platform as stand-ins in this process. A worker is an
/// endpoint of the network under its id, so cuts, delays and pauses are
/// commanded there: a paused worker answers late, but its tasks run on.
class embedded_workers
{
public:
    explicit embedded_workers(embedded_network& network) : network_(network) {}

    /// Adds a worker, empty and unsealed; one of the same id is replaced.
    void add(embedded_worker_settings settings);
    /// The worker dies with all that it runs and is reached no more.
    void remove(const worker_id& id);
    /// The worker dies and comes back as a new incarnation; see
    /// embedded_worker.
    void kill(const worker_id& id);

    /// Handles the next messages to a worker and loses their answers.
    void lose_answers(const worker_id& id, std::size_t count);
    void fail_everything(const worker_id& id, bool failing);
    void set_leaving(const worker_id& id, bool leaving);
    void set_drift(const worker_id& id, std::int64_t drift_ppm);
    /// Stops a worker's clock: leases then do not lapse on it.
    void pause_clock(const worker_id& id, bool paused);

    /// Null where there is no such worker.
    [[nodiscard]] const embedded_worker* find(const worker_id& id) const;
    [[nodiscard]] std::vector<worker_id> ids() const;

    [[nodiscard]] run_journal& journal() noexcept { return journal_; }
    [[nodiscard]] embedded_network& network() noexcept { return network_; }

    void call_as(
        const std::string& caller,
        worker_call message,
        completion<worker_report> done,
        std::weak_ptr<void> alive);

    /// Sets who hears the notices to one caller, for as long as it is alive.
    void hear_notices(
        const std::string& caller,
        std::function<void(const worker_notice&)> handler,
        std::weak_ptr<void> alive);
    /// Sets who hears the notices that no caller's handler is set for.
    void hear_other_notices(
        std::function<void(const worker_caller&, const worker_notice&)>
            handler);

private:
    struct entry
    {
        embedded_worker worker;
        std::size_t lose = 0;
        worker_caller last_caller;
        instant armed = instant::max();
    };

    struct hearer
    {
        std::function<void(const worker_notice&)> handler;
        std::weak_ptr<void> alive;
    };

    void serve(
        const std::string& caller,
        const worker_call& message,
        const embedded_reply<worker_report>& reply);
    [[nodiscard]] entry* entry_of(const worker_id& id);
    void arm(const worker_id& id, entry& of);
    void wake(const worker_id& id, instant due);
    void notify(const worker_id& id, const worker_caller& caller);
    void hand_over(const worker_caller& caller, const worker_notice& notice);

    embedded_network& network_;
    run_journal journal_;
    std::map<worker_id, entry> entries_;
    std::map<std::string, hearer> hearers_;
    std::function<void(const worker_caller&, const worker_notice&)> others_;
};

/// The workers as one named instance calls them.
class embedded_worker_gateway : public worker_gateway
{
public:
    embedded_worker_gateway(embedded_workers& workers, std::string caller);

    void call(worker_call message, completion<worker_report> done) override;
    void on_notice(std::function<void(const worker_notice&)> handler) override;

private:
    embedded_workers& workers_;
    std::string caller_;
    std::shared_ptr<void> alive_;
};

} // namespace acaciastile
