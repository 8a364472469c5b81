#pragma once

#include "fleet/advice_dispatcher.hpp"
#include "fleet/owner.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace acaciastile::edge
{

/// HTTP paths of the calls between VMs.
namespace peer_paths
{
inline constexpr const char* work = "/v1/fleet/work";
inline constexpr const char* state = "/v1/fleet/state";
inline constexpr const char* cancel = "/v1/fleet/cancel";
/// The number of waiting jobs as text; VMs of earlier builds ask for it.
inline constexpr const char* pending = "/v1/fleet/pending";
/// The number of waiting jobs with its age.
inline constexpr const char* count = "/v1/fleet/count";
inline constexpr const char* accept = "/v1/fleet/accept";
/// Liveness check. The owner replies at once, even while it is loading, with
/// the milliseconds since its last reply from the store.
inline constexpr const char* alive = "/v1/fleet/alive";
} // namespace peer_paths

/// Request for the next policy service query. Carries the result of this VM's
/// previous query, if there was one.
struct work_request
{
    instance_id vm;
    milliseconds wait{0};             ///< Long-poll time.
    std::uint64_t config_version = 0; ///< Current version at that VM.
    struct answer
    {
        fleet::step_id step;
        std::optional<fleet::permits> granted; ///< Empty if the query failed.
        milliseconds age{0}; ///< Time since the policy service replied.
        /// `permit_request::number` of the query, so that the owner takes no
        /// repeated request for the answer to a later query.
        std::uint64_t question = 0;
    };
    std::optional<answer> last_answer;
};

/// All messages are encoded as MessagePack. Decoders fail with `malformed`.
/// VMs of different builds exchange them: new fields are added at the end of
/// their array, where earlier builds ignore them, and may be missing.
[[nodiscard]] std::string encode(const work_request& request);
[[nodiscard]] result<work_request> decode_work_request(std::string_view text);

/// The owner's reply to a `work_request`. It carries the configuration so that
/// a VM whose requests the store rejects still receives updates.
struct work_reply
{
    std::optional<fleet::permit_request> question;
    std::uint64_t config_version = 0;
    milliseconds config_age{0}; ///< Time since the store confirmed it.
    /// Stored form; empty if the VM already has this version.
    std::string config;
    /// Fencing token of the owner if the store rejects its requests, else zero.
    std::uint64_t failing_token = 0;
    /// Time from the arrival of the request to this reply; empty from an owner
    /// of a build that does not tell.
    std::optional<milliseconds> held = milliseconds{0};
};

/// Request from another VM to store a job.
struct accept_request
{
    fleet::accepted_job job;
    milliseconds deadline{0};
};

[[nodiscard]] std::string encode(const work_reply& reply);
[[nodiscard]] result<work_reply> decode_work_reply(std::string_view text);

[[nodiscard]] std::string encode(const accept_request& request);
[[nodiscard]] result<accept_request>
decode_accept_request(std::string_view text);

[[nodiscard]] std::string encode(const fleet::waiting_count& count);
[[nodiscard]] result<fleet::waiting_count>
decode_waiting_count(std::string_view text);

[[nodiscard]] std::string encode(const fleet::job_view& view);
[[nodiscard]] result<fleet::job_view> decode_job_view(std::string_view text);

} // namespace acaciastile::edge
