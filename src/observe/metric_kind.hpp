#pragma once

#include <array>
#include <string_view>

namespace acaciastile
{

enum class metric_type
{
    counter,
    distribution,
    gauge
};

/// One metric as GET /metrics shows it, with the prefix `acaciastile_`.
struct metric_kind
{
    std::string_view name;
    metric_type type;
    std::string_view label; ///< Name of its label; empty where it has none.
    std::string_view text;
};

/// Every metric; docs/API.md lists the same ones, which a test checks.
inline constexpr auto metric_kinds = std::to_array<metric_kind>({
    {"waiting_seconds",
     metric_type::distribution,
     "class",
     "Time from queued to started, by work class."},
    {"decision_seconds",
     metric_type::distribution,
     "",
     "Processor time of one scheduling pass."},
    {"placements", metric_type::counter, "", "Tasks placed on workers."},
    {"refusals", metric_type::counter, "code", "Refused calls, by code."},
    {"packing_ratio",
     metric_type::gauge,
     "resource",
     "Share of the capacity that is in use, by kind of resource."},
    {"share_error",
     metric_type::gauge,
     "team",
     "Running share of a team minus its due share, by team."},
    {"control_messages",
     metric_type::counter,
     "kind",
     "Messages sent for control, by kind."},
    {"control_bytes",
     metric_type::counter,
     "kind",
     "Bytes sent for control, by kind."},
    {"log_age_seconds",
     metric_type::gauge,
     "",
     "Time since the last contact with the platform's log."},
    {"vm_list_age_seconds",
     metric_type::gauge,
     "",
     "Time since the platform's VM list was last read."},
    {"http_requests",
     metric_type::counter,
     "route",
     "Requests taken, by route."},
    {"http_errors",
     metric_type::counter,
     "status",
     "Answers with an HTTP status of 400 or more, by status."},
    {"http_seconds",
     metric_type::distribution,
     "route",
     "Time from the whole request to the answer, by route."},
    {"http_in_hand",
     metric_type::gauge,
     "",
     "Requests that are taken and not yet answered."},
    {"control_queue",
     metric_type::gauge,
     "",
     "Messages that wait for the control thread."},
    {"control_tick_seconds",
     metric_type::distribution,
     "",
     "Time that one tick of the control thread took."},
});

} // namespace acaciastile
