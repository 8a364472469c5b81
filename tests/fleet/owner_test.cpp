#include "support/fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

TEST_CASE("a job of two steps runs each task once, in order", "[fleet]")
{
    fleet_world world;
    auto second = tasks(3);
    second.after = {0};
    world.submit("a", {tasks(5), second});
    CHECK(world.run_until("a", job_state::completed, 6s));
    CHECK(world.broken_promises().empty());
    CHECK(world.workers.events().size() == 2 * 8);
}

TEST_CASE(
    "a task that fails as often as its queue allows fails its job", "[fleet]")
{
    fleet_world world;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{1s, true};
    };
    world.submit("a", {tasks(1)});
    CHECK(world.run_until("a", job_state::failed, 4s));
    world.run(2s);
    CHECK(world.starts_of("a").size() == 2);
}

TEST_CASE(
    "the attempts of a queue that was removed still limit its jobs", "[fleet]")
{
    fleet_world world;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{1s, true};
    };
    world.submit("a", {tasks(1)});
    world.run(200ms);
    world.config = fleet::configuration(2, {}, {}, {});
    CHECK(world.run_until("a", job_state::failed, 4s));
    world.run(2s);
    CHECK(world.starts_of("a").size() == 2);
}

TEST_CASE("a new owner keeps the runs of an owner that was killed", "[fleet]")
{
    fleet_world world;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{4s, false};
    };
    world.submit("a", {tasks(20)});
    world.run(1s);
    REQUIRE(world.owner_vm() != nullptr);
    const std::uint64_t token = world.owner()->token();
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 12s));
    CHECK(world.owner()->token() > token);
    CHECK(world.broken_promises().empty());
    CHECK(world.starts_of("a").size() == 1);
}

TEST_CASE(
    "the end of a run is acknowledged only once its effect is stored",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.submit("a", {tasks(1)});
    world.run(600ms);
    world.store.mode = standin::store_mode::silent;
    world.run(4s);
    CHECK(world.workers.running() == 0);
    CHECK(world.workers.acknowledged_of(worker_id("w0")) == 0);
    CHECK(world.view("a").state != job_state::completed);
    world.store.mode = standin::store_mode::healthy;
    CHECK(world.run_until("a", job_state::completed, 4s));
    world.run(500ms);
    CHECK(world.workers.acknowledged_of(worker_id("w0")) == 1);
}

TEST_CASE(
    "a failed run that is reported again to a new owner counts once", "[fleet]")
{
    fleet_world world;
    int failures_left = 1;
    world.workers.behaviour = [&](const fleet::task_ref&) {
        return standin::task_behaviour{500ms, failures_left-- > 0};
    };
    world.submit("a", {tasks(1)});
    while (world.store.newest(fleet::topics::progress, "a").empty())
    {
        world.run(1ms);
    }
    // The failure is stored but not acknowledged to the worker yet.
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 8s));
    CHECK(world.starts_of("a").size() == 2);
}

TEST_CASE(
    "an owner that cannot read the store reports no job as unknown", "[fleet]")
{
    fleet_world world(1, 1);
    world.run(500ms);
    world.owner_vm()->store_client.requests_rejected = true;
    world.run(100ms);
    world.submit("a", {tasks(1)});
    std::optional<result<fleet::job_view>> seen;
    world.owner()->look_up(
        job_id("a"), [&](const result<fleet::job_view>& view) { seen = view; });
    std::optional<result<bool>> cancelled;
    world.owner()->cancel(
        job_id("a"), [&](const result<bool>& known) { cancelled = known; });
    world.run(1s);
    REQUIRE(seen.has_value());
    CHECK_FALSE(seen->has_value());
    REQUIRE(cancelled.has_value());
    CHECK_FALSE(cancelled->has_value());
    world.owner_vm()->store_client.requests_rejected = false;
    seen.reset();
    world.owner()->look_up(
        job_id("none"),
        [&](const result<fleet::job_view>& view) { seen = view; });
    world.run(1s);
    REQUIRE((seen.has_value() && seen->has_value()));
    CHECK_FALSE((*seen)->known);
}

