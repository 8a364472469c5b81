#pragma once

#include "domain/result.hpp"
#include "platform/embedded/run_journal.hpp"
#include "platform/embedded/skewed_clock.hpp"
#include "platform/embedded/task_script.hpp"
#include "platform/worker_gateway.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace acaciastile
{

struct embedded_worker_settings
{
    worker_id id;
    resources capacity;
    milliseconds clock_offset{0};
    std::int64_t clock_drift_ppm = 0;
    milliseconds usage_lag{2'000};  ///< Age of the usage reported.
    milliseconds failure_after{10}; ///< Where it fails all it starts.
};

/// The state of one stand-in worker, as worker_gateway.hpp describes it. It
/// neither sends nor receives: messages, and the time, come as arguments.
class embedded_worker
{
public:
    embedded_worker(
        instant now, embedded_worker_settings settings, run_journal& journal);

    /// Handles one message whole, or refuses it whole.
    [[nodiscard]] result<worker_report>
    handle(instant now, const worker_call& message);

    /// Ends what has run its time and what has lapsed. True where something
    /// ended.
    bool advance(instant now);
    /// The instant from which `advance` may have something to do.
    [[nodiscard]] instant next_end() const;

    /// The worker dies and comes back at once as another incarnation that
    /// knows nothing.
    void kill(instant now);
    /// Fails everything that it starts from now on.
    void fail_everything(bool failing) noexcept { failing_ = failing; }
    /// Says that it is leaving; it then refuses every start.
    void set_leaving(bool leaving) noexcept { leaving_ = leaving; }
    void set_drift(instant now, std::int64_t drift_ppm);
    void pause_clock(instant now, bool paused);

    [[nodiscard]] const worker_id& id() const noexcept { return settings_.id; }
    [[nodiscard]] std::uint64_t incarnation() const noexcept
    {
        return incarnation_;
    }
    [[nodiscard]] shard_epoch sealed() const noexcept { return sealed_; }
    [[nodiscard]] const resources& used() const noexcept { return used_; }
    [[nodiscard]] std::size_t running_count() const noexcept
    {
        return running_.size();
    }
    [[nodiscard]] const embedded_worker_settings& settings() const noexcept
    {
        return settings_;
    }

private:
    struct running_task
    {
        start_command start;
        task_script script;
        shard_epoch epoch = 0;
        instant started{};
        instant ends = instant::max();
        worker_instant lease_until{};
    };
    using running_map = std::map<attempt_id, running_task>;

    [[nodiscard]] result<void>
    check(instant now, const worker_call& message) const;
    [[nodiscard]] result<void> check_epoch(const worker_call& message) const;
    void forget(instant now, const worker_call& message);
    void stop(instant now, const worker_call& message);
    void renew(const worker_call& message);
    void start(
        instant now,
        const worker_call& message,
        const start_command& command,
        worker_report& report);
    void
    run(instant now, const worker_call& message, const start_command& command);
    running_map::iterator
    end(instant now, running_map::iterator at, attempt_outcome outcome);
    void write(instant now, const running_task& task, run_event what);
    void fill(instant now, worker_report& report) const;

    embedded_worker_settings settings_;
    run_journal& journal_;
    skewed_clock clock_;
    std::uint64_t incarnation_ = 1;
    shard_epoch sealed_ = 0;
    worker_instant latest_lease_{};
    resources used_;
    running_map running_;
    std::map<attempt_id, ended_attempt> ended_;
    std::map<attempt_id, worker_instant> forgotten_;
    bool failing_ = false;
    bool leaving_ = false;
};

} // namespace acaciastile
