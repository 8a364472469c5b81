#pragma once

#include "store.hpp"
#include "world.hpp"

#include <map>
#include <optional>
#include <set>

namespace review
{

/// A start or an end of a run that executors have seen.
struct run_event
{
    std::int64_t at = 0;
    bool started = false;
    std::string executor;
    std::string task;
    std::uint64_t run = 0;
    std::string how; ///< Of an end; `crashed` if it went with its executor.
    std::uint64_t token = 0;
    std::string checkpoint;
};

struct executor_settings
{
    std::string id;
    std::string service;
    std::string zone = "zone-1";
    std::string rack = "r1-1";
    std::int64_t cpu = 16'000;
    std::int64_t mem_mb = 65'536;
};

class executor;
struct executor_group;

/// Longest time up to `now` that two runs of one task were there at once.
[[nodiscard]] std::int64_t
longest_overlap(const executor_group& group, std::int64_t now);

/// What all executors share: behaviour of tasks, gangs and the events.
struct executor_group
{
    /// Milliseconds that a run works, from its start or checkpoint.
    std::function<std::int64_t(const std::string& task)> work =
        [](const std::string&) { return 1'000; };
    /// How a run ends; `done` or `failed`.
    std::function<std::string(const std::string& task, std::uint64_t run)>
        ends = [](const std::string&, std::uint64_t) { return "done"; };
    /// Members of a task's gang; zero if it is in none.
    std::function<std::size_t(const std::string& task)> gang_size =
        [](const std::string&) { return std::size_t{0}; };
    /// The run makes checkpoints.
    std::function<bool(const std::string& task)> saves = [](const std::string&)
    { return false; };
    std::vector<run_event> events;
    std::vector<executor*> all;
    std::function<void(const run_event&)> on_event;

    std::int64_t max_hold_ms = 6'000;
    std::int64_t gang_timeout_ms = 3'000;
    std::int64_t checkpoint_ms = 500;
    std::int64_t restore_ms = 600;
    std::int64_t heartbeat_ms = 1'500;
};

/// One executor under one id, with one life after another.
class executor
{
public:
    executor(
        world& in,
        store& registry,
        executor_group& group,
        executor_settings settings);

    /// Begins a life: listens and registers.
    void start();
    /// Ends the life with all that runs, without a word.
    void crash();
    [[nodiscard]] bool is_up() const { return server_ != nullptr; }
    [[nodiscard]] const std::string& id() const { return settings_.id; }
    [[nodiscard]] std::size_t running() const { return runs_.size(); }
    [[nodiscard]] bool runs(const std::string& task) const;

    /// If set, only calls with this token arrive; others are lost on the way.
    std::optional<std::uint64_t> reachable_with;
    [[nodiscard]] std::uint64_t token() const { return token_; }

private:
    struct live_run
    {
        std::string task;
        std::uint64_t run = 0;
        std::int64_t started = 0;
        std::int64_t work_from = -1; ///< When its work began; -1: not yet.
        std::int64_t work_ms = 0;
        std::int64_t done_before = 0; ///< Work that its checkpoint holds.
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::string saved;
    };
    struct waiting_hold
    {
        std::uint64_t id = 0;
        net::http_responder respond;
    };
    using key = std::pair<std::string, std::uint64_t>;

    void handle(net::http_request request, net::http_responder respond);
    void start_run(const json& body, const net::http_responder& respond);
    void stop_run(const json& body, const net::http_responder& respond);
    void hold(const json& body, const net::http_responder& respond);
    [[nodiscard]] std::int64_t clock() const { return world_.now() - born_at_; }
    void extend(const json& body);
    void beat();
    void tick();
    void begin_work(live_run& run);
    void begin_gang(const std::string& task, std::uint64_t run);
    void end(const key& which, const std::string& how);
    void break_gang(const std::string& task, std::uint64_t run);
    [[nodiscard]] std::string saved_by(const live_run& run) const;
    [[nodiscard]] json lists() const;
    void record(
        bool started,
        const key& which,
        const std::string& how,
        const std::string& checkpoint);

    world& world_;
    store& registry_;
    executor_group& group_;
    executor_settings settings_;
    std::unique_ptr<net::http_server> server_;
    std::uint16_t port_ = 0;
    std::uint64_t life_ = 0;
    std::int64_t born_at_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t beats_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::map<key, live_run> runs_;
    std::map<std::string, std::uint64_t> barred_;
    std::vector<ended_run> ended_;
    std::uint64_t last_end_ = 0;
    std::vector<waiting_hold> holds_;
    std::uint64_t next_hold_ = 0;
};

} // namespace review
