#include "common.hpp"

#include <atomic>
#include <condition_variable>

#include <csignal>
#include <cstdlib>

namespace standin
{

namespace
{

std::atomic<bool> drains{false}; ///< SIGTERM has come.

struct task_run
{
    std::uint64_t run = 0;
    std::int64_t ends_at = 0;  ///< On the executor's clock; zero: lasts.
    std::int64_t stops_at = 0; ///< Zero unless it was told to stop.
    bool fails = false;        ///< Ends as `failed`.
};

/// One executor. Its tasks do nothing: `taskSpec` is the work in milliseconds,
/// or `lasts`, or `fails after ` and milliseconds.
class executor
{
public:
    executor(std::string id, milliseconds longest_lease)
        : id_(std::move(id)),
          longest_lease_(longest_lease.count()),
          born_(unix_ms()),
          begun_(steady::now())
    {
    }

    [[nodiscard]] std::int64_t born() const { return born_; }

    [[nodiscard]] std::int64_t clock() const
    {
        // Far from zero, as of a machine that has been up for a while.
        constexpr std::int64_t first_reading = 100'000;
        return first_reading +
               std::chrono::duration_cast<milliseconds>(steady::now() - begun_)
                   .count();
    }

    response answer(const request& asked)
    {
        const std::string path = path_of(asked);
        if (path == "/health")
        {
            return reply(200, json::object());
        }
        if (const auto named = asked.find("Acaciastile-Expect-Instance");
            named != asked.end() && named->value() != id_)
        {
            return reply(421, json::object());
        }
        const json body = json::parse(asked.body(), nullptr, false);
        if (!body.is_object())
        {
            return reply(400, about());
        }
        std::unique_lock held(guard_);
        const std::uint64_t fence = body.value("fenceToken", std::uint64_t{0});
        if (fence < fence_)
        {
            return refuse("fence");
        }
        fence_ = fence;
        if (path == "/-/run-start")
        {
            return start(body);
        }
        if (path == "/-/run-stop")
        {
            return stop(body);
        }
        if (path == "/-/hold")
        {
            return hold(body, held);
        }
        return reply(404, json::object());
    }

    /// Ends what is due. Called every few milliseconds.
    void tick()
    {
        const std::lock_guard held(guard_);
        const std::int64_t now = clock();
        for (auto at = runs_.begin(); at != runs_.end();)
        {
            const auto& [task, each] = *at;
            const char* how = lease_ <= now ? "lapsed"
                              : each.stops_at != 0 && each.stops_at <= now
                                  ? "stopped"
                              : each.ends_at != 0 && each.ends_at <= now
                                  ? (each.fails ? "failed" : "done")
                                  : nullptr;
            if (how == nullptr)
            {
                ++at;
                continue;
            }
            // A process that stood still notices an end late.
            const std::int64_t due = how == std::string("lapsed") ? lease_
                                     : how == std::string("stopped")
                                         ? each.stops_at
                                         : each.ends_at;
            note(
                id_,
                {{"end", task},
                 {"run", each.run},
                 {"how", how},
                 {"due", unix_ms() - (now - due)}});
            finished_.push_back(
                json::array({++last_number_, task, each.run, how, ""}));
            barred_[task] = std::max(barred_[task], each.run);
            at = runs_.erase(at);
            changed_.notify_all();
        }
    }

private:
    [[nodiscard]] json about() const
    {
        return {{"clockMs", clock()}, {"born", born_}};
    }

    response refuse(const char* reason)
    {
        json body = about();
        body["reason"] = reason;
        return reply(409, body);
    }

    void extend_lease(const json& body)
    {
        const std::int64_t asked = body.value("expiresMs", std::int64_t{0});
        lease_ = std::max(lease_, std::min(asked, clock() + longest_lease_));
    }

    response start(const json& body)
    {
        const std::string task = body.at("task");
        const std::uint64_t run = body.at("runId");
        const auto present = runs_.find(task);
        if (present != runs_.end() && present->second.run == run)
        {
            extend_lease(body);
            return reply(200, about());
        }
        if (run <= barred_[task])
        {
            extend_lease(body);
            return refuse("old");
        }
        if (body.value("expiresMs", std::int64_t{0}) <= clock())
        {
            return refuse("late");
        }
        extend_lease(body);
        const std::string spec = body.at("taskSpec");
        const std::string failing = "fails after ";
        const bool fails = spec.rfind(failing, 0) == 0;
        const std::int64_t work = spec == "lasts" ? 0
                                  : fails
                                      ? std::stol(spec.substr(failing.size()))
                                      : std::stol(spec);
        runs_[task] = {run, work == 0 ? 0 : clock() + work, 0, fails};
        note(id_, {{"start", task}, {"run", run}, {"fence", fence_}});
        return reply(200, about());
    }

