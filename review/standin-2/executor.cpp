#include "executor.hpp"

#include <nlohmann/json.hpp>

namespace review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t executor_port = 8'080;
constexpr auto beat = 1'500ms;

std::int64_t ms_since(clock::time_point then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock::now() - then)
        .count();
}

std::uint64_t wall_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

executor::gangs& executor::shared_gangs()
{
    static gangs all;
    return all;
}

std::string executor::step_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

std::string executor::gang_key(const std::string& task, std::uint64_t run)
{
    return step_of(task) + '/' + std::to_string(run);
}

executor::executor(
    const executor_terms& terms,
    store& platform,
    std::string id,
    std::string ip,
    int cpu,
    int memory_mb,
    std::vector<std::string> labels)
    : terms_(terms),
      platform_(platform),
      id_(std::move(id)),
      ip_(std::move(ip)),
      cpu_(cpu),
      memory_mb_(memory_mb),
      labels_(std::move(labels))
{
}

bool executor::start()
{
    {
        const std::lock_guard lock(mutex_);
        ++life_;
        born_ = wall_ms();
        begun_ = clock::now();
        fence_ = 0;
        lease_ms_ = 0;
        next_number_ = 1;
        registered_ = 0;
        runs_.clear();
        barred_.clear();
        finished_.clear();
    }
    server_ = std::make_unique<http_server>(
        ip_,
        executor_port,
        [this](const request& asked) { return handle(asked); });
    if (!server_->start())
    {
        return false;
    }
    up_ = true;
    if (life_ > 1)
    {
        terms_.note("executor " + id_ + " is up again");
    }
    register_now();
    return true;
}

void executor::crash()
{
    terms_.note("executor " + id_ + " crashes");
    up_ = false;
    std::vector<run_state> lost;
    {
        const std::lock_guard lock(mutex_);
        ++life_;
        for (const auto& [task, run] : runs_)
        {
            lost.push_back(run);
        }
        runs_.clear();
        ended_.notify_all();
    }
    server_->stop();
    server_.reset();
    for (run_state& each : lost)
    {
        run_event event = event_of(run_event::kind::ended, each);
        event.how = "lost with its executor";
        terms_.seen(event);
        if (terms_.gang_size(step_of(each.task)) > 0)
        {
            const std::lock_guard lock(shared_gangs().mutex);
            auto& gang = shared_gangs().all[gang_key(each.task, each.run)];
            gang.over = gang.over.value_or("broken");
        }
    }
}

void executor::register_now()
{
    next_beat_ = clock::now() + beat;
    platform_.put(
        "keyed.servers",
        id_,
        json{
            {"service", terms_.service},
            {"address", ip_ + ':' + std::to_string(executor_port)},
            {"zone", terms_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"capacity", {{"cpu", cpu_}, {"memMb", memory_mb_}, {"gpu", 0}}},
            {"labels", labels_},
            {"clockMs", clock_ms()},
            {"born", born_},
            {"seqNo", ++registered_}}
            .dump());
}

std::uint64_t executor::clock_ms() const
{
    return static_cast<std::uint64_t>(ms_since(begun_)) + 1'000;
}

void executor::extend(std::uint64_t until_ms)
{
    lease_ms_ = std::max(
        lease_ms_, std::min(until_ms, clock_ms() + terms_.longest_hold_ms));
}

run_event executor::event_of(run_event::kind what, const run_state& run) const
{
    run_event event;
    event.what = what;
    event.at = clock::now();
    event.executor = id_;
    event.born = born_;
    event.task = run.task;
    event.run = run.run;
    event.checkpoint = run.checkpoint;
    event.fence = fence_;
    return event;
}

std::string executor::saved_by(run_state& run) const
{
    std::int64_t worked = ms_since(run.begun);
    if (terms_.gang_size(step_of(run.task)) > 0)
    {
        const std::lock_guard lock(shared_gangs().mutex);
        const auto& gang = shared_gangs().all[gang_key(run.task, run.run)];
        worked = gang.working_since ? ms_since(*gang.working_since) : 0;
    }
    const std::int64_t steps = worked / terms_.checkpoint_ms;
    if (steps > 0)
    {
        run.saved = std::to_string(run.done_ms + steps * terms_.checkpoint_ms);
    }
    return run.saved;
}

