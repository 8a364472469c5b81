#pragma once

#include "cell/log_tail.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"
#include "platform/peer_gateway.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace acaciastile
{

struct relayed_log_settings
{
    milliseconds log_timeout{1'500}; ///< Then the read goes to a peer.
    milliseconds peer_timeout{1'000};
    /// How long reads go directly to a peer after the log has failed.
    milliseconds log_retry{2'000};
    /// A peer's answer is used only if it is fresher than the local cache by
    /// at least this much. Without this bound peers would serve each other
    /// stale data and an outage of the log itself would go unnoticed.
    milliseconds least_gain{100};
    std::size_t tail_bytes = 4 * 1024 * 1024;
};

/// Log decorator for an instance that may lose its connection to the log: if a
/// read of the cell's stream fails, it is sent to a peer instead. All other
/// calls pass through unchanged. Sits between the log adapter and the follower.
class relayed_log : public log_service
{
public:
    /// Returns the address of the peer to read from; empty if there is none.
    using peer_choice = std::function<std::string()>;

    /// The log and the gateway must outlive the result.
    [[nodiscard]] static std::unique_ptr<relayed_log> create(
        log_service& log,
        peer_gateway& peers,
        relayed_log_settings settings,
        peer_choice choose_peer);

    /// Must be called before the `tick` of the followers.
    virtual void tick(instant now) = 0;

    /// Age of the data in the last answer when its read was sent: zero if it
    /// came from the log, else the time since the peer last reached the head.
    /// Meant for `stream_reader_settings::answer_age`.
    [[nodiscard]] virtual milliseconds answer_age() const noexcept = 0;

    /// The cache of entries that were read, for use by `log_relay`.
    [[nodiscard]] virtual const log_tail& tail() const noexcept = 0;
};

} // namespace acaciastile
