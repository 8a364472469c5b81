#include "executor.hpp"

#include <algorithm>

namespace review
{

namespace
{

constexpr std::int64_t tick_ms = 10;
/// Ends that one answer lists at most.
constexpr std::size_t most_ends = 500;

std::string step_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

std::int64_t longest_overlap(const executor_group& group, std::int64_t now)
{
    struct span
    {
        std::int64_t from = 0;
        std::int64_t to = 0;
    };
    std::map<std::pair<std::string, std::uint64_t>, span> runs;
    for (const run_event& each : group.events)
    {
        span& run = runs[{each.task, each.run}];
        (each.started ? run.from : run.to) = each.at;
        if (each.started)
        {
            run.to = now;
        }
    }
    std::int64_t longest = 0;
    for (auto left = runs.begin(); left != runs.end(); ++left)
    {
        for (auto right = std::next(left); right != runs.end(); ++right)
        {
            if (left->first.first == right->first.first)
            {
                longest = std::max(
                    longest,
                    std::min(left->second.to, right->second.to) -
                        std::max(left->second.from, right->second.from));
            }
        }
    }
    return longest;
}

executor::executor(
    world& in,
    store& registry,
    executor_group& group,
    executor_settings settings)
    : world_(in),
      registry_(registry),
      group_(group),
      settings_(std::move(settings))
{
    group_.all.push_back(this);
}

bool executor::runs(const std::string& task) const
{
    return std::any_of(
        runs_.begin(),
        runs_.end(),
        [&](const auto& each) { return each.first.first == task; });
}

void executor::start()
{
    ++life_;
    born_at_ = world_.now();
    born_ = world::wall();
    token_ = 0;
    lease_ = 0;
    beats_ = 0;
    runs_.clear();
    barred_.clear();
    ended_.clear();
    last_end_ = 0;
    server_ = world_.listen(
        port_,
        [this](net::http_request request, net::http_responder respond)
        { handle(std::move(request), std::move(respond)); });
    world_.note(
        "executor " + settings_.id + " is up, life " + std::to_string(life_));
    beat();
    tick();
}

void executor::crash()
{
    if (!is_up())
    {
        return;
    }
    world_.note(
        "executor " + settings_.id + " crashes with " +
        std::to_string(runs_.size()) + " runs");
    ++life_;
    // The platform removes the entry after three heartbeats of silence.
    world_.after(
        3 * group_.heartbeat_ms,
        [this, life = life_]
        {
            if (life == life_)
            {
                registry_.put("keyed.servers", settings_.id, {});
            }
        });
    holds_.clear();
    server_.reset();
    const auto lost = runs_;
    runs_.clear();
    for (const auto& [which, run] : lost)
    {
        record(false, which, "crashed", {});
        if (group_.gang_size(run.task) > 0)
        {
            break_gang(run.task, run.run);
        }
    }
}

void executor::beat()
{
    const json entry{
        {"service", settings_.service},
        {"address", "127.0.0.1:" + std::to_string(port_)},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"capacity",
         {{"cpu", settings_.cpu}, {"memMb", settings_.mem_mb}, {"gpu", 0}}},
        {"labels", {"a", settings_.rack}},
        {"clockMs", clock()},
        {"born", born_},
        {"seqNo", ++beats_}};
    // The entry changes when more than `seqNo` changes.
    if (beats_ == 1)
    {
        registry_.put("keyed.servers", settings_.id, entry.dump());
    }
}

void executor::tick()
{
    world_.after(
        tick_ms,
        [this, life = life_]
        {
            if (life != life_)
            {
                return;
            }
            std::vector<std::pair<key, std::string>> over;
            for (const auto& [which, run] : runs_)
            {
                const std::size_t gang = group_.gang_size(run.task);
                if (lease_ < clock())
                {
                    over.emplace_back(which, "lapsed");
                }
                else if (
                    run.work_from < 0 && gang > 0 &&
                    world_.now() - run.started >= group_.gang_timeout_ms)
                {
                    over.emplace_back(which, "alone");
                }
                else if (
                    run.work_from >= 0 &&
                    world_.now() - run.work_from >= run.work_ms)
                {
                    over.emplace_back(which, group_.ends(run.task, run.run));
                }
            }
            for (const auto& [which, how] : over)
            {
                if (runs_.count(which) > 0)
                {
                    end(which, how);
                }
            }
            tick();
        });
}

void executor::handle(net::http_request request, net::http_responder respond)
{
    const std::string target(request.target().data(), request.target().size());
    const auto meant = request["Acaciastile-Expect-Instance"];
    if (!meant.empty() &&
        std::string(meant.data(), meant.size()) != settings_.id)
    {
        respond(reply(421, json::object()));
        return;
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object())
    {
        world_.note(
            "executor " + settings_.id + " cannot read the body of " + target +
            ": " + request.body());
        respond(reply(400, json::object()));
        return;
    }
    const auto token = body.value("fenceToken", std::uint64_t{0});
    if (reachable_with && token != *reachable_with)
    {
        return; // Lost on the way; nothing is answered.
    }
    if (token < token_)
    {
        respond(reply(409, {{"clockMs", clock()}, {"reason", "fence"}}));
        return;
    }
    token_ = token;
    if (target == "/-/run-start")
    {
        start_run(body, respond);
    }
    else if (target == "/-/run-stop")
    {
        stop_run(body, respond);
    }
    else if (target == "/-/hold")
    {
        hold(body, respond);
    }
    else
    {
        respond(reply(404, json::object()));
    }
}

void executor::extend(const json& body)
{
    if (body.contains("expiresMs"))
    {
        const auto until = std::min<std::int64_t>(
            body["expiresMs"].get<std::int64_t>(),
            clock() + group_.max_hold_ms);
        lease_ = std::max(lease_, until);
    }
}

void executor::start_run(const json& body, const net::http_responder& respond)
{
    const key which{body["task"], body["runId"]};
    const auto refuse = [&](const char* reason) {
        respond(reply(409, {{"clockMs", clock()}, {"reason", reason}}));
    };
    if (runs_.count(which) > 0)
    {
        extend(body);
        respond(reply(200, {{"clockMs", clock()}}));
        return;
    }
    if (const auto at = barred_.find(which.first);
        at != barred_.end() && which.second <= at->second)
    {
        extend(body);
        refuse("old");
        return;
    }
    if (body.value("expiresMs", std::int64_t{0}) <= clock())
    {
        refuse("late");
        return;
    }
    extend(body);
    const std::string checkpoint = body.value("checkpoint", "");
    live_run run;
    run.task = which.first;
    run.run = which.second;
    run.started = world_.now();
    run.work_ms = group_.work(run.task);
    if (!checkpoint.empty())
    {
        run.done_before =
            std::min<std::int64_t>(std::stoll(checkpoint), run.work_ms);
        run.work_ms = group_.restore_ms + run.work_ms - run.done_before;
    }
    runs_[which] = run;
    record(true, which, {}, checkpoint);
    respond(reply(200, {{"clockMs", clock()}}));
    if (group_.gang_size(run.task) > 0)
    {
        begin_gang(run.task, run.run);
    }
    else
    {
        begin_work(runs_[which]);
    }
}

void executor::begin_work(live_run& run)
{
    run.work_from = world_.now();
}

void executor::begin_gang(const std::string& task, std::uint64_t number)
{
    std::vector<live_run*> members;
    for (executor* each : group_.all)
    {
        for (auto& [which, run] : each->runs_)
        {
            if (step_of(run.task) == step_of(task) && run.run == number)
            {
                members.push_back(&run);
            }
        }
    }
    if (members.size() < group_.gang_size(task))
    {
        return;
    }
    // The members work together: all end when the one with most to do ends.
    std::int64_t longest = 0;
    for (const live_run* each : members)
    {
        longest = std::max(longest, each->work_ms);
    }
    for (live_run* each : members)
    {
        each->work_ms = longest;
        each->work_from = world_.now();
    }
}

std::string executor::saved_by(const live_run& run) const
{
    if (!group_.saves(run.task) || run.work_from < 0)
    {
        return {};
    }
    const std::int64_t restored = run.done_before > 0 ? group_.restore_ms : 0;
    const std::int64_t worked =
        std::max<std::int64_t>(0, world_.now() - run.work_from - restored);
    const std::int64_t saved =
        run.done_before + worked / group_.checkpoint_ms * group_.checkpoint_ms;
    return saved == 0 ? std::string() : std::to_string(saved);
}

void executor::end(const key& which, const std::string& how)
{
    const live_run run = runs_.at(which);
    runs_.erase(which);
    barred_[run.task] = std::max(barred_[run.task], run.run);
    ended_.push_back(
        {++last_end_,
         run.task,
         run.run,
         how,
         how == "done" ? std::string() : saved_by(run)});
    record(false, which, how, ended_.back().saved);
    std::vector<waiting_hold> waiting;
    waiting.swap(holds_);
    for (const waiting_hold& each : waiting)
    {
        each.respond(reply(200, lists()));
    }
    if (group_.gang_size(run.task) > 0 && how != "done")
    {
        break_gang(run.task, run.run);
    }
}

void executor::break_gang(const std::string& task, std::uint64_t number)
{
    std::vector<std::pair<executor*, key>> others;
    for (executor* each : group_.all)
    {
        for (const auto& [which, run] : each->runs_)
        {
            if (step_of(run.task) == step_of(task) && run.run == number)
            {
                others.emplace_back(each, which);
            }
        }
    }
    for (const auto& [each, which] : others)
    {
        if (each->runs_.count(which) > 0)
        {
            each->end(which, "broken");
        }
    }
}

void executor::stop_run(const json& body, const net::http_responder& respond)
{
    const key which{body["task"], body["runId"]};
    if (runs_.count(which) > 0)
    {
        end(which, "stopped");
    }
    else
    {
        barred_[which.first] = std::max(barred_[which.first], which.second);
    }
    respond(reply(200, {{"clockMs", clock()}}));
}

json executor::lists() const
{
    json running = json::array();
    for (const auto& [which, run] : runs_)
    {
        const std::int64_t worked =
            run.work_from < 0 ? 0 : world_.now() - run.work_from;
        running.push_back(
            {run.task,
             run.run,
             saved_by(run),
             run.work_ms == 0 ? 0 : 100 * worked / run.work_ms,
             0});
    }
    json finished = json::array();
    for (const ended_run& each : ended_)
    {
        if (finished.size() < most_ends)
        {
            finished.push_back(
                {each.number, each.task, each.run, each.how, each.saved});
        }
    }
    return {
        {"clockMs", clock()},
        {"born", born_},
        {"running", std::move(running)},
        {"finished", std::move(finished)}};
}

void executor::hold(const json& body, const net::http_responder& respond)
{
    extend(body);
    const auto seen = body.value("lastSeen", std::uint64_t{0});
    std::erase_if(
        ended_, [&](const ended_run& each) { return each.number <= seen; });
    const auto wait = body.value("waitMs", std::int64_t{0});
    if (wait == 0 || !ended_.empty())
    {
        respond(reply(200, lists()));
        return;
    }
    const std::uint64_t id = next_hold_++;
    holds_.push_back({id, respond});
    world_.after(
        wait,
        [this, id]
        {
            const auto at = std::find_if(
                holds_.begin(),
                holds_.end(),
                [&](const waiting_hold& each) { return each.id == id; });
            if (at != holds_.end())
            {
                const net::http_responder waiting = at->respond;
                holds_.erase(at);
                waiting(reply(200, lists()));
            }
        });
}

void executor::record(
    bool started,
    const key& which,
    const std::string& how,
    const std::string& checkpoint)
{
    const run_event seen{
        world_.now(),
        started,
        settings_.id,
        which.first,
        which.second,
        how,
        token_,
        checkpoint};
    group_.events.push_back(seen);
    world_.note(
        "executor " + settings_.id + (started ? " starts " : " ends ") +
        which.first + " run " + std::to_string(which.second) +
        (started ? " token " + std::to_string(token_) : " " + how) +
        (checkpoint.empty() ? "" : " checkpoint " + checkpoint));
    if (group_.on_event)
    {
        group_.on_event(seen);
    }
}

} // namespace review
