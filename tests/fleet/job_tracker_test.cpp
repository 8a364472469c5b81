#include "fleet/job_tracker.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using fleet::adoption;
using fleet::end_effect;
using fleet::run_end;

namespace
{

const fleet::task_ref only_task{{job_id("a"), 0, 0}, 0};
const worker_id first_worker("w1");
const worker_id second_worker("w2");
constexpr std::uint32_t attempts = 3;

/// A tracker with one inherited job of one task.
fleet::job_tracker tracker_with_job()
{
    fleet::job_tracker tracker(1);
    fleet::accepted_job job;
    job.id = job_id("a");
    job.request.steps.resize(1);
    job.request.steps.front().count = 1;
    tracker.add(std::move(job), true, instant{});
    return tracker;
}

end_effect end(fleet::job_tracker& tracker, fleet::run_number run, run_end how)
{
    return tracker.record_end(only_task, run, how, {}, attempts, {});
}

std::uint32_t waiting(fleet::job_tracker& tracker)
{
    return tracker.find(only_task.step)->waiting;
}

} // namespace

// Two runs of a task are known after a change of owner if one of them is over
// or about to be: starting the task again beside either would run it twice.
TEST_CASE("a task waits only once every run that is known of it has ended")
{
    const bool older_first = GENERATE(true, false);
    const bool older_ends_first = GENERATE(true, false);
    auto tracker = tracker_with_job();
    const auto adopt = [&](fleet::run_number run, const worker_id& worker)
    { return tracker.adopt_run(only_task, run, worker, {}); };
    if (older_first)
    {
        CHECK(adopt(5, first_worker) == adoption::adopted);
        CHECK(adopt(8, second_worker) == adoption::adopted);
    }
    else
    {
        CHECK(adopt(8, second_worker) == adoption::adopted);
        CHECK(adopt(5, first_worker) == adoption::superseded);
    }
    CHECK(tracker.find(only_task)->run == 8);
    CHECK(tracker.find(only_task)->worker == second_worker);
    CHECK(tracker.find(only_task.step)->active == 1);
    CHECK(waiting(tracker) == 0);
    end(tracker, older_ends_first ? 5 : 8, run_end::stopped);
    CHECK(waiting(tracker) == 0);
    end(tracker, older_ends_first ? 8 : 5, run_end::stopped);
    CHECK(waiting(tracker) == 1);
    CHECK(tracker.find(only_task.step)->active == 0);
}

TEST_CASE("an end of a superseded run leaves the latest run active")
{
    auto tracker = tracker_with_job();
    tracker.adopt_run(only_task, 8, second_worker, {});
    tracker.adopt_run(only_task, 5, first_worker, {});
    CHECK(end(tracker, 5, run_end::failed) == end_effect::task_requeued);
    CHECK(tracker.find(only_task)->run == 8);
    CHECK(waiting(tracker) == 0);
    CHECK(end(tracker, 8, run_end::done) == end_effect::task_done);
    CHECK(tracker.find(only_task.step)->done == 1);
    CHECK(waiting(tracker) == 0);
}

TEST_CASE("a task that a superseded run completes does not wait again")
{
    auto tracker = tracker_with_job();
    tracker.adopt_run(only_task, 8, second_worker, {});
    tracker.adopt_run(only_task, 5, first_worker, {});
    CHECK(end(tracker, 5, run_end::done) == end_effect::task_done);
    CHECK(tracker.find(only_task)->live_runs.size() == 1);
    CHECK(end(tracker, 8, run_end::stopped) == end_effect::out_of_date);
    CHECK(waiting(tracker) == 0);
    CHECK(tracker.find(only_task.step)->active == 0);
    CHECK(tracker.find(only_task)->live_runs.empty());
}

TEST_CASE("a run that was not started leaves the other live runs of its task")
{
    auto tracker = tracker_with_job();
    tracker.adopt_run(only_task, 5, first_worker, {});
    tracker.adopt_run(only_task, 8, second_worker, {});
    tracker.undo_run(only_task, 8);
    CHECK(tracker.find(only_task)->run == 5);
    CHECK(waiting(tracker) == 0);
    tracker.undo_run(only_task, 5);
    CHECK(waiting(tracker) == 1);
}
