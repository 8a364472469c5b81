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

/// A metric that GET /metrics exposes with the prefix `acaciastile_`.
struct metric_kind
{
    std::string_view name;
    metric_type type;
    std::string_view label; ///< Name of the label; empty if it has none.
    std::string_view text;
};

/// All metrics. A test checks that docs/API.md lists the same ones.
inline constexpr auto metric_kinds = std::to_array<metric_kind>({
    {"log_age_ms",
     metric_type::gauge,
     "",
     "Milliseconds since the last contact with the platform's log."},
    {"owned_shards", metric_type::gauge, "", "Shards that this instance owns."},
    {"live_members",
     metric_type::gauge,
     "",
     "Instances that count as alive, this one included."},
    {"control_calls",
     metric_type::gauge,
     "",
     "Calls to platform, workers and other instances since the start."},
    {"control_bytes_sent",
     metric_type::gauge,
     "",
     "Bytes of these calls, headers included."},
    {"control_bytes_received",
     metric_type::gauge,
     "",
     "Bytes of their answers, headers included."},
    {"http_requests",
     metric_type::counter,
     "route",
     "Requests taken, by route."},
    {"http_refusals",
     metric_type::counter,
     "code",
     "Requests answered with a refusal or an error, by its code."},
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
    {"fleet_accept_ms",
     metric_type::distribution,
     "",
     "Milliseconds from a submission to its answer."},
    {"fleet_job_appends",
     metric_type::counter,
     "",
     "Appends of accepted jobs to the metadata store."},
    {"fleet_requests_refused",
     metric_type::counter,
     "reason",
     "Calls of clients that were refused, by reason."},
    {"fleet_starts", metric_type::counter, "", "Runs that were ordered."},
    {"fleet_starts_refused",
     metric_type::counter,
     "reason",
     "Starts that a worker refused, by reason."},
    {"fleet_start_ms",
     metric_type::distribution,
     "",
     "Milliseconds from a start to the worker's answer."},
    {"fleet_adoptions",
     metric_type::counter,
     "from",
     "Runs taken over from an earlier owner, by where they were read."},
    {"fleet_adoptions_rejected",
     metric_type::counter,
     "reason",
     "Runs of an earlier owner that were not taken over, by reason."},
    {"fleet_runs_reappeared",
     metric_type::counter,
     "presumed",
     "Runs that a worker lists although they were recorded as over, by the "
     "reason of that record."},
    {"fleet_crashes_counted",
     metric_type::counter,
     "blame",
     "Crashes of workers that were counted against a run, by how far the run "
     "is to blame."},
    {"fleet_crashes_unproven",
     metric_type::counter,
     "proof",
     "Orders to workers that crashed, of which it is not known whether they "
     "arrived before, by what shows the crash."},
    {"fleet_jobs_given_up",
     metric_type::counter,
     "",
     "Jobs that failed because a task of theirs crashes its workers."},
    {"fleet_evacuations",
     metric_type::gauge,
     "",
     "Data centres that are evacuated, as this owner knows."},
    {"fleet_ends",
     metric_type::counter,
     "how",
     "Ends of runs that were taken in, by how they ended."},
    {"fleet_holds",
     metric_type::counter,
     "",
     "Calls to workers for their lists of runs."},
    {"http_calls",
     metric_type::gauge,
     "",
     "Calls made over HTTP since the start."},
    {"http_connects", metric_type::gauge, "", "Connections opened for them."},
    {"http_timeouts",
     metric_type::gauge,
     "",
     "Calls that brought no answer in time."},
    {"log_lines",
     metric_type::gauge,
     "",
     "Lines logged since the start, dropped ones included, event 6050 not."},
    {"log_lines_dropped",
     metric_type::gauge,
     "",
     "Lines among them that the output did not take in time."},
});

} // namespace acaciastile