TEST_CASE("a start whose answer is lost is carried out once", "[fleet]")
{
    fleet_world world(1, 2);
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).losing_answers = true;
    world.workers.faults_of(worker_id("w1")).losing_answers = true;
    world.submit("a", {tasks(1)});
    world.run(300ms);
    world.workers.faults_of(worker_id("w0")).losing_answers = false;
    world.workers.faults_of(worker_id("w1")).losing_answers = false;
    CHECK(world.run_until("a", job_state::completed, 8s));
    CHECK(world.broken_promises().empty());
    CHECK(world.starts_of("a").size() == 1);
}

TEST_CASE("a start order that is delayed starts no task twice", "[fleet]")
{
    fleet_world world(1, 2);
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).late = 3s;
    world.workers.faults_of(worker_id("w1")).late = 3s;
    world.submit("a", {tasks(4)});
    world.run(40ms);
    world.workers.faults_of(worker_id("w0")).late = 0s;
    world.workers.faults_of(worker_id("w1")).late = 0s;
    CHECK(world.run_until("a", job_state::completed, 12s));
    world.run(5s);
    CHECK(world.broken_promises().empty());
}

TEST_CASE(
    "tasks of a silent worker start elsewhere after its lease expires",
    "[fleet]")
{
    fleet_world world(1, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{6s, false};
    };
    world.submit("a", {tasks(20)});
    world.run(1s);
    world.workers.faults_of(worker_id("w0")).silent = true;
    CHECK(world.run_until("a", job_state::completed, 30s));
    CHECK(world.broken_promises().empty());
}

TEST_CASE("the runs of a worker that restarts end at once", "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{2s, false};
    };
    world.submit("a", {tasks(3)});
    world.run(1s);
    world.restart_worker("w0");
    CHECK(world.run_until("a", job_state::completed, 6s));
    CHECK(world.broken_promises().empty());
    CHECK(world.starts_of("a").size() == 2);
}

TEST_CASE("a draining worker gets no new task", "[fleet]")
{
    fleet_world world(1, 2);
    world.run(500ms);
    world.register_worker("w0", "draining");
    world.run(600ms);
    world.submit("a", {tasks(10)});
    CHECK(world.run_until("a", job_state::completed, 6s));
    for (const auto& each : world.workers.events())
    {
        CHECK(each.worker != worker_id("w0"));
    }
}

TEST_CASE("cancelling a job stops its runs and starts no more", "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{5s, false};
    };
    world.submit("a", {tasks(30)});
    world.run(700ms);
    REQUIRE(world.workers.running() > 0);
    bool known = false;
    world.owner()->cancel(
        job_id("a"),
        [&](const result<bool>& found) { known = found.value_or(false); });
    world.run(100ms);
    CHECK(known);
    const std::size_t seen = world.workers.events().size();
    world.run(1s);
    CHECK(world.workers.running() == 0);
    for (std::size_t n = seen; n < world.workers.events().size(); ++n)
    {
        CHECK(
            world.workers.events()[n].what ==
            standin::worker_event::kind::ended);
    }
    CHECK(world.view("a").state == job_state::cancelled);
}

TEST_CASE("a gang starts completely or not at all", "[fleet]")
{
    fleet_world world(1, 2);
    auto gang = tasks(6, 4);
    gang.gang = true;
    world.submit("a", {gang});
    world.submit("b", {gang});
    CHECK(world.run_until("a", job_state::completed, 8s));
    CHECK(world.run_until("b", job_state::completed, 8s));
    CHECK(world.broken_promises().empty());
    for (const auto& each : world.workers.events())
    {
        CHECK(each.how != fleet::run_end::gang_alone);
    }
}

