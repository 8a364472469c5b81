#pragma once

#include "cell/membership.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile::impl
{

inline constexpr const char* ping_method = "member.ping";
inline constexpr const char* probe_method = "member.probe";
inline constexpr const char* sync_method = "member.sync";

/// What one instance holds of another.
enum class member_status : std::uint8_t
{
    alive,
    suspected,
    dead,
    left,    ///< Went away by itself.
    unknown, ///< Never heard of; only ever said to the member itself.
    denied   ///< Alive after all; as `alive`, but without the address.
};

/// News of one member. Data centre and address are sent only where the
/// status is `alive`.
struct member_update
{
    member_status status = member_status::alive;
    member about;

    [[nodiscard]] bool operator==(const member_update&) const = default;
};

/// Body of `member.ping` and of its reply.
struct ping_message
{
    instance_id from;
    std::uint64_t incarnation = 0;
    log_offset offset = 0; ///< Newest one folded by the sender.
    std::vector<member_update> updates;
};

/// Body of `member.probe`: asks the receiver to ping another member. The
/// reply is the `ping_message` of the receiver, sent once the other answered.
struct probe_request
{
    ping_message ping;
    instance_id target;
    std::string target_address;
};

/// Body of `member.sync`: asks for members whose ids follow `cursor`. The
/// incarnation is zero while the sender does not know what the others hold
/// of an earlier process of the same id.
struct sync_request
{
    member self;
    log_offset offset = 0;
    std::uint64_t digest = 0;  ///< Of all members that the sender holds alive.
    instance_id cursor;        ///< Empty at the start of the list.
    std::uint32_t entries = 0; ///< Most that the reply's page may hold.
    std::vector<member_update> updates; ///< What is held of the receiver.
};

struct sync_reply
{
    member self;
    log_offset offset = 0;
    std::vector<member_update> updates; ///< A page, then other news.
    instance_id cursor; ///< Where the next page starts; empty at the end.
};

/// Most updates that a received message may hold.
inline constexpr std::size_t most_updates = 256;
/// Longest name or address that a received message may hold, in bytes.
inline constexpr std::size_t longest_name = 256;

/// MessagePack arrays in the order of the members above.
[[nodiscard]] std::string encode(const ping_message& message);
[[nodiscard]] std::string encode(const probe_request& message);
[[nodiscard]] std::string encode(const sync_request& message);
[[nodiscard]] std::string encode(const sync_reply& message);

/// Errors: `malformed`.
[[nodiscard]] result<ping_message> decode_ping(const std::string& body);
[[nodiscard]] result<probe_request> decode_probe(const std::string& body);
[[nodiscard]] result<sync_request> decode_sync_request(const std::string& body);
[[nodiscard]] result<sync_reply> decode_sync_reply(const std::string& body);

} // namespace acaciastile::impl
