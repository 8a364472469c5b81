#pragma once

#include "http.hpp"
#include "store.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;

/// What an executor was told or has done, for the checks of a case.
struct run_event
{
    enum class kind
    {
        started, ///< A start order has begun to run.
        refused, ///< A start order was refused.
        ended
    };
    kind what = kind::started;
    clock::time_point at;
    std::string executor;
    std::uint64_t born = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how; ///< Of an end, or the reason of a refusal.
    std::string checkpoint;
    std::string spec;
    std::uint64_t fence = 0;
};

/// How the work of a task goes.
struct work
{
    int work_ms = 1'000;
    bool fails = false;
};

/// Terms that hold for all executors.
struct executor_terms
{
    std::uint64_t longest_hold_ms = 10'000;
    int stop_ms = 100;
    int gang_timeout_ms = 3'000;
    int checkpoint_ms = 1'000;
    std::string service = "planner";
    std::string zone = "zone-a";
    /// Of the task of this name.
    std::function<work(const std::string& task)> work_of;
    /// Size of the gang of a step; zero if the step is none.
    std::function<std::size_t(const std::string& step)> gang_size;
    std::function<void(const run_event&)> seen;
    std::function<void(const std::string&)> note;
};

/// One executor, in the lives that it has at one address. Follows the users'
/// pages; `tick` lets time pass.
class executor
{
public:
    executor(
        const executor_terms& terms,
        store& platform,
        std::string id,
        std::string ip,
        int cpu,
        int memory_mb,
        std::vector<std::string> labels);

    /// Begins a life: nothing runs, no fencing token is known.
    bool start();
    /// Ends the life as a crash does.
    void crash();
    void tick();
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] bool is_up() const { return up_; }

private:
    struct run_state
    {
        std::string task;
        std::uint64_t run = 0;
        clock::time_point begun;
        std::string checkpoint;
        std::string saved;
        int done_ms = 0; ///< Work that the checkpoint covers.
        bool stopping = false;
        clock::time_point stopped_at;
    };

    response handle(const request& asked);
    response stop_run(const std::string& body);
    response hold(const std::string& body);
    response start_run(const std::string& body);
    void register_now();
    void end(run_state& run, const std::string& how);
    void extend(std::uint64_t until_ms);
    [[nodiscard]] std::uint64_t clock_ms() const;
    [[nodiscard]] std::string saved_by(run_state& run) const;
    [[nodiscard]] run_event
    event_of(run_event::kind what, const run_state& run) const;

    const executor_terms& terms_;
    store& platform_;
    std::string id_;
    std::string ip_;
    int cpu_;
    int memory_mb_;
    std::vector<std::string> labels_;

    std::unique_ptr<http_server> server_;
    std::atomic<bool> up_{false};
    std::mutex mutex_;
    std::condition_variable ended_;
    std::uint64_t life_ = 0;
    std::uint64_t born_ = 0;
    clock::time_point begun_;
    std::uint64_t fence_ = 0;
    std::uint64_t lease_ms_ = 0;
    std::uint64_t next_number_ = 1;
    std::uint64_t registered_ = 0;
    clock::time_point next_beat_;
    clock::time_point next_scan_;           ///< Of the runs, if there are many.
    std::map<std::string, run_state> runs_; ///< By task.
    std::map<std::string, std::uint64_t> barred_;
    struct finished_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::string saved;
    };
    std::deque<finished_run> finished_;

    /// Members of gangs that are present, over all executors.
    struct gangs
    {
        std::mutex mutex;
        struct gang
        {
            std::set<std::string> present;
            std::set<std::string> checkpoints;
            std::optional<clock::time_point> working_since;
            std::optional<std::string> over; ///< How, once a member has ended.
        };
        std::map<std::string, gang> all; ///< By step and run.
    };
    static gangs& shared_gangs();
    [[nodiscard]] static std::string step_of(const std::string& task);
    [[nodiscard]] static std::string
    gang_key(const std::string& task, std::uint64_t run);
};

} // namespace review