TEST_CASE("an account's cap limits its runs across the fleet", "[fleet]")
{
    fleet_world world(1, 4);
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    account.cap = {5'000, 0, 0};
    world.config =
        fleet::configuration(2, world.config.queues(), {account}, {});
    world.submit("a", {tasks(12)});
    std::size_t most = 0;
    for (int n = 0; n < 300; ++n)
    {
        world.run(20ms);
        most = std::max(most, world.workers.running());
    }
    CHECK(most == 5);
    CHECK(world.view("a").state == job_state::completed);
}

TEST_CASE("an owner that no other VM reaches gives up ownership", "[fleet]")
{
    fleet_world world(3, 2);
    world.run(500ms);
    fleet_world::vm* before = world.owner_vm();
    REQUIRE(before != nullptr);
    auto request_from = [&](const char* vm)
    {
        world.owner()->request_work(
            instance_id(vm),
            500ms,
            [](const std::optional<fleet::permit_request>&) {});
    };
    for (int n = 0; n < 5; ++n)
    {
        request_from("another");
        world.run(700ms);
    }
    CHECK(world.owner_vm() == before);
    for (int n = 0; n < 5; ++n)
    {
        // Requests from the owner's own VM do not count.
        request_from(before->name.c_str());
        world.run(700ms);
    }
    REQUIRE(world.owner_vm() != nullptr);
    CHECK(world.owner_vm() != before);
}

TEST_CASE(
    "an ended job is not loaded again but its state can be queried", "[fleet]")
{
    fleet_world world;
    world.submit("a", {tasks(2)});
    REQUIRE(world.run_until("a", job_state::completed, 6s));
    world.run(3s);
    CHECK(world.store.newest(fleet::topics::jobs, "a").empty());
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 6s));
    world.run(2s);
    CHECK(world.starts_of("a").size() == 1);
    // The client submits the same job again.
    world.submit("a", {tasks(2)});
    world.run(2s);
    CHECK(world.view("a").state == job_state::completed);
    CHECK(world.starts_of("a").size() == 1);
}

TEST_CASE(
    "many lookups of unknown jobs share reads of the store", "[fleet][load]")
{
    fleet_world world(1, 1);
    world.run(500ms);
    const std::uint64_t before = world.store.calls.reads;
    std::size_t answered = 0;
    for (int n = 0; n < 200; ++n)
    {
        world.owner()->look_up(
            job_id("none" + std::to_string(n)),
            [&](const result<fleet::job_view>& view)
            { answered += view.has_value() && !view->known ? 1 : 0; });
    }
    world.run(100ms);
    CHECK(answered == 200);
    // Two passes over the topics: one in flight, and one for those after it.
    CHECK(world.store.calls.reads - before <= 40);
}

TEST_CASE("jobs of every topic run, and are deleted where they are", "[fleet]")
{
    fleet_world world;
    const std::size_t topics = fleet::topics::job_topics.size();
    for (std::size_t n = 0; n < topics; ++n)
    {
        const std::string id = "j" + std::to_string(n);
        world.submit(id, {tasks(1)});
        // Each job is in its topic and also in the next one, as if it had been
        // sent again there.
        const std::string value = world.store.newest(fleet::topics::jobs, id);
        world.store.put(fleet::topics::job_topics[n], id, value);
        world.store.put(fleet::topics::job_topics[(n + 1) % topics], id, value);
    }
    world.run(6s);
    for (std::size_t n = 0; n < topics; ++n)
    {
        const std::string id = "j" + std::to_string(n);
        CHECK(world.view(id).state == job_state::completed);
        CHECK(world.starts_of(id).size() == 1);
        for (const char* topic : fleet::topics::job_topics)
        {
            CHECK(world.store.newest(topic, id).empty());
        }
    }
}

TEST_CASE(
    "a job that is stored again after its end is not kept for a later owner",
    "[fleet]")
{
    fleet_world world;
    world.submit("a", {tasks(1)});
    REQUIRE(world.run_until("a", job_state::completed, 6s));
    world.run(3s);
    world.submit("a", {tasks(1)});
    world.run(5s);
    CHECK(world.store.newest(fleet::topics::jobs, "a").empty());
    CHECK(world.starts_of("a").size() == 1);
}

TEST_CASE(
    "the state of an ended job is deleted after its retention time", "[fleet]")
{
    fleet_world world(1, 1);
    world.settings.status_kept = 10s;
    world.submit("a", {tasks(1)});
    REQUIRE(world.run_until("a", job_state::completed, 6s));
    world.run(5s);
    CHECK(world.view("a").known);
    world.run(10s);
    CHECK_FALSE(world.view("a").known);
    CHECK(world.store.newest(fleet::topics::progress, "a").empty());
}

