#pragma once

#include "policy/fair_scheduler.hpp"

#include <memory>
#include <string>
#include <vector>

namespace acaciastile::test
{

inline constexpr resources wide_allowance{1'000'000'000, 1'000'000'000, 10'000};

/// A scheduler with two teams and one queue of each work class.
struct fixture
{
    std::unique_ptr<scheduler> sched = fair_scheduler::create({});

    fixture()
    {
        sched->set_rules(sample_rules());
        sched->set_allowance(team_name("north"), wide_allowance);
        sched->set_allowance(team_name("south"), wide_allowance);
    }

    static rules sample_rules()
    {
        team_rule north{team_name("north"), 1, wide_allowance};
        team_rule south{team_name("south"), 1, wide_allowance};
        std::vector<queue_rule> queues;
        for (const auto& [policy, name] : work_class_names)
        {
            queue_rule queue;
            queue.name = queue_name(std::string(name));
            queue.policy = policy;
            queue.preemptible = policy == work_class::batch;
            queues.push_back(queue);
        }
        return rules::create({north, south}, queues).value();
    }

    static worker_entry entry(const std::string& id, resources capacity)
    {
        worker_entry worker;
        worker.id = worker_id(id);
        worker.data_centre = data_centre_name("a");
        worker.rack = rack_name("r-" + id);
        worker.capacity = capacity;
        return worker;
    }

    void open_worker(const std::string& id, resources capacity)
    {
        open_worker(entry(id, capacity));
    }

    void open_worker(const worker_entry& worker)
    {
        sched->set_worker(worker);
        sched->set_worker_state(worker.id, worker_state::open);
    }

    static job_request
    job(const std::string& id,
        const std::string& team,
        work_class policy,
        resources each,
        std::uint32_t tasks,
        std::int64_t queued_ms = 0)
    {
        job_request request;
        request.job = job_id(id);
        request.team = team_name(team);
        request.queue = queue_name(std::string(to_string(policy)));
        request.kind = policy == work_class::gang      ? job_kind::gang
                       : policy == work_class::service ? job_kind::service
                                                       : job_kind::batch;
        request.name = id;
        request.each = each;
        request.run_time = milliseconds(60'000);
        request.queued_at = instant(milliseconds(queued_ms));
        for (std::uint32_t index = 0; index < tasks; ++index)
        {
            request.waiting.push_back(index);
        }
        return request;
    }

    decisions decide(std::int64_t now_ms = 0, std::size_t limit = 1000)
    {
        return sched->decide(instant(milliseconds(now_ms)), limit);
    }

    void end(const std::string& job, std::uint32_t index, task_end ended = {})
    {
        sched->end({job_id(job), index}, ended);
    }
};

} // namespace acaciastile::test
