#include "fleet/worker_table.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace std::chrono_literals;

namespace
{

worker_registration registration_of(
    const std::string& id, const std::string& service, std::int64_t cores)
{
    worker_registration registration;
    registration.id = worker_id(id);
    registration.service = service_name(service);
    registration.rack = rack_name("r1");
    registration.capacity = {cores * 1'000, 1'024, 0};
    return registration;
}

/// Workers of the service with this many cores free.
std::size_t
count_free(const worker_table& workers, const char* service, std::int64_t cores)
{
    std::size_t count = 0;
    if (const auto* free = workers.free_capacity(service_name(service)))
    {
        free->visit(
            {cores * 1'000, 0, 0},
            [&](const impl::fit_index::candidate&)
            {
                ++count;
                return true;
            });
    }
    return count;
}

} // namespace

TEST_CASE("the index of free capacity follows runs and registrations")
{
    worker_table workers;
    workers.upsert(registration_of("a", "svc", 8));
    workers.upsert(registration_of("b", "svc", 8));
    CHECK(count_free(workers, "svc", 8) == 2);
    run_entry run;
    run.task = {{job_id("j"), 0, 0}, 0};
    run.run = 1;
    run.needs = {4'000, 0, 0};
    workers.add_run(*workers.find(worker_id("a")), run);
    CHECK(count_free(workers, "svc", 8) == 1);
    CHECK(count_free(workers, "svc", 4) == 2);
    REQUIRE(workers.remove_run(*workers.find(worker_id("a")), run.task, 1));
    CHECK(count_free(workers, "svc", 8) == 2);
    // The worker joins another service.
    workers.upsert(registration_of("a", "other", 16));
    CHECK(count_free(workers, "svc", 8) == 1);
    CHECK(count_free(workers, "other", 16) == 1);
    workers.unlist(worker_id("b"), 5);
    CHECK(
        workers.forget_unlisted([](const auto&) { return true; }).size() == 1);
    CHECK(count_free(workers, "svc", 1) == 0);
    CHECK(workers.in_rack(rack_name("r1")).size() == 1);
}

TEST_CASE("a forgotten worker's handle is not used again")
{
    worker_table workers;
    workers.upsert(registration_of("a", "svc", 8));
    const worker_handle first = workers.find(worker_id("a"))->handle;
    workers.unlist(worker_id("a"), 5);
    CHECK(
        workers.forget_unlisted([](const auto&) { return true; }).size() == 1);
    CHECK(workers.at(first) == nullptr);
    workers.upsert(registration_of("a", "svc", 8));
    CHECK(workers.find(worker_id("a"))->handle != first);
}

TEST_CASE("a worker stays out of sight until it is settled")
{
    worker_table workers;
    workers.upsert(registration_of("a", "svc", 8));
    worker_entry& worker = *workers.find(worker_id("a"));
    worker.sealed = true;
    bool settled = false;
    const auto is_settled = [&](const worker_entry&) { return settled; };
    workers.prune_out_of_sight(is_settled);
    CHECK(workers.out_of_sight().size() == 1);
    settled = true;
    workers.prune_out_of_sight(is_settled);
    CHECK(workers.out_of_sight().empty());
    workers.set_unreachable(worker, true, instant(100s));
    workers.set_unreachable(worker, true, instant(100s));
    CHECK(workers.out_of_sight().size() == 1);
    workers.prune_out_of_sight(is_settled);
    CHECK(workers.out_of_sight().size() == 1);
    worker.reachable = true;
    workers.prune_out_of_sight(is_settled);
    CHECK(workers.out_of_sight().empty());
}

// Guards against starts over a worker's capacity: resources of a run were not
// counted, or never freed, if the worker had another run of the same task.
TEST_CASE("each run of a task occupies resources of its worker")
{
    worker_table workers;
    workers.upsert(registration_of("a", "svc", 8));
    worker_entry& worker = *workers.find(worker_id("a"));
    run_entry run;
    run.task = {{job_id("j"), 0, 0}, 0};
    run.needs = {3'000, 0, 0};
    for (const run_number number : {5, 8})
    {
        run.run = number;
        workers.add_run(worker, run);
    }
    CHECK(worker.used.milli_processors == 6'000);
    CHECK(workers.remove_run(worker, run.task, 5));
    CHECK(worker.used.milli_processors == 3'000);
    CHECK(workers.remove_run(worker, run.task, 8));
    CHECK(worker.used.milli_processors == 0);
    CHECK(count_free(workers, "svc", 8) == 1);
}

TEST_CASE("the lowest reading of a worker's clock allows for a slow clock")
{
    worker_table workers;
    workers.upsert(registration_of("w0", "svc", 16));
    worker_entry& worker = *workers.find(worker_id("w0"));
    const instant read(100s);
    workers.note_clock(worker, worker_instant(50s), read - 10ms, read);
    CHECK(workers.lowest_clock(worker, read) == worker_instant(50s));
    CHECK(workers.lowest_clock(worker, read + 10s) == worker_instant(59'800ms));
    // Earlier, a clock that is slow by now showed less.
    CHECK(workers.lowest_clock(worker, read - 980ms) == worker_instant(49s));
}

// Guards against a restart that is seen where none was: a clock that is 2% slow
// and readings in whole milliseconds.
TEST_CASE("a slow clock that is read in whole milliseconds is not reset")
{
    worker_table workers;
    workers.upsert(registration_of("w0", "svc", 16));
    worker_entry& worker = *workers.find(worker_id("w0"));
    const instant read(100s);
    workers.note_clock(worker, worker_instant(50s), read - 1ms, read);
    const instant asked = read + 10s;
    CHECK_FALSE(
        workers.is_clock_reset(worker, worker_instant(59'799ms), asked));
    CHECK(workers.is_clock_reset(worker, worker_instant(59'700ms), asked));
    CHECK(workers.is_clock_reset(worker, worker_instant(1s), asked));
}

// Guards against runs that outlast their worker in the records: an owner that
// had not seen the process between two others at an address took the runs of
// the first one to be active until their lease ended, and counted no crash.
TEST_CASE("a worker replaces all earlier workers at its address")
{
    worker_table table;
    for (std::uint64_t life = 1; life <= 3; ++life)
    {
        worker_registration registration;
        registration.id = worker_id("w~" + std::to_string(life));
        registration.incarnation = life;
        registration.address = "w:1";
        registration.service = service_name("svc");
        table.upsert(registration);
    }
    CHECK(
        table.find(worker_id("w~3"))->predecessors ==
        std::vector<worker_id>{worker_id("w~2"), worker_id("w~1")});
}