TEST_CASE(
    "an owner that becomes slow is replaced, but not soon", "[leadership]")
{
    fleet_world world(3, 2);
    world.run(2s);
    fleet_world::vm* before = world.owner_vm();
    REQUIRE(before != nullptr);
    before->leadership->set_speed(0.3);
    world.run(2s);
    CHECK(world.owner_vm() == before);
    world.run(5s);
    REQUIRE(world.owner_vm() != nullptr);
    CHECK(world.owner_vm() != before);
    // When all are slow, the ownership stays where it is.
    fleet_world::vm* next = world.owner_vm();
    for (const auto& each : world.vms)
    {
        each->leadership->set_speed(0.3);
    }
    world.run(10s);
    CHECK(world.owner_vm() == next);
}

TEST_CASE("a much stronger VM replaces a weak owner once", "[leadership]")
{
    fleet_world world(0, 1);
    for (const std::uint32_t strength : {200U, 1'000U, 900U})
    {
        world.vms.push_back(std::make_unique<fleet_world::vm>(
            world, "vm" + std::to_string(world.vms.size()), 7));
        world.vms.back()->strength = strength;
    }
    world.vms[0]->start();
    world.run(1s);
    REQUIRE(world.owner_vm() == world.vms[0].get());
    world.vms[1]->start();
    world.vms[2]->start();
    world.run(4s);
    REQUIRE(world.owner_vm() != nullptr);
    CHECK(world.owner_vm() != world.vms[0].get());
    const std::uint64_t token = world.owner()->token();
    world.run(6s);
    CHECK(world.owner()->token() == token);
}

TEST_CASE(
    "a run that ended before its start was retried is not repeated", "[fleet]")
{
    fleet_world world(1, 1);
    world.run(500ms);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{100ms, false};
    };
    auto& faults = world.workers.faults_of(worker_id("w0"));
    faults.losing_answers = true;
    world.submit("a", {tasks(1)});
    while (world.workers.events().empty())
    {
        world.run(1ms);
    }
    faults.losing_answers = false;
    faults.silent = true; // Status polls are not answered either.
    world.run(350ms);
    faults.silent = false;
    CHECK(world.run_until("a", job_state::completed, 8s));
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

TEST_CASE(
    "a refused retry of a start does not prove that the first one failed",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.run(500ms);
    auto& faults = world.workers.faults_of(worker_id("w0"));
    faults.late = 3s;
    world.submit("a", {tasks(1)});
    world.run(300ms);
    faults.late = 0s;
    faults.unhealthy = true;
    world.add_worker("w1");
    world.run(500ms);
    // A later incarnation of the worker could carry the first order out.
    CHECK_FALSE(world.run_until(
        "a",
        job_state::running,
        fleet::unsettled_order_table::longest_delay - 1s));
    CHECK(world.run_until("a", job_state::completed, 3s));
    faults.unhealthy = false;
    world.run(6s);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("an owner that is destroyed answers pending requests", "[fleet]")
{
    fleet_world world(1, 1);
    world.submit("a", {tasks(1)});
    world.run(600ms);
    std::vector<result<bool>> cancelled;
    std::vector<result<fleet::job_view>> seen;
    world.owner()->cancel(
        job_id("a"),
        [&](const result<bool>& known) { cancelled.push_back(known); });
    world.owner()->look_up(
        job_id("b"),
        [&](const result<fleet::job_view>& view) { seen.push_back(view); });
    world.owner_vm()->kill();
    world.run(3s);
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled.front().error().effect == verdict::may_have_run);
    REQUIRE(seen.size() == 1);
    CHECK_FALSE(seen.front().has_value());
}

TEST_CASE(
    "an owner that the store refuses is replaced once other VMs know of it",
    "[leadership]")
{
    fleet_world world;
    world.run(1s);
    fleet_world::vm* before = world.owner_vm();
    REQUIRE(before != nullptr);
    const std::uint64_t token = world.owner()->token();
    before->store_client.requests_rejected = true;
    world.run(900ms);
    CHECK(before->leadership->is_renewal_failing());
    for (const auto& each : world.vms)
    {
        // VMs learn this from the answers to their work requests.
        each->leadership->suspect(
            token, fleet::leadership::suspect_reason::renewals_rejected);
    }
    world.run(400ms);
    const auto& view = world.vms.back()->leadership->owner();
    REQUIRE(view.has_value());
    CHECK(view->token > token);
    CHECK(view->vm != before->name);
}

TEST_CASE(
    "a new owner that has not read its own claim yet is not replaced",
    "[leadership]")
{
    fleet_world world;
    world.run(1s);
    world.owner_vm()->kill();
    fleet_world::vm* observer = nullptr;
    while (observer == nullptr)
    {
        world.run(1ms);
        for (const auto& each : world.vms)
        {
            if (each->leadership && each->leadership->owner() &&
                each->leadership->owner()->token > 1 &&
                !each->leadership->is_owner())
            {
                observer = each.get();
            }
        }
    }
    const std::uint64_t token = observer->leadership->owner()->token;
    observer->leadership->suspect(
        token, fleet::leadership::suspect_reason::denies_ownership);
    world.run(1s);
    CHECK(observer->leadership->owner()->token == token);
    observer->leadership->suspect(
        token, fleet::leadership::suspect_reason::denies_ownership);
    world.run(400ms);
    CHECK(observer->leadership->owner()->token > token);
}

TEST_CASE("a silent owner is replaced within two seconds", "[leadership]")
{
    fleet_world world;
    world.run(1s);
    fleet_world::vm* before = world.owner_vm();
    REQUIRE(before != nullptr);
    before->kill();
    world.run(2s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->loaded());
}

TEST_CASE("an owner keeps ownership while the store is slow", "[leadership]")
{
    fleet_world world;
    world.run(1s);
    const std::uint64_t token = world.owner()->token();
    // About 160 times the default of 4 ms; the owner has one append in flight
    // at a time.
    world.store.latency = 650ms;
    world.run(8s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->token() == token);
}

TEST_CASE(
    "a new owner expects runs on workers whose registration expired", "[fleet]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{8s, false};
    };
    world.submit("a", {tasks(20)});
    world.run(1s);
    // The worker's heartbeats are lost while its runs continue.
    world.store.put("registry", "w0", "");
    world.run(500ms);
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 40s));
    CHECK(world.broken_promises().empty());
}

