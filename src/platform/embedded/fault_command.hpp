#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_worker.hpp"
#include "platform/vm_list.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace acaciastile
{

struct stand_in_platform;

/// The faults that the stand-ins can be told to have. Names of endpoints are
/// `log`, `vm-list`, a worker's id or an instance's name; in a cut also a group
/// of them or `*` for everyone.
namespace fault
{

struct log_down
{
    bool on = true;
};
struct log_reads_fail
{
    bool on = true;
};
struct log_append_time
{
    milliseconds each{0}; ///< Zero: no bound.
};
struct log_refuse_appends
{
    std::uint64_t count = 1;
};
struct log_lose_answers
{
    std::uint64_t count = 0;  ///< Of the next appends.
    double probability = 0.0; ///< Of each append, beyond those.
    lost_answer manner = lost_answer::late_error;
};
struct log_retention
{
    std::uint64_t entries = 0; ///< Zero: all.
    milliseconds age{0};       ///< Zero: any.
};
struct cut
{
    std::string left;
    std::string right;
    cut_manner manner = cut_manner::refused;
};
struct heal
{
    std::string left; ///< Both empty: all cuts.
    std::string right;
};
struct group
{
    std::string endpoint;
    std::string name;
};
struct slow
{
    std::string endpoint;
    milliseconds extra{0};
};
struct pause
{
    std::string endpoint;
    bool on = true;
};
struct vm_list_lag
{
    milliseconds lag{0};
};
struct vm_list_down
{
    bool on = true;
};
struct vm_set
{
    vm_entry entry;
};
struct vm_remove
{
    std::string name;
};
struct vm_leaving
{
    std::string name;
    bool on = true;
};
struct worker_add
{
    embedded_worker_settings settings;
};
struct worker_remove
{
    worker_id worker;
};
struct worker_kill
{
    worker_id worker;
};
struct worker_lose_answers
{
    worker_id worker;
    std::uint64_t count = 1;
};
struct worker_fails_everything
{
    worker_id worker;
    bool on = true;
};
struct worker_leaving
{
    worker_id worker;
    bool on = true;
};
struct worker_drift
{
    worker_id worker;
    std::int64_t parts_per_million = 0;
};
struct worker_clock_pause
{
    worker_id worker;
    bool on = true;
};

} // namespace fault

using fault_command = std::variant<
    fault::log_down,
    fault::log_reads_fail,
    fault::log_append_time,
    fault::log_refuse_appends,
    fault::log_lose_answers,
    fault::log_retention,
    fault::cut,
    fault::heal,
    fault::group,
    fault::slow,
    fault::pause,
    fault::vm_list_lag,
    fault::vm_list_down,
    fault::vm_set,
    fault::vm_remove,
    fault::vm_leaving,
    fault::worker_add,
    fault::worker_remove,
    fault::worker_kill,
    fault::worker_lose_answers,
    fault::worker_fails_everything,
    fault::worker_leaving,
    fault::worker_drift,
    fault::worker_clock_pause>;

/// Reads a command such as `{"fault": "log_down", "on": true}`: the name of
/// the fault and its members; docs/design/stand-ins.md lists them. Errors:
/// `malformed`, `invalid_value`.
[[nodiscard]] result<fault_command> parse_fault(const std::string& text);

/// Has the stand-ins do it. Errors: `unknown_worker` where the worker that it
/// names does not exist.
[[nodiscard]] result<void>
apply_fault(stand_in_platform& platform, const fault_command& command);

} // namespace acaciastile
