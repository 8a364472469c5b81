#pragma once

#include "domain/instant.hpp"
#include "domain/job_spec.hpp"
#include "domain/task_id.hpp"
#include "domain/work_class.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile
{

/// A job as the scheduler sees it: `waiting` of its tasks want a place. A gang
/// is placed whole: `waiting` tasks at once.
struct job_request
{
    job_id job;
    team_name team;
    queue_name queue;
    job_kind kind = job_kind::batch;
    std::string name;
    resources each;
    milliseconds run_time{0};
    instant queued_at{};
    bool repeatable = true; ///< Where false, never tried on a suspect worker.
    std::vector<std::uint32_t> waiting; ///< Indexes of the waiting tasks.
};

} // namespace acaciastile
