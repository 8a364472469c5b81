#pragma once

#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "platform/worker_gateway.hpp"

#include <optional>
#include <string>

namespace acaciastile
{

/// What a stand-in worker makes of one task. It is read from the payload
/// where that is a JSON object, for example
///
///     {"run_ms": 500, "fail": true, "answer": "text",
///      "usage": {"milli_processors": 900, "memory_mib": 300,
///                "accelerators": 0}}
///
/// and else follows the declaration. Every member may be left out.
struct task_script
{
    std::optional<milliseconds> run_time; ///< None: runs until stopped.
    resources usage;
    bool fails = false;
    std::string answer; ///< A pure function of the payload.
};

[[nodiscard]] task_script script_of(const start_command& start);

} // namespace acaciastile
