#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace acaciastile
{

enum class event_level
{
    info,
    warn,
    fault
};

/// Numbers of log events: 1000 cell, 2000 policy, 3000 platform, 4000 entry,
/// 5000 command line, 6000 fleet. A number is never used for another event.
enum class event_number : std::uint16_t
{
    // Cell.
    instance_started = 1000,
    instance_stopping = 1001,
    instance_stopped = 1002,
    shard_claim_sent = 1010,
    shard_gained = 1011,
    shard_lost = 1012,
    shard_released = 1013,
    worker_sealed = 1020,
    worker_unreachable = 1021,
    worker_lapsed = 1022,
    job_accepted = 1030,
    job_refused = 1031,
    job_cancelled = 1032,
    attempt_started = 1040,
    attempt_ended = 1041,
    attempt_unknown = 1042,
    log_down = 1050,
    log_up = 1051,
    snapshot_written = 1052,
    snapshot_loaded = 1053,
    record_unreadable = 1054,
    snapshot_missing = 1055,
    snapshot_failed = 1056,
    configuration_in_force = 1060,
    allowance_changed = 1061,
    key_refused = 1062,
    member_joined = 1070,
    member_suspected = 1071,
    member_left = 1072,
    // Fleet: the product on the users' platform.
    store_lost = 6000,
    store_regained = 6001,
    owner_changed = 6002,
    ownership_claimed = 6003,
    ownership_given_up = 6004,
    fleet_loaded = 6005,
    fleet_configuration = 6006,
    configuration_stale = 6007,
    renewal_failed = 6008,
    job_stored = 6010,
    job_rejected = 6011,
    job_stop_asked = 6012,
    request_refused = 6013,
    run_started = 6020,
    start_refused = 6021,
    start_unanswered = 6022,
    run_ended = 6023,
    run_stopped = 6024,
    run_lost = 6025,
    fleet_worker_sealed = 6030,
    worker_silent = 6031,
    worker_regained = 6032,
    worker_restarted = 6033,
    worker_quarantined = 6034,
    worker_draining = 6035,
    advice_taken = 6040,
    advice_missing = 6041,
    lines_dropped = 6050,
    // Entry.
    listening = 4000,
    certificates_reloaded = 4001,
    certificates_kept = 4002,
    requests_cut_off = 4003,
    // Command line.
    process_started = 5000,
    stop_asked = 5001,
    process_ended = 5002,
    reload_asked = 5003,
};

struct event_kind
{
    event_number number;
    event_level level;
    std::string_view name;
};

/// Every event; docs/EVENTS.md lists the same ones, which a test checks.
inline constexpr auto event_kinds = std::to_array<event_kind>({
    {event_number::instance_started, event_level::info, "instance_started"},
    {event_number::instance_stopping, event_level::info, "instance_stopping"},
    {event_number::instance_stopped, event_level::info, "instance_stopped"},
    {event_number::shard_claim_sent, event_level::info, "shard_claim_sent"},
    {event_number::shard_gained, event_level::info, "shard_gained"},
    {event_number::shard_lost, event_level::warn, "shard_lost"},
    {event_number::shard_released, event_level::info, "shard_released"},
    {event_number::worker_sealed, event_level::info, "worker_sealed"},
    {event_number::worker_unreachable, event_level::warn, "worker_unreachable"},
    {event_number::worker_lapsed, event_level::warn, "worker_lapsed"},
    {event_number::job_accepted, event_level::info, "job_accepted"},
    {event_number::job_refused, event_level::info, "job_refused"},
    {event_number::job_cancelled, event_level::info, "job_cancelled"},
    {event_number::attempt_started, event_level::info, "attempt_started"},
    {event_number::attempt_ended, event_level::info, "attempt_ended"},
    {event_number::attempt_unknown, event_level::warn, "attempt_unknown"},
    {event_number::log_down, event_level::warn, "log_down"},
    {event_number::log_up, event_level::info, "log_up"},
    {event_number::snapshot_written, event_level::info, "snapshot_written"},
    {event_number::snapshot_loaded, event_level::info, "snapshot_loaded"},
    {event_number::record_unreadable, event_level::fault, "record_unreadable"},
    {event_number::snapshot_missing, event_level::fault, "snapshot_missing"},
    {event_number::snapshot_failed, event_level::warn, "snapshot_failed"},
    {event_number::configuration_in_force,
     event_level::info,
     "configuration_in_force"},
    {event_number::allowance_changed, event_level::info, "allowance_changed"},
    {event_number::key_refused, event_level::warn, "key_refused"},
    {event_number::member_joined, event_level::info, "member_joined"},
    {event_number::member_suspected, event_level::warn, "member_suspected"},
    {event_number::member_left, event_level::warn, "member_left"},
    {event_number::store_lost, event_level::warn, "store_lost"},
    {event_number::store_regained, event_level::info, "store_regained"},
    {event_number::owner_changed, event_level::info, "owner_changed"},
    {event_number::ownership_claimed, event_level::info, "ownership_claimed"},
    {event_number::ownership_given_up, event_level::warn, "ownership_given_up"},
    {event_number::fleet_loaded, event_level::info, "fleet_loaded"},
    {event_number::fleet_configuration,
     event_level::info,
     "fleet_configuration"},
    {event_number::configuration_stale,
     event_level::warn,
     "configuration_stale"},
    {event_number::renewal_failed, event_level::warn, "renewal_failed"},
    {event_number::job_stored, event_level::info, "job_stored"},
    {event_number::job_rejected, event_level::info, "job_rejected"},
    {event_number::job_stop_asked, event_level::info, "job_stop_asked"},
    {event_number::request_refused, event_level::info, "request_refused"},
    {event_number::run_started, event_level::info, "run_started"},
    {event_number::start_refused, event_level::info, "start_refused"},
    {event_number::start_unanswered, event_level::warn, "start_unanswered"},
    {event_number::run_ended, event_level::info, "run_ended"},
    {event_number::run_stopped, event_level::info, "run_stopped"},
    {event_number::run_lost, event_level::warn, "run_lost"},
    {event_number::fleet_worker_sealed,
     event_level::info,
     "fleet_worker_sealed"},
    {event_number::worker_silent, event_level::warn, "worker_silent"},
    {event_number::worker_regained, event_level::info, "worker_regained"},
    {event_number::worker_restarted, event_level::warn, "worker_restarted"},
    {event_number::worker_quarantined, event_level::warn, "worker_quarantined"},
    {event_number::worker_draining, event_level::info, "worker_draining"},
    {event_number::advice_taken, event_level::info, "advice_taken"},
    {event_number::advice_missing, event_level::warn, "advice_missing"},
    {event_number::lines_dropped, event_level::warn, "lines_dropped"},
    {event_number::listening, event_level::info, "listening"},
    {event_number::certificates_reloaded,
     event_level::info,
     "certificates_reloaded"},
    {event_number::certificates_kept, event_level::fault, "certificates_kept"},
    {event_number::requests_cut_off, event_level::fault, "requests_cut_off"},
    {event_number::process_started, event_level::info, "process_started"},
    {event_number::stop_asked, event_level::info, "stop_asked"},
    {event_number::process_ended, event_level::info, "process_ended"},
    {event_number::reload_asked, event_level::info, "reload_asked"},
});

} // namespace acaciastile