TEST_CASE(
    "the end of a run is kept until the record of its job is read", "[fleet]")
{
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{100ms, false};
    };
    world.run(1s);
    const std::uint64_t token = world.owner()->token();
    world.owner_vm()->kill();
    // A run that the previous owner started; the job's record follows later.
    fleet::start_order order;
    order.task = {{job_id("a"), 0, 0}, 0};
    order.run = 1;
    world.workers.start(
        {worker_id("w0"), "w0", 1},
        token,
        worker_instant(60s),
        order,
        [](const result<fleet::start_answer>&) {});
    world.run(2s);
    REQUIRE(world.owner() != nullptr);
    REQUIRE(world.owner()->loaded());
    world.submit("a", {tasks(1)});
    CHECK(world.run_until("a", job_state::completed, 12s));
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("an end reported after one of an unread job is not lost", "[fleet]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("unread") ? 400ms : 4s, false};
    };
    world.submit("read", {tasks(1)});
    world.run(150ms);
    REQUIRE(world.owner() != nullptr);
    const std::uint64_t token = world.owner()->token();
    REQUIRE(world.starts_of("read").size() == 1);
    const worker_id worker = world.starts_of("read").front().worker;
    fleet::start_order order;
    order.task = {{job_id("unread"), 0, 0}, 0};
    order.run = 1;
    world.owner_vm()->kill();
    world.workers.start(
        {worker, worker.str(), worker == worker_id("w0") ? 1U : 2U},
        token,
        worker_instant(60s),
        order,
        [](const result<fleet::start_answer>&) {});
    world.run(10s);
    REQUIRE(world.owner() != nullptr);
    REQUIRE(world.owner()->loaded());
    world.submit("unread", {tasks(1)});
    CHECK(world.run_until("read", job_state::completed, 12s));
    CHECK(world.run_until("unread", job_state::completed, 12s));
    CHECK(world.starts_of("read").size() == 1);
    CHECK(world.broken_promises().empty());
}