    response stop(const json& body)
    {
        constexpr std::int64_t stop_ms = 50;
        const std::string task = body.at("task");
        const std::uint64_t run = body.at("runId");
        barred_[task] = std::max(barred_[task], run);
        const auto present = runs_.find(task);
        if (present != runs_.end() && present->second.run <= run &&
            present->second.stops_at == 0)
        {
            present->second.stops_at = clock() + stop_ms;
            note(id_, {{"stop", task}, {"run", run}});
        }
        return reply(200, about());
    }

    response hold(const json& body, std::unique_lock<std::mutex>& held)
    {
        const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
        while (!finished_.empty() &&
               finished_.front().at(0).get<std::uint64_t>() <= seen)
        {
            note(
                id_,
                {{"seen", finished_.front().at(1)},
                 {"run", finished_.front().at(2)}});
            finished_.erase(finished_.begin());
        }
        if (body.contains("expiresMs"))
        {
            extend_lease(body);
        }
        const milliseconds wait(body.value("waitMs", std::int64_t{0}));
        changed_.wait_for(held, wait, [&] { return !finished_.empty(); });
        json told = about();
        told["running"] = json::array();
        for (const auto& [task, each] : runs_)
        {
            constexpr int percent = 100;
            told["running"].push_back(
                json::array({task, each.run, "", percent, 0}));
        }
        told["finished"] = finished_;
        return reply(200, told);
    }

    std::string id_;
    std::int64_t longest_lease_;
    std::int64_t born_;
    steady::time_point begun_;
    std::mutex guard_;
    std::condition_variable changed_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ = 0;
    std::uint64_t last_number_ = 0;
    std::map<std::string, task_run> runs_;
    std::map<std::string, std::uint64_t> barred_;
    std::vector<json> finished_;
};

} // namespace

// ID PORT STORE_PORT SERVICE ZONE KIND RACK CPU MEMORY LONGEST_LEASE_MS
// [REGISTERED_PORT [FIRST_BEAT_MS]]: the port in the registry, if it is not its
// own, and the time from the start to the first entry there.
int run_executor(const std::vector<std::string>& arguments)
{
    const std::string& id = arguments.at(0);
    const auto port = static_cast<std::uint16_t>(std::stoul(arguments.at(1)));
    const auto store = static_cast<std::uint16_t>(std::stoul(arguments.at(2)));
    const std::string registered =
        arguments.size() > 10 ? arguments.at(10) : arguments.at(1);
    const milliseconds first_beat(
        arguments.size() > 11 ? std::stol(arguments.at(11)) : 0);
    std::signal(SIGTERM, [](int) { drains = true; });
    executor self(id, milliseconds(std::stol(arguments.at(9))));
    note(id, {{"born", self.born()}, {"rack", arguments.at(6)}});
    std::thread(
        [&]
        {
            for (;;)
            {
                self.tick();
                std::this_thread::sleep_for(milliseconds(5));
            }
        })
        .detach();
    std::thread(
        [&]
        {
            constexpr milliseconds heartbeat{1'500};
            std::this_thread::sleep_for(first_beat);
            for (std::uint64_t sequence = 1;; ++sequence)
            {
                const json entry{
                    {"service", arguments.at(3)},
                    {"address", "127.0.0.1:" + registered},
                    {"zone", arguments.at(4)},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", drains ? "draining" : "ready"},
                    {"coldLeftMs", 0},
                    {"capacity",
                     {{"cpu", std::stol(arguments.at(7))},
                      {"memMb", std::stol(arguments.at(8))},
                      {"gpu", 0}}},
                    {"labels", {arguments.at(5), arguments.at(6)}},
                    {"clockMs", self.clock()},
                    {"born", self.born()},
                    {"seqNo", sequence}};
                const bool told = drains;
                call(
                    store,
                    http::verb::post,
                    "/-/log-append?topic=keyed.servers&part=0",
                    keyed_record(id, entry.dump()),
                    heartbeat);
                if (told)
                {
                    // Serves on for a while, then leaves.
                    std::this_thread::sleep_for(milliseconds(2'500));
                    call(
                        store,
                        http::verb::post,
                        "/-/log-append?topic=keyed.servers&part=0",
                        keyed_record(id, std::string()),
                        heartbeat);
                    note(id, {{"left", true}});
                    std::_Exit(0);
                }
                const auto next = steady::now() + heartbeat;
                while (steady::now() < next && !drains)
                {
                    std::this_thread::sleep_for(milliseconds(20));
                }
            }
        })
        .detach();
    serve(port, [&self](const request& asked) { return self.answer(asked); });
    return 0;
}

} // namespace standin
