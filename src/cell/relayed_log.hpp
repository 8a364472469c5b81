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
    milliseconds log_timeout{1'500}; ///< Then a peer is asked.
    milliseconds peer_timeout{1'000};
    /// After a failure of the log peers are asked first for this long.
    milliseconds log_retry{2'000};
    /// A peer's answer counts only where it is fresher by this much; else an
    /// outage of the log itself would not show.
    milliseconds least_gain{100};
    std::size_t tail_bytes = 4 * 1024 * 1024;
};

/// The log with a way round for an instance that is cut off from it: reads of
/// the cell's stream that fail are asked of a peer. All other calls pass
/// through unchanged. Sits between the log's adapter and the follower.
class relayed_log : public log_service
{
public:
    /// Gives the address of the peer to ask; empty where there is none.
    using peer_choice = std::function<std::string()>;

    /// The log and the gateway must outlive it.
    [[nodiscard]] static std::unique_ptr<relayed_log> create(
        log_service& log,
        peer_gateway& peers,
        relayed_log_settings settings,
        peer_choice choose_peer);

    /// To be called before the followers' own `tick`.
    virtual void tick(instant now) = 0;

    /// How old the last answer was beyond its own call: zero where the log
    /// gave it, else the age of the peer's contact. Meant for
    /// `stream_reader_settings::answer_age`.
    [[nodiscard]] virtual milliseconds answer_age() const noexcept = 0;

    /// What was read, for `log_relay`.
    [[nodiscard]] virtual const log_tail& tail() const noexcept = 0;
};

} // namespace acaciastile
