#pragma once

#include "domain/result.hpp"
#include "fleet/configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// What is kept of one step in one occurrence.
struct step_progress
{
    std::vector<bool> done; ///< By task index; shorter where the rest is not.
    /// Numbers of the failed runs of each task: an end may be listed again to
    /// the next owner, and counts once.
    std::map<std::uint32_t, std::vector<run_number>> failures;
    std::vector<run_number> gang_failures; ///< Of the step as a whole.

    [[nodiscard]] bool operator==(const step_progress&) const = default;
};

/// What is kept of a job besides its request. Written by the owner alone.
struct job_progress
{
    job_state state = job_state::queued;
    wall_time ended{};   ///< Where the state is final.
    bool excess = false; ///< Its account was over its rate.
    /// By occurrence, then by step.
    std::vector<std::vector<step_progress>> steps;

    [[nodiscard]] bool operator==(const job_progress&) const = default;
};

/// What may run on a worker that its owner has lost sight of.
struct absence_record
{
    std::uint64_t incarnation = 0;
    std::string address;
    std::vector<std::pair<task_ref, run_number>> runs;

    [[nodiscard]] bool operator==(const absence_record&) const = default;
};

/// Who owns the fleet, as told in the topic of ownership.
struct ownership_record
{
    enum class kind
    {
        claim,   ///< The sender becomes the owner.
        renewal, ///< The owner is alive.
        release  ///< The owner gives up.
    };
    kind what = kind::renewal;
    std::string vm;
    std::string address;     ///< Of the owner's interface for its peers.
    std::uint64_t token = 0; ///< Of renewals and releases.
    std::string nonce;       ///< Tells a sender's own claims apart.
    /// Of the sender's VM: 1,000 is one that can decide for a large fleet.
    std::uint32_t strength = 0;

    [[nodiscard]] bool operator==(const ownership_record&) const = default;
};

/// Records are MessagePack. Errors of the decoders: `malformed`.
[[nodiscard]] std::string encode(const accepted_job& job);
[[nodiscard]] result<accepted_job>
decode_accepted_job(const std::string& id, std::string_view text);

[[nodiscard]] std::string encode(const job_progress& progress);
[[nodiscard]] result<job_progress> decode_job_progress(std::string_view text);

[[nodiscard]] std::string encode(const absence_record& record);
[[nodiscard]] result<absence_record>
decode_absence_record(std::string_view text);

[[nodiscard]] std::string encode(const ownership_record& record);
[[nodiscard]] result<ownership_record>
decode_ownership_record(std::string_view text);

} // namespace acaciastile::fleet
