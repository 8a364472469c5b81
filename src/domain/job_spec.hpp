#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"

#include <cstdint>
#include <string>

namespace acaciastile
{

/// How the tasks of a job relate to each other and to the caller.
enum class job_kind
{
    service, ///< Runs until cancelled; an ended task is started again.
    batch,   ///< Each task runs to its end on its own.
    gang,    ///< All tasks start together or none does.
    request  ///< One task with a payload whose caller gets the answer.
};

/// What a caller asks for. The id is the caller's own: a second submission
/// of the same id and content is the same job.
struct job_spec
{
    job_id id;
    team_name team;
    queue_name queue;
    job_kind kind = job_kind::batch;
    std::string name;               ///< Groups runs for learnt estimates.
    std::uint32_t tasks = 1;        ///< How many tasks.
    resources each;                 ///< What one task needs.
    milliseconds run_time{0};       ///< Declared; zero where unknown.
    bool repeatable = true;         ///< False: runs at most once.
    std::uint32_t max_attempts = 3; ///< Of one task, where repeatable.
    milliseconds deadline{0};       ///< For requests, from arrival; zero: none.
    std::string payload;            ///< Opaque; handed to the worker.

    [[nodiscard]] bool operator==(const job_spec&) const = default;
};

} // namespace acaciastile
