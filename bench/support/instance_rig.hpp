#pragma once

#include "cell/instance.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "platform/embedded/embedded_vm_list.hpp"
#include "platform/embedded/stand_in_platform.hpp"
#include "platform/http/worker_messages.hpp"
#include "support/counting_log_service.hpp"
#include "support/letter_content.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace acaciastile::bench
{

/// Counts the calls to workers and the bytes that the HTTP adapter's codec
/// would make of them.
class counting_worker_gateway final : public worker_gateway
{
public:
    explicit counting_worker_gateway(worker_gateway& next) : next_(next) {}

    void call(worker_call message, completion<worker_report> done) override;
    void on_notice(std::function<void(const worker_notice&)> handler) override
    {
        next_.on_notice(std::move(handler));
    }

    std::uint64_t calls = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    /// Off while processor time is measured.
    bool counting = true;

private:
    worker_gateway& next_;
};

/// One instance on the embedded platform under a manual clock, with the
/// workers of one data centre.
class instance_rig
{
public:
    /// `appends_per_second` is what the shards' streams may take together;
    /// zero leaves the default.
    explicit instance_rig(
        std::size_t workers, std::size_t appends_per_second = 0);
    ~instance_rig();

    /// Publishes inventory and rules and lets the instance claim its shards.
    void set_up();
    /// Submits a job and lets all of its tasks start.
    void submit(std::size_t number, std::uint32_t tasks, milliseconds runs);
    /// Submits without waiting for the answer.
    void post(std::size_t number, std::uint32_t tasks, milliseconds runs);
    /// Publishes rules again and gives the time until they are in force.
    [[nodiscard]] milliseconds publish_again();
    /// Adds a delay to each call to the log and each answer.
    void slow_log(milliseconds extra) { platform_.log.set_slow(extra); }
    [[nodiscard]] instant now() const { return timers_.now(); }
    [[nodiscard]] const std::vector<run_entry>& journal()
    {
        return platform_.workers.journal().entries();
    }
    void run_for(milliseconds time);

    [[nodiscard]] instance& running() { return *instance_; }
    [[nodiscard]] counting_worker_gateway& gateway() { return *counted_; }
    [[nodiscard]] counting_log_service& log() { return *counted_log_; }
    [[nodiscard]] const embedded_log_counts& log_counts() const
    {
        return platform_.log.counts();
    }
    /// Tasks that run on the stand-in workers.
    [[nodiscard]] std::size_t running_tasks() const;

private:
    class manual_clock;
    class no_events;

    [[nodiscard]] static job_spec
    make_small_job(std::size_t number, std::uint32_t tasks, milliseconds runs);
    template<class Value>
    Value wait_for(const std::function<void(completion<Value>)>& begin);

    std::size_t workers_;
    timer_queue timers_;
    stand_in_platform platform_{timers_};
    embedded_peers peers_{platform_.network};
    std::unique_ptr<manual_clock> clock_;
    std::unique_ptr<no_events> events_;
    std::unique_ptr<embedded_worker_gateway> workers_gateway_;
    std::unique_ptr<counting_worker_gateway> counted_;
    std::unique_ptr<embedded_vm_list_view> vms_;
    std::unique_ptr<embedded_peer_gateway> peer_gateway_;
    std::unique_ptr<embedded_log_view> log_;
    std::unique_ptr<counting_log_service> counted_log_;
    std::mt19937_64 random_{1};
    std::string operator_key_;
    std::string team_key_;
    std::unique_ptr<instance> instance_;
};

} // namespace acaciastile::bench
