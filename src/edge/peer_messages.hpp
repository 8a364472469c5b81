#pragma once

#include "fleet/advice_board.hpp"
#include "fleet/owner.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace acaciastile::edge
{

/// Paths of the owner's interface for the other VMs.
namespace peer_paths
{
inline constexpr const char* work = "/v1/fleet/work";
inline constexpr const char* state = "/v1/fleet/state";
inline constexpr const char* cancel = "/v1/fleet/cancel";
inline constexpr const char* pending = "/v1/fleet/pending";
inline constexpr const char* accept = "/v1/fleet/accept";
/// Answered at once by the owner, also while it loads, with the milliseconds
/// since the store last answered it.
inline constexpr const char* alive = "/v1/fleet/alive";
} // namespace peer_paths

/// A VM brings the answer to its last question, if any, and asks for another.
struct work_request
{
    instance_id vm;
    milliseconds wait{0};
    std::uint64_t config_version = 0; ///< In force at that VM.
    struct answer
    {
        fleet::step_id step;
        std::optional<fleet::permits> granted; ///< Nothing: no answer came.
        milliseconds age{0};
    };
    std::optional<answer> brought;
};

/// Bodies are MessagePack. Errors of the decoders: `malformed`.
[[nodiscard]] std::string encode(const work_request& request);
[[nodiscard]] result<work_request> decode_work_request(std::string_view text);

/// What the owner gives a VM that comes for work. The configuration travels
/// with it, so that a VM which the store turns away follows it all the same.
struct work_reply
{
    std::optional<fleet::permit_request> question;
    std::uint64_t config_version = 0;
    milliseconds config_age{0}; ///< Since the store confirmed it.
    std::string config;         ///< As stored; empty where the VM has it.
    /// Token of the owner where the store turns it away; zero: it does not.
    std::uint64_t failing_token = 0;
};

/// A job that another VM hands over to be stored.
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

[[nodiscard]] std::string encode(const fleet::job_view& view);
[[nodiscard]] result<fleet::job_view> decode_job_view(std::string_view text);

} // namespace acaciastile::edge
