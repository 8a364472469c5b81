#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"

#include <cstdint>
#include <string>

namespace acaciastile
{

/// How the tasks of a job are started and completed.
enum class job_kind
{
    service, ///< Runs until cancelled; tasks that exit are restarted.
    batch,   ///< Each task runs to completion independently.
    gang,    ///< All tasks start together or none starts.
    request  ///< One task that processes a payload and returns an answer.
};

/// A job as submitted by a caller. The caller chooses the id; submitting the
/// same id and content again is idempotent.
struct job_spec
{
    job_id id;
    team_name team;
    queue_name queue;
    job_kind kind = job_kind::batch;
    std::string name;         ///< Jobs of one name share usage estimates.
    std::uint32_t tasks = 1;  ///< Number of tasks.
    resources each;           ///< Resources needed by one task.
    milliseconds run_time{0}; ///< Declared by the caller; zero if unknown.
    bool repeatable = true;   ///< False: each task runs at most once.
    std::uint32_t max_attempts = 3; ///< For each task, if repeatable.
    milliseconds deadline{0};       ///< Of a request, from arrival; zero: none.
    std::string payload;            ///< Opaque; passed to the worker.

    [[nodiscard]] bool operator==(const job_spec&) const = default;
};

} // namespace acaciastile