void executor::end(run_state& run, const std::string& how)
{
    finished_.push_back(
        {next_number_++,
         run.task,
         run.run,
         how,
         how == "done" ? std::string() : saved_by(run)});
    auto& barred = barred_[run.task];
    barred = std::max(barred, run.run);
    run_event event = event_of(run_event::kind::ended, run);
    event.how = how;
    terms_.seen(event);
    ended_.notify_all();
}

void executor::tick()
{
    if (!up_)
    {
        return;
    }
    std::unique_lock lock(mutex_);
    const bool lapsed = !runs_.empty() && lease_ms_ <= clock_ms();
    constexpr std::size_t many_runs = 500;
    const bool scans = runs_.size() < many_runs || clock::now() >= next_scan_;
    next_scan_ = scans ? clock::now() + 50ms : next_scan_;
    for (auto at = scans ? runs_.begin() : runs_.end(); at != runs_.end();)
    {
        run_state& run = at->second;
        const work how = terms_.work_of(run.task);
        const std::size_t members = terms_.gang_size(step_of(run.task));
        std::optional<std::string> over;
        if (lapsed)
        {
            over = "lapsed";
        }
        else if (run.stopping)
        {
            if (ms_since(run.stopped_at) >= terms_.stop_ms)
            {
                over = "stopped";
            }
        }
        else if (members == 0)
        {
            if (run.done_ms + ms_since(run.begun) >= how.work_ms)
            {
                over = how.fails ? "failed" : "done";
            }
        }
        else
        {
            const std::lock_guard gangs_lock(shared_gangs().mutex);
            auto& gang = shared_gangs().all[gang_key(run.task, run.run)];
            if (gang.over)
            {
                over = gang.over;
            }
            else if (
                gang.working_since &&
                run.done_ms + ms_since(*gang.working_since) >= how.work_ms)
            {
                over = gang.over = "done";
            }
            else if (
                !gang.working_since &&
                ms_since(run.begun) >= terms_.gang_timeout_ms)
            {
                over = "alone";
            }
        }
        if (!over)
        {
            ++at;
            continue;
        }
        if (members > 0 && *over != "done" && *over != "alone")
        {
            const std::lock_guard gangs_lock(shared_gangs().mutex);
            auto& gang = shared_gangs().all[gang_key(run.task, run.run)];
            gang.over = gang.over.value_or("broken");
        }
        end(run, *over);
        at = runs_.erase(at);
    }
    const bool due = clock::now() >= next_beat_;
    lock.unlock();
    if (due)
    {
        register_now();
    }
}

response executor::handle(const request& asked)
{
    const auto named = asked.headers.find("acaciastile-expect-instance");
    if (named != asked.headers.end() && named->second != id_)
    {
        return {421, "{}"};
    }
    if (asked.path == "/-/run-start")
    {
        return start_run(asked.body);
    }
    if (asked.path == "/-/run-stop")
    {
        return stop_run(asked.body);
    }
    if (asked.path == "/-/hold")
    {
        return hold(asked.body);
    }
    return {404, "{}"};
}

