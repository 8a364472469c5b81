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

/// State of one member as another instance sees it. The values are sent on
/// the wire.
enum class member_status : std::uint8_t
{
    alive,
    suspected,
    dead,
    left,    ///< Announced that it leaves.
    unknown, ///< Not in the sender's list; sent only to that member itself.
    refuted  ///< Refutes a suspicion: as `alive`, but without the address.
};

/// One membership update. The data centre and the address are sent only if
/// the status is `alive`.
struct member_update
{
    member_status status = member_status::alive;
    member info;

    [[nodiscard]] bool operator==(const member_update&) const = default;
};

/// Body of `member.ping` and of its reply.
struct ping_message
{
    instance_id from;
    std::uint64_t incarnation = 0;
    log_offset offset = 0; ///< Last log offset that the sender has applied.
    std::vector<member_update> updates;
};

/// Body of `member.probe`, an indirect probe: asks the receiver to ping
/// `target`. The reply is the reply of `target` to that ping.
struct probe_request
{
    ping_message ping;
    instance_id target;
    std::string target_address;
};

/// Body of `member.sync`: asks for the members whose ids follow `cursor`. The
/// sender's incarnation is zero until it has learned which incarnation the
/// other members have recorded for an earlier process with its id.
struct sync_request
{
    member self;
    log_offset offset = 0;
    std::uint64_t digest = 0;  ///< Of the sender's list of live members.
    instance_id cursor;        ///< Empty at the start of the list.
    std::uint32_t entries = 0; ///< Maximum page size; zero asks for no page.
    std::vector<member_update> updates; ///< The sender's view of the receiver.
};

struct sync_reply
{
    member self;
    log_offset offset = 0;
    std::vector<member_update> updates; ///< Corrections, then the page.
    instance_id cursor; ///< The next page follows this id; empty at the end.
};

/// Maximum number of updates in a received message.
inline constexpr std::size_t max_updates = 256;
/// Maximum length of a name or an address in a received message, in bytes.
inline constexpr std::size_t max_name_bytes = 256;

/// Encode a message as a MessagePack array, fields in declaration order.
[[nodiscard]] std::string encode(const ping_message& message);
[[nodiscard]] std::string encode(const probe_request& message);
[[nodiscard]] std::string encode(const sync_request& message);
[[nodiscard]] std::string encode(const sync_reply& message);

/// Decode a message body. Errors: `malformed`.
[[nodiscard]] result<ping_message> decode_ping(const std::string& body);
[[nodiscard]] result<probe_request> decode_probe(const std::string& body);
[[nodiscard]] result<sync_request> decode_sync_request(const std::string& body);
[[nodiscard]] result<sync_reply> decode_sync_reply(const std::string& body);

} // namespace acaciastile::impl
