#include "support/fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

/// Disrupts a fleet at random times, several disruptions at once, and compares
/// what the workers did with their capacities.
class fleet_soak
{
public:
    /// What goes wrong.
    enum class kind
    {
        any,     ///< All faults of workers, VMs and the store.
        crashes, ///< Workers crash, under tasks too, and change their capacity.
        /// Data centres are evacuated and taken back on workers that differ in
        /// speed, while VMs and the store fail.
        evacuations
    };

    fleet_soak(std::uint64_t seed, bool keep_ids, kind what = kind::any)
        : random_(seed),
          keep_ids_(keep_ids),
          what_(what),
          world_(3, what == kind::evacuations ? 0 : worker_count)
    {
        if (what_ == kind::evacuations)
        {
            for (std::size_t n = 0; n < worker_count; ++n)
            {
                const std::string centre = n % 2 == 0 ? "r1" : "r2";
                world_.add_worker("w" + std::to_string(n), centre + "-1");
            }
            world_.workers.speed = [](const worker_id& id)
            { return id.str().back() % 3 == 0 ? 0.6 : 1.6; };
        }
        world_.workers.on_crash = [this](const worker_id& id) {
            later(
                milliseconds(between(1'500, 5'000)),
                [this, id] { bring_back(id); });
        };
        world_.workers.crashes_after = [this](const fleet::task_ref& task)
        {
            return task.index == 0 && deadly_.contains(task.step.job)
                       ? std::optional<milliseconds>(between(5, 200))
                       : std::nullopt;
        };
        world_.store.page_records = chance(30) ? 20 : 10'000;
        for (std::size_t n = 0; n < worker_count; ++n)
        {
            note_life(worker_id("w" + std::to_string(n)), 16);
        }
        world_.workers.behaviour = [this](const fleet::task_ref&)
        {
            return standin::task_behaviour{
                milliseconds(between(100, 4'000)), chance(10)};
        };
    }

    void run(milliseconds span)
    {
        const instant end = world_.clock.now() + span;
        while (world_.clock.now() < end)
        {
            world_.run(milliseconds(between(1, 120)));
            // Tasks that crash their workers leave less room and are started
            // only now and then on a busy fleet.
            const bool any_kind = what_ == kind::any;
            if (chance(any_kind ? 45 : 8))
            {
                submit();
            }
            if (chance(any_kind ? 35 : 8))
            {
                disrupt();
            }
        }
    }

    /// Starts that broke a rule, as text.
    [[nodiscard]] std::vector<std::string> broken() const;

    [[nodiscard]] std::size_t starts() const
    {
        const auto& events = world_.workers.events();
        return static_cast<std::size_t>(std::count_if(
            events.begin(),
            events.end(),
            [](const standin::worker_event& each)
            { return each.what == standin::worker_event::kind::started; }));
    }

private:
    static constexpr std::size_t worker_count = 6;

    /// One life of a worker.
    struct life
    {
        instant born{};
        resources capacity;
    };

    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }
    bool chance(int percent) { return between(1, 100) <= percent; }
    void later(milliseconds delay, std::function<void()> work)
    {
        world_.clock.after(delay, std::move(work));
    }
    void note_life(const worker_id& id, std::int64_t cores)
    {
        constexpr std::int64_t mib = 64 * 1'024;
        lives_[id].push_back({world_.clock.now(), {cores * 1'000, mib, 0}});
        names_.insert(id);
    }
    [[nodiscard]] bool is_registered(const worker_id& id) const
    {
        return !world_.store.newest("registry", id.str()).empty();
    }
    [[nodiscard]] worker_id any_worker()
    {
        auto at = names_.begin();
        std::advance(at, between(0, static_cast<int>(names_.size()) - 1));
        return *at;
    }
    fleet_world::vm& any_vm()
    {
        if (fleet_world::vm* owner = world_.owner_vm();
            owner != nullptr && chance(60))
        {
            return *owner;
        }
        return *world_.vms[static_cast<std::size_t>(
            between(0, static_cast<int>(world_.vms.size()) - 1))];
    }
    milliseconds span() { return milliseconds(between(50, 7'000)); }

    void submit();
    void disrupt();
    void disrupt_worker();
    void disrupt_vm();
    void restart(const worker_id& id);
    void resize(const worker_id& id);
    void crash_or_kill();
    void evacuate_or_fail();
    /// Adds starts in data centres that had been evacuated for long.
    void check_evacuations(std::vector<std::string>& found) const;
    /// Starts a crashed worker again, under its id or another one.
    void bring_back(const worker_id& id);
    /// Adds starts that came too late after crashes under their task.
    void check_crashes(std::vector<std::string>& found) const;

    std::mt19937_64 random_;
    bool keep_ids_;
    kind what_;
    std::set<job_id> deadly_; ///< Jobs whose tasks 0 crash their workers.
    /// Changes of the evacuations, by data centre.
    std::map<std::string, std::vector<std::pair<instant, bool>>> evacuated_;
    std::map<worker_id, instant> resized_;
    std::map<worker_id, std::vector<life>> lives_;
    std::set<worker_id> names_;
    int jobs_ = 0;
    int replacements_ = 0;
    fleet_world world_;
};

void fleet_soak::submit()
{
    const std::string id = "j" + std::to_string(jobs_++);
    std::vector<fleet::step_spec> steps{
        tasks(static_cast<std::uint32_t>(between(1, 8)), between(1, 7))};
    steps.back().gang = chance(15);
    if (chance(20))
    {
        steps.push_back(tasks(static_cast<std::uint32_t>(between(1, 3)), 2));
        steps.back().after = {0};
    }
    if (what_ == kind::crashes && chance(20))
    {
        deadly_.insert(job_id(id));
    }
    world_.submit(id, std::move(steps));
    if (chance(20))
    {
        later(
            milliseconds(between(0, 2'000)),
            [this, id]
            {
                if (const auto owner = world_.owner())
                {
                    owner->cancel(job_id(id), [](const result<bool>&) {});
                }
            });
    }
}

void fleet_soak::restart(const worker_id& id)
{
    if (keep_ids_)
    {
        if (!is_registered(id))
        {
            return;
        }
        const std::int64_t cores = chance(50) ? 16 : 8;
        world_.restart_worker(id.str(), cores, milliseconds(between(0, 1'500)));
        note_life(id, cores);
        return;
    }
    // Its place is taken by another worker.
    world_.workers.restart(id);
    world_.workers.faults_of(id).silent = true;
    world_.store.put("registry", id.str(), "");
    names_.erase(id);
    const std::string name = "r" + std::to_string(replacements_++);
    world_.add_worker(name);
    note_life(worker_id(name), 16);
}

void fleet_soak::disrupt_worker()
{
    const worker_id id = any_worker();
    standin::worker_pool::faults& faults = world_.workers.faults_of(id);
    const auto undo = [this, id](auto end)
    { later(span(), [this, id, end] { end(world_.workers.faults_of(id)); }); };
    using known = standin::worker_pool::faults;
    switch (between(0, 9))
    {
    case 0:
        faults.silent = true;
        undo([](known& each) { each.silent = false; });
        break;
    case 1:
        faults.refusing = true;
        undo([](known& each) { each.refusing = false; });
        break;
    case 2:
        faults.losing_stops = true;
        undo([](known& each) { each.losing_stops = false; });
        break;
    case 3:
        faults.losing_answers = true;
        undo([](known& each) { each.losing_answers = false; });
        break;
    case 4:
        faults.late = milliseconds(between(500, 12'000));
        undo([](known& each) { each.late = {}; });
        break;
    case 5:
        faults.earlier_copy = milliseconds(between(500, 12'000));
        undo([](known& each) { each.earlier_copy = {}; });
        break;
    case 6:
        faults.order_transit = milliseconds(between(5, 300));
        faults.report_transit = milliseconds(between(5, 300));
        undo([](known& each)
             { each.order_transit = each.report_transit = {}; });
        break;
    case 8:
        if (is_registered(id))
        {
            world_.register_worker(id.str(), "draining");
            if (chance(50))
            {
                later(
                    span(),
                    [this, id]
                    {
                        if (is_registered(id))
                        {
                            world_.register_worker(id.str());
                        }
                    });
            }
        }
        break;
    case 7:
    {
        // Its registration expires and comes back.
        if (!is_registered(id))
        {
            break;
        }
        const std::string value = world_.store.newest("registry", id.str());
        world_.store.put("registry", id.str(), "");
        const std::size_t life = lives_[id].size();
        later(
            span(),
            [this, id, value, life]
            {
                if (names_.contains(id) && lives_[id].size() == life)
                {
                    world_.store.put("registry", id.str(), value);
                }
            });
        break;
    }
    default:
        restart(id);
        break;
    }
}

void fleet_soak::disrupt_vm()
{
    fleet_world::vm& vm = any_vm();
    switch (between(0, 6))
    {
    case 5:
        world_.store.mode = standin::store_mode::applying_late;
        world_.store.apply_delay = milliseconds(between(500, 6'000));
        later(
            milliseconds(between(100, 2'000)),
            [this] { world_.store.mode = standin::store_mode::healthy; });
        break;
    case 6:
        if (vm.leadership == nullptr)
        {
            break;
        }
        vm.stop();
        later(
            milliseconds(between(300, 2'000)),
            [&vm]
            {
                vm.kill();
                vm.start();
            });
        break;
    case 0:
        vm.kill();
        later(milliseconds(between(100, 2'000)), [&vm] { vm.start(); });
        break;
    case 1:
        vm.pause(span());
        break;
    case 2:
        vm.store_client.requests_rejected = true;
        later(span(), [&vm] { vm.store_client.requests_rejected = false; });
        break;
    case 3:
        for (const worker_id& id : names_)
        {
            if (chance(40))
            {
                vm.orders.cut.insert(id);
            }
        }
        later(span(), [&vm] { vm.orders.cut.clear(); });
        break;
    default:
        world_.store.mode = chance(50) ? standin::store_mode::silent
                                       : standin::store_mode::losing_answers;
        later(
            milliseconds(between(100, 3'000)),
            [this] { world_.store.mode = standin::store_mode::healthy; });
        break;
    }
}

void fleet_soak::bring_back(const worker_id& id)
{
    if (keep_ids_)
    {
        restart(id);
        return;
    }
    const std::string address = id.str().substr(0, id.str().find('~'));
    const std::string name = address + "~" + std::to_string(replacements_++);
    world_.store.put("registry", id.str(), "");
    names_.erase(id);
    world_.add_worker(name);
    note_life(worker_id(name), 16);
}

void fleet_soak::resize(const worker_id& id)
{
    // A capacity that has shrunk counts once owners may know of it.
    constexpr milliseconds shrinks_after{4'500};
    // By then a worker that has restarted is registered again.
    constexpr milliseconds registered_after{2'000};
    const instant now = world_.clock.now();
    const auto last = resized_.find(id);
    if (!is_registered(id) ||
        now - lives_.at(id).back().born < registered_after ||
        (last != resized_.end() && now - last->second < 2 * shrinks_after))
    {
        return;
    }
    resized_[id] = now;
    const std::int64_t cores = between(2, 16);
    const life& known = lives_.at(id).back();
    const resources capacity{
        cores * 1'000, known.capacity.memory_mib, known.capacity.accelerators};
    const bool shrinks =
        capacity.milli_processors < known.capacity.milli_processors;
    world_.resize_worker(id.str(), cores);
    lives_[id].push_back({shrinks ? now + shrinks_after : now, capacity});
}

void fleet_soak::crash_or_kill()
{
    const worker_id id = any_worker();
    switch (between(0, 9))
    {
    case 0:
    {
        fleet_world::vm& vm = any_vm();
        vm.kill();
        later(milliseconds(between(100, 2'000)), [&vm] { vm.start(); });
        break;
    }
    case 1:
        any_vm().pause(span());
        break;
    case 2:
    case 3:
        world_.workers.crash(id);
        break;
    default:
        resize(id);
        break;
    }
}

void fleet_soak::evacuate_or_fail()
{
    if (chance(40))
    {
        disrupt_vm();
        return;
    }
    const std::string centre = chance(50) ? "r1" : "r2";
    auto& changes = evacuated_[centre];
    const bool evacuated = changes.empty() || !changes.back().second;
    changes.emplace_back(world_.clock.now(), evacuated);
    world_.evacuate(centre, evacuated);
}

void fleet_soak::check_evacuations(std::vector<std::string>& found) const
{
    // The bound of an evacuation, and the longest outage of the store, during
    // which no owner can hear of it.
    constexpr milliseconds bound = 5s + 3s;
    for (const standin::worker_event& each : world_.workers.events())
    {
        const std::string centre =
            each.worker.str().back() % 2 == 0 ? "r1" : "r2";
        const auto changes = evacuated_.find(centre);
        if (each.what != standin::worker_event::kind::started ||
            changes == evacuated_.end())
        {
            continue;
        }
        std::pair<instant, bool> latest{};
        for (const auto& change : changes->second)
        {
            latest = change.first <= each.at ? change : latest;
        }
        if (latest.second && each.at > latest.first + bound)
        {
            found.push_back(
                "started in the evacuated " + centre + ": " +
                each.task.step.job.str());
        }
    }
}

void fleet_soak::disrupt()
{
    if (what_ == kind::evacuations)
    {
        evacuate_or_fail();
        return;
    }
    if (what_ == kind::crashes)
    {
        crash_or_kill();
        return;
    }
    if (chance(75))
    {
        disrupt_worker();
        return;
    }
    disrupt_vm();
}

std::vector<std::string> fleet_soak::broken() const
{
    using kind = standin::worker_event::kind;
    using run_id = std::pair<worker_id, fleet::run_number>;
    std::vector<std::string> found;
    std::map<worker_id, resources> used;
    std::map<fleet::task_ref, std::set<run_id>> live;
    for (const standin::worker_event& each : world_.workers.events())
    {
        const resources needs =
            fleet::resources_needed(world_.specs.at(each.task.step));
        auto& runs = live[each.task];
        if (each.what == kind::ended)
        {
            used[each.worker] -= needs;
            runs.erase({each.worker, each.run});
            continue;
        }
        const std::string text =
            each.task.step.job.str() + "." + std::to_string(each.task.index) +
            " run " + std::to_string(each.run) + " on " + each.worker.str() +
            " at " + std::to_string(each.at.time_since_epoch().count());
        used[each.worker] += needs;
        runs.emplace(each.worker, each.run);
        if (runs.size() > 1)
        {
            found.push_back("two runs: " + text);
        }
        resources capacity;
        for (const life& known : lives_.at(each.worker))
        {
            if (known.born <= each.at)
            {
                capacity = known.capacity;
            }
        }
        if (!used[each.worker].fits_in(capacity))
        {
            found.push_back("over capacity: " + text);
        }
    }
    check_crashes(found);
    if (what_ == fleet_soak::kind::evacuations)
    {
        check_evacuations(found);
    }
    return found;
}

void fleet_soak::check_crashes(std::vector<std::string>& found) const
{
    constexpr std::size_t most_crashes = 3;
    constexpr std::size_t most_starts_after = 2;
    std::map<fleet::task_ref, std::size_t> crashes;
    std::map<fleet::task_ref, std::size_t> starts_after;
    for (const standin::worker_event& each : world_.workers.events())
    {
        if (each.task.index != 0 || !deadly_.contains(each.task.step.job))
        {
            continue;
        }
        if (each.what == standin::worker_event::kind::ended)
        {
            crashes[each.task] += each.how == fleet::run_end::lapsed ? 1 : 0;
        }
        else if (
            crashes[each.task] >= most_crashes &&
            ++starts_after[each.task] > most_starts_after)
        {
            found.push_back(
                "started after " + std::to_string(crashes[each.task]) +
                " crashes: " + each.task.step.job.str());
        }
    }
}

/// A number from the environment, for long runs by hand.
int setting(const char* name, int otherwise)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::stoi(text);
}

} // namespace

// Guards against workers over their capacity and tasks that run twice while
// workers, VMs and the store fail at the same time.
TEST_CASE("a soak brings no worker over its capacity", "[fleet][soak]")
{
    const bool keep_ids = GENERATE(false, true);
    const int first = setting("ACACIASTILE_SOAK_FIRST", 1);
    const int seeds = setting("ACACIASTILE_SOAK_SEEDS", 8);
    std::size_t starts = 0;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        fleet_soak soak(static_cast<std::uint64_t>(seed), keep_ids);
        soak.run(60s);
        const std::vector<std::string> broken = soak.broken();
        CAPTURE(keep_ids, seed, broken);
        CHECK(broken.empty());
        starts += soak.starts();
    }
    CHECK(starts > 100 * static_cast<std::size_t>(seeds));
}

// Seeds that broke a rule once. 670057: a report that was older than a start
// by a late order ended the run, and its room was given away.
TEST_CASE("a soak that broke a rule once holds", "[fleet][soak]")
{
    const std::uint64_t seed = GENERATE(670'057U);
    constexpr bool keep_ids = false;
    fleet_soak soak(seed, keep_ids);
    soak.run(60s);
    const std::vector<std::string> broken = soak.broken();
    CAPTURE(seed, broken);
    CHECK(broken.empty());
}

// Guards against tasks that crash worker after worker, also around changes of
// the owner, and against workers over a capacity that changes.
TEST_CASE(
    "a soak of crashes starts no task after its third crash more than twice",
    "[fleet][soak]")
{
    const bool keep_ids = GENERATE(false, true);
    const int first = setting("ACACIASTILE_SOAK_FIRST", 1);
    const int seeds = setting("ACACIASTILE_SOAK_SEEDS", 8);
    std::size_t starts = 0;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        fleet_soak soak(
            static_cast<std::uint64_t>(seed),
            keep_ids,
            fleet_soak::kind::crashes);
        soak.run(60s);
        const std::vector<std::string> broken = soak.broken();
        CAPTURE(keep_ids, seed, broken);
        CHECK(broken.empty());
        starts += soak.starts();
    }
    CHECK(starts > 100 * static_cast<std::size_t>(seeds));
}

// Guards against starts in an evacuated data centre around changes of the owner
// and outages of the store.
TEST_CASE(
    "a soak of evacuations starts nothing in an evacuated data centre",
    "[fleet][soak]")
{
    const int first = setting("ACACIASTILE_SOAK_FIRST", 1);
    const int seeds = setting("ACACIASTILE_SOAK_SEEDS", 8);
    std::size_t starts = 0;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        fleet_soak soak(
            static_cast<std::uint64_t>(seed),
            true,
            fleet_soak::kind::evacuations);
        soak.run(60s);
        const std::vector<std::string> broken = soak.broken();
        CAPTURE(seed, broken);
        CHECK(broken.empty());
        starts += soak.starts();
    }
    CHECK(starts > 100 * static_cast<std::size_t>(seeds));
}
