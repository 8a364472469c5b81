#pragma once

#include "domain/result.hpp"
#include "fleet/configuration.hpp"
#include "fleet/crash_record.hpp"
#include "fleet/ports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// Stored progress of one step in one occurrence.
struct step_progress
{
    std::vector<bool>
        done; ///< By task index; tasks beyond its end are not done.
    /// Failed runs by task index. Kept by run number, as a worker may report
    /// the same ended run to the next owner again, and it must count only once.
    std::map<std::uint32_t, std::vector<run_number>> failures;
    std::vector<run_number>
        gang_failures; ///< Failed runs of the gang as a whole.
    /// Crashes of workers by task index.
    std::map<std::uint32_t, std::vector<crash_record::crash>> crashes;

    [[nodiscard]] bool operator==(const step_progress&) const = default;
};

/// Stored progress of a job. Only the fleet's owner writes it.
struct job_progress
{
    job_state state = job_state::queued;
    wall_time ended{};   ///< Set if the state is final.
    bool excess = false; ///< Accepted while its account was over its rate.
    /// By occurrence, then by step; empty if the state is final.
    std::vector<std::vector<step_progress>> steps;

    [[nodiscard]] bool operator==(const job_progress&) const = default;
};

/// The runs that may exist on a worker that the owner cannot reach.
struct absence_record
{
    std::uint64_t incarnation = 0;
    std::string address;
    std::vector<std::pair<task_ref, run_number>> runs;
    /// Positions in `runs` of those that are known to have begun. Records of
    /// builds that did not note it tell of none.
    std::vector<std::uint32_t> begun;
    /// Runs, listed above or ended since, that are blamed if it turns out that
    /// the worker has crashed: those that are known to have been there.
    std::vector<blamed_run> blamed;
    /// The worker had announced that it drains: then its end is no crash. Not
    /// told by records of builds that did not note it.
    std::optional<bool> announced_drain;

    /// What a crash says of a run; nothing if it may not have been there.
    [[nodiscard]] std::optional<crash_blame> blame_of(const run_ref& run) const;
    [[nodiscard]] bool operator==(const absence_record&) const = default;
};

/// A run that is known to be on a worker, of a task under which workers have
/// crashed before, and what a crash of that worker would say of it.
struct noted_run
{
    worker_address worker;
    blamed_run blamed;
};

/// A record of the ownership topic, which decides who owns the fleet.
struct ownership_record
{
    enum class kind
    {
        claim,   ///< The sender claims ownership.
        renewal, ///< The owner confirms that it is alive.
        release  ///< The owner gives up ownership.
    };
    kind what = kind::renewal;
    std::string vm;
    std::string address;     ///< Of the sender's interface for its peers.
    std::uint64_t token = 0; ///< The owner's token; unused in claims.
    std::string nonce;       ///< Distinguishes claims of the same sender.
    /// Capacity of the sender's VM; 1,000 is enough to own a large fleet.
    std::uint32_t strength = 0;

    [[nodiscard]] bool operator==(const ownership_record&) const = default;
};

/// Encode and decode records as MessagePack. Errors when decoding: `malformed`.
[[nodiscard]] std::string encode(const accepted_job& job);
[[nodiscard]] result<accepted_job>
decode_accepted_job(const std::string& id, std::string_view text);

[[nodiscard]] std::string encode(const job_progress& progress);
[[nodiscard]] result<job_progress> decode_job_progress(std::string_view text);

[[nodiscard]] std::string encode(const absence_record& record);
[[nodiscard]] result<absence_record>
decode_absence_record(std::string_view text);

[[nodiscard]] std::string encode(const noted_run& noted);
[[nodiscard]] result<noted_run> decode_noted_run(std::string_view text);

[[nodiscard]] std::string encode(const ownership_record& record);
[[nodiscard]] result<ownership_record>
decode_ownership_record(std::string_view text);

} // namespace acaciastile::fleet