TEST_CASE(
    "registry changes in history that the store deleted are still applied",
    "[fleet]")
{
    fleet_world world(1, 3);
    world.run(500ms);
    world.register_worker("w0", "draining");
    world.store.put("registry", "w1", "");
    world.store.truncate_before("registry", world.store.end("registry"));
    world.run(700ms);
    world.submit("a", {tasks(10)});
    CHECK(world.run_until("a", job_state::completed, 6s));
    for (const auto& each : world.workers.events())
    {
        CHECK(each.worker == worker_id("w2"));
    }
}

TEST_CASE("a job beyond the first page of a read is found", "[fleet]")
{
    fleet_world world(1, 1);
    world.run(500ms);
    world.store.page_records = 4;
    for (int each = 0; each < 30; ++each)
    {
        world.submit("job" + std::to_string(each), {tasks(1)});
    }
    std::optional<result<fleet::job_view>> seen;
    world.owner()->look_up(
        job_id("job29"),
        [&](const result<fleet::job_view>& view) { seen = view; });
    world.run(1s);
    REQUIRE(seen.has_value());
    REQUIRE(seen->has_value());
    CHECK((*seen)->known);
}

TEST_CASE("a new owner does not wait for workers that died earlier", "[fleet]")
{
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("a") ? 20s : 500ms, false};
    };
    world.submit("a", {tasks(8)});
    world.run(100ms);
    // The worker dies with its runs, its registration expires and so does its
    // lease.
    world.workers.faults_of(worker_id("w0")).refusing = true;
    world.run(4s);
    world.store.put("registry", "w0", "");
    world.run(4s);
    world.owner_vm()->kill();
    world.run(100ms);
    world.submit("b", {tasks(4)});
    CHECK(world.run_until("b", job_state::completed, 3'500ms));
    CHECK(world.broken_promises().empty());
}

TEST_CASE(
    "a restarted VM takes over from its own earlier process", "[leadership]")
{
    fleet_world world(1, 1);
    world.run(1s);
    REQUIRE(world.owner() != nullptr);
    const std::uint64_t token = world.owner()->token();
    world.owner_vm()->kill();
    world.vms.front()->start();
    world.run(200ms);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->token() > token);
}

TEST_CASE("a silent owner is replaced at its timeout, not at the next read")
{
    for (const milliseconds phase : {0ms, 130ms, 260ms, 390ms})
    {
        fleet_world world;
        world.run(1s + phase);
        REQUIRE(world.owner_vm() != nullptr);
        world.owner_vm()->kill();
        world.run(1'850ms);
        CHECK(world.owner() != nullptr);
    }
}

TEST_CASE("an owner that does not answer other VMs is replaced sooner")
{
    for (const milliseconds phase : {0ms, 130ms, 260ms, 390ms})
    {
        fleet_world world;
        world.peers_probe_owner = true;
        world.run(1s + phase);
        REQUIRE(world.owner_vm() != nullptr);
        world.owner_vm()->kill();
        world.run(1'200ms);
        CHECK(world.owner() != nullptr);
    }
}

TEST_CASE("an owner whose renewals are late keeps ownership if it answers")
{
    fleet_world world;
    world.peers_probe_owner = true;
    world.run(1s);
    REQUIRE(world.owner() != nullptr);
    const std::uint64_t token = world.owner()->token();
    world.store.apply_delay = 1'200ms;
    world.store.mode = standin::store_mode::applying_late;
    world.run(1'200ms);
    world.store.mode = standin::store_mode::healthy;
    world.run(1s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->token() == token);
}

TEST_CASE("a new owner delays only the tasks of a silent worker", "[fleet]")
{
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("b") ? 500ms : 20s, false};
    };
    world.submit("a", {tasks(64)});
    world.run(500ms);
    // More tasks than free capacity, so that jobs are waiting while the owner
    // is replaced.
    world.submit("c", {tasks(1)});
    world.workers.faults_of(worker_id("w0")).silent = true;
    world.run(2s);
    world.submit("b", {tasks(4)});
    world.run(100ms);
    world.owner_vm()->kill();
    world.add_worker("w9");
    CHECK(world.run_until("b", job_state::completed, 4s));
    world.run(30s);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("a worker that returns gets work once its absence record is deleted")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{500ms, false};
    };
    world.submit("a", {tasks(1)});
    CHECK(world.run_until("a", job_state::completed, 3s));
    world.submit("b", {tasks(1)});
    world.run(100ms);
    world.workers.faults_of(worker_id("w0")).silent = true;
    world.run(8s);
    CHECK_FALSE(world.store.newest(fleet::topics::progress, "away/w0").empty());
    world.workers.faults_of(worker_id("w0")).silent = false;
    CHECK(world.run_until("b", job_state::completed, 3s));
    CHECK(world.store.newest(fleet::topics::progress, "away/w0").empty());
    CHECK(world.broken_promises().empty());
}