response executor::start_run(const std::string& body)
{
    const json order = json::parse(body);
    const std::lock_guard lock(mutex_);
    run_state run;
    run.task = order.at("task").get<std::string>();
    run.run = order.at("runId").get<std::uint64_t>();
    run.checkpoint = order.value("checkpoint", "");
    run.saved = run.checkpoint;
    run.done_ms = run.checkpoint.empty() ? 0 : std::stoi(run.checkpoint);
    run.begun = clock::now();
    const std::uint64_t fence = order.value("fenceToken", std::uint64_t{0});
    const auto until = order.at("expiresMs").get<std::uint64_t>();
    const auto refuse = [&](const char* reason)
    {
        run_event event = event_of(run_event::kind::refused, run);
        event.how = reason;
        event.fence = fence;
        terms_.seen(event);
        return response{
            409, json{{"clockMs", clock_ms()}, {"reason", reason}}.dump()};
    };
    if (fence < fence_)
    {
        return refuse("fence");
    }
    fence_ = fence;
    const auto present = runs_.find(run.task);
    if (present != runs_.end() && present->second.run == run.run)
    {
        extend(until);
        return {200, json{{"clockMs", clock_ms()}}.dump()};
    }
    if (const auto barred = barred_.find(run.task);
        barred != barred_.end() && run.run <= barred->second)
    {
        extend(until);
        return refuse("old");
    }
    if (until <= clock_ms())
    {
        return refuse("late");
    }
    extend(until);
    run_event event = event_of(run_event::kind::started, run);
    event.spec = order.value("taskSpec", "");
    event.fence = fence;
    terms_.seen(event);
    if (const std::size_t members = terms_.gang_size(step_of(run.task));
        members > 0)
    {
        const std::lock_guard gangs_lock(shared_gangs().mutex);
        auto& gang = shared_gangs().all[gang_key(run.task, run.run)];
        gang.present.insert(run.task);
        gang.checkpoints.insert(run.checkpoint);
        // All members have to carry the same value.
        if (gang.present.size() == members && gang.checkpoints.size() == 1 &&
            !gang.over)
        {
            gang.working_since = clock::now();
        }
    }
    runs_[run.task] = run;
    return {200, json{{"clockMs", clock_ms()}}.dump()};
}

response executor::stop_run(const std::string& body)
{
    const json order = json::parse(body);
    const std::lock_guard lock(mutex_);
    const std::uint64_t fence = order.value("fenceToken", std::uint64_t{0});
    if (fence < fence_)
    {
        return {409, json{{"clockMs", clock_ms()}, {"reason", "fence"}}.dump()};
    }
    fence_ = fence;
    const std::string task = order.at("task").get<std::string>();
    const auto number = order.at("runId").get<std::uint64_t>();
    auto& barred = barred_[task];
    barred = std::max(barred, number);
    if (const auto at = runs_.find(task);
        at != runs_.end() && at->second.run <= number && !at->second.stopping)
    {
        at->second.stopping = true;
        at->second.stopped_at = clock::now();
    }
    return {200, json{{"clockMs", clock_ms()}}.dump()};
}

response executor::hold(const std::string& body)
{
    const json order = json::parse(body);
    std::unique_lock lock(mutex_);
    const std::uint64_t fence = order.value("fenceToken", std::uint64_t{0});
    if (fence < fence_)
    {
        return {409, json{{"clockMs", clock_ms()}, {"reason", "fence"}}.dump()};
    }
    fence_ = fence;
    const std::uint64_t seen = order.value("lastSeen", std::uint64_t{0});
    while (!finished_.empty() && finished_.front().number <= seen)
    {
        finished_.pop_front();
    }
    if (order.contains("expiresMs"))
    {
        extend(order.at("expiresMs").get<std::uint64_t>());
    }
    const std::uint64_t life = life_;
    ended_.wait_for(
        lock,
        std::chrono::milliseconds(order.value("waitMs", 0)),
        [&] { return !finished_.empty() || life_ != life; });
    if (life_ != life)
    {
        return {0, {}};
    }
    constexpr std::size_t most_ends = 500;
    json running = json::array();
    for (auto& [task, run] : runs_)
    {
        running.push_back(json::array({task, run.run, saved_by(run), 50, 0}));
    }
    json finished = json::array();
    for (const finished_run& each : finished_)
    {
        if (finished.size() >= most_ends)
        {
            break;
        }
        finished.push_back(json::array(
            {each.number, each.task, each.run, each.how, each.saved}));
    }
    return {
        200,
        json{
            {"clockMs", clock_ms()},
            {"born", born_},
            {"running", std::move(running)},
            {"finished", std::move(finished)}}
            .dump()};
}

} // namespace review
