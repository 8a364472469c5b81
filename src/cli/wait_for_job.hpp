#pragma once

#include "cli/api_client.hpp"
#include "cli/exit_status.hpp"

#include <string>

namespace acaciastile
{

/// Asks for a job's status until all of its tasks have ended, and prints it.
/// On a terminal a line shows the progress meanwhile. A server that is out of
/// reach for a while is asked again. Gives `ended_badly` where a task did not
/// succeed, `unknown` where its outcome is unknown or the patience is over.
[[nodiscard]] exit_status
wait_for_job(api_client& client, const std::string& id, milliseconds patience);

/// How a job ended, by the counts of its tasks; empty while some have not.
[[nodiscard]] std::optional<exit_status>
ended_as(const nlohmann::json& job_status);

} // namespace acaciastile