TEST_CASE("runs on a worker cut off from the store survive a new owner")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{9s, false};
    };
    world.submit("a", {tasks(20)});
    world.run(1s);
    world.store.put("registry", "w0", ""); // Its heartbeats are lost.
    world.run(1s);
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 12s));
    CHECK(world.workers.events().size() == 2 * 20);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("a new owner loads within two round trips to a slow store", "[fleet]")
{
    fleet_world world(2, 4);
    world.run(1s);
    world.submit("a", {tasks(4)});
    world.run(100ms);
    world.peers_probe_owner = true;
    world.owner_vm()->kill();
    while (world.owner() == nullptr)
    {
        world.run(1ms);
    }
    world.store.latency = 240ms;
    world.run(520ms);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->loaded());
}

TEST_CASE("handing over ownership while the store is slow leaves no long gap")
{
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{300ms, false};
    };
    world.run(500ms);
    world.store.latency = 240ms;
    std::size_t sent = 0;
    const auto run = [&](milliseconds span)
    {
        for (milliseconds at{0}; at < span; at += 20ms)
        {
            world.submit("job" + std::to_string(sent++), {tasks(1)});
            world.run(20ms);
        }
    };
    run(2s);
    world.owner_vm()->stop();
    run(6s);
    instant before = world.clock.now() - 7s;
    milliseconds longest{0};
    for (const auto& each : world.workers.events())
    {
        if (each.what == standin::worker_event::kind::started &&
            each.at > before)
        {
            longest = std::max(longest, each.at - before);
            before = each.at;
        }
    }
    CHECK(longest < 1'500ms);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("an owner keeps ownership through an outage of the store")
{
    fleet_world world;
    world.run(1s);
    REQUIRE(world.owner() != nullptr);
    const std::uint64_t token = world.owner()->token();
    const auto other = std::find_if(
        world.vms.begin(),
        world.vms.end(),
        [&](const auto& each) { return each->owner == nullptr; });
    // Calls that are lost in the outage time out only after its end, so a
    // suspicion raised shortly after it must not end the ownership.
    world.store.mode = standin::store_mode::silent;
    world.run(4s);
    world.store.mode = standin::store_mode::healthy;
    for (int n = 0; n < 10; ++n)
    {
        world.run(100ms);
        (*other)->leadership->suspect(
            token, fleet::leadership::suspect_reason::renewals_rejected);
    }
    world.run(3s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.owner()->token() == token);
    // Later the store serves this VM but not the owner.
    (*other)->leadership->suspect(
        token, fleet::leadership::suspect_reason::renewals_rejected);
    world.run(200ms);
    CHECK((*other)->owner != nullptr);
}

TEST_CASE("a VM whose long polls miss new records still takes over")
{
    fleet_world world;
    world.peers_probe_owner = true;
    world.run(1s);
    REQUIRE(world.owner_vm() != nullptr);
    world.store.long_polls_ignore_appends = true;
    world.run(1'200ms);
    fleet_world::vm* before = world.owner_vm();
    REQUIRE(before != nullptr);
    before->stop();
    world.run(1'500ms);
    REQUIRE(world.owner_vm() != nullptr);
    CHECK(world.owner_vm() != before);
}

TEST_CASE("the end of a run costs one status poll", "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{100ms, false};
    };
    std::vector<fleet::step_spec> steps(20, tasks(1));
    for (std::uint32_t at = 1; at < steps.size(); ++at)
    {
        steps[at].after = {at - 1};
    }
    world.run(500ms);
    const std::uint64_t before = world.workers.calls();
    world.submit("a", steps);
    REQUIRE(world.run_until("a", job_state::completed, 8s));
    world.run(100ms);
    const std::uint64_t starts = 20;
    // The status poll that acknowledges an end also waits for the next one.
    CHECK(world.workers.calls() - before <= 2 * starts + 2);
}

TEST_CASE("a request is kept until the end of its job is stored", "[fleet]")
{
    fleet_world world(2, 2);
    world.settings.cleanup_interval = 500ms;
    world.workers.behaviour = [](const fleet::task_ref& task) {
        return standin::task_behaviour{task.index == 0 ? 300ms : 420ms, false};
    };
    world.submit("a", {tasks(2)});
    world.run(150ms);
    REQUIRE(world.starts_of("a").size() == 1);
    world.store.latency = 300ms;
    world.run(350ms); // The second run ends while the first end is stored.
    REQUIRE(world.workers.running() == 0);
    world.store.latency = 4s;
    world.run(200ms); // The append of the second end is in flight,
    REQUIRE_FALSE(world.store.newest(fleet::topics::progress, "a").empty());
    world.store.latency = 4ms;
    world.run(600ms); // and the clean-up of ended jobs runs meanwhile.
    world.owner_vm()->kill();
    CHECK(world.run_until("a", job_state::completed, 8s));
}

TEST_CASE("an owner that the store does not answer is replaced sooner")
{
    for (const milliseconds phase : {0ms, 130ms, 260ms, 390ms})
    {
        fleet_world world;
        world.peers_probe_owner = true;
        world.run(1s + phase);
        fleet_world::vm* before = world.owner_vm();
        REQUIRE(before != nullptr);
        before->store_client.requests_rejected = true;
        world.run(1'450ms);
        CHECK(std::any_of(
            world.vms.begin(),
            world.vms.end(),
            [&](const auto& each)
            { return each.get() != before && each->owner != nullptr; }));
    }
}

// Guards against jobs that never run: a VM's answer to one question arrives a
// second time, as by a client whose connection breaks, and was taken for its
// answer to the next question of the same step. Workers that the policy service
// was never asked about counted as denied.
TEST_CASE(
    "an answer of the policy service that arrives twice settles one question",
    "[fleet]")
{
    fleet_world world(2, 40);
    fleet::queue_settings queue;
    queue.name = queue_name("work");
    queue.service = fleet::service_name("svc");
    queue.attempts = 2;
    fleet::policy_timing advice;
    advice.base = std::chrono::duration<double, std::milli>(10.0);
    advice.per_worker = std::chrono::duration<double, std::milli>(0.1);
    advice.valid = 1'500ms;
    queue.advice = advice;
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    world.config = fleet::configuration(1, {queue}, {account}, {});
    world.run(500ms);
    const instance_id vm("another");
    std::vector<fleet::permit_request> questions;
    const auto request = [&]
    {
        world.owner()->request_work(
            vm,
            500ms,
            [&](std::optional<fleet::permit_request> question)
            {
                if (question)
                {
                    questions.push_back(*std::move(question));
                }
            });
        world.run(100ms);
    };
    world.submit("a", {tasks(1)});
    world.run(200ms);
    request();
    REQUIRE(questions.size() == 1);
    const fleet::permits none{{}, advice.valid};
    world.owner()->on_policy_answer(
        vm, questions[0].step, questions[0].number, none, 0ms);
    request();
    REQUIRE(questions.size() == 2);
    // The service allows the workers of the second question alone.
    const std::vector<worker_id> allowed = questions[1].workers;
    REQUIRE(!allowed.empty());
    // The reply with the second question was lost: the request is repeated.
    world.owner()->on_policy_answer(
        vm, questions[0].step, questions[0].number, none, 0ms);
    request();
    for (std::size_t at = 2; at < questions.size() && at < 100; ++at)
    {
        fleet::permits answer = none;
        for (const worker_id& each : questions[at].workers)
        {
            if (std::find(allowed.begin(), allowed.end(), each) !=
                allowed.end())
            {
                answer.allowed.push_back({each, "ticket"});
            }
        }
        world.owner()->on_policy_answer(
            vm, questions[at].step, questions[at].number, answer, 0ms);
        request();
    }
    CHECK(world.run_until("a", job_state::completed, 10s));
}
