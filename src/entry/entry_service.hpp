#pragma once

#include "cell/control.hpp"
#include "domain/event_sink.hpp"
#include "entry/api_context.hpp"
#include "entry/http_listener.hpp"
#include "entry/peer_api.hpp"
#include "entry/readiness.hpp"
#include "observe/metrics.hpp"

#include <memory>

namespace acaciastile
{

struct entry_settings
{
    listener_settings external; ///< Callers and operators.
    listener_settings internal; ///< Other instances and workers.
    call_bounds bounds;
};

/// What the entry works with; all outlive it.
struct entry_ports
{
    control& cell;
    control_thread& thread;
    const clock_source& clock;
    metrics& measured;
    event_sink& events;
    notice_handler notices;
};

/// The interfaces of one instance towards callers, operators, other instances
/// and workers.
class entry_service
{
public:
    /// Listens on both addresses. Errors: those of `http_listener`.
    [[nodiscard]] static result<std::unique_ptr<entry_service>>
    create(const entry_settings& settings, entry_ports ports);

    /// On the control thread, at every tick of the cell.
    void tick(instant now);

    /// Reads the certificates again; the old ones stay in use where that
    /// fails. Errors: those of the files.
    [[nodiscard]] result<void> reload_tls();

    /// Readiness goes off; answers close their connections.
    void begin_shutdown();

    /// Stops to listen and waits until every request in hand has its answer.
    /// False where the bound passed first.
    [[nodiscard]] bool finish(milliseconds bound);

    [[nodiscard]] std::string external_address() const;
    [[nodiscard]] std::string internal_address() const;
    [[nodiscard]] std::size_t in_hand() const;

private:
    explicit entry_service(entry_ports ports);

    entry_ports ports_;
    readiness state_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<http_listener> external_;
    std::unique_ptr<http_listener> internal_;
};

} // namespace acaciastile
