#pragma once

#include "domain/event_sink.hpp"
#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "platform/peer_gateway.hpp"
#include "platform/vm_list.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

/// One instance as the others know it.
struct member
{
    instance_id id;
    data_centre_name data_centre;
    std::string address;
    std::uint64_t incarnation = 0;

    [[nodiscard]] bool operator==(const member&) const = default;
};

struct membership_settings
{
    milliseconds probe_interval{1'000};
    milliseconds probe_timeout{400};
    milliseconds suspicion{3'000}; ///< From suspected to dead.
    std::uint32_t indirect_probes = 2;
    std::uint32_t updates_in_message = 8; ///< Bound of what is passed on.
    std::uint32_t updates_in_burst = 24;  ///< The bound with more waiting.
    milliseconds contact_interval{2'000}; ///< Tries of dead or new instances.
    milliseconds sync_interval{10'000};   ///< Comparisons of whole lists.
    std::uint32_t sync_entries = 16;      ///< Bound of one page of a list.
    milliseconds dead_kept{86'400'000};   ///< Then a dead one is forgotten.
};

/// Which instances are alive: one random probe an interval, indirect probes,
/// suspicion that the suspected can deny, and news passed on with the probes.
/// The bytes an instance sends do not grow with the number of instances.
class membership
{
public:
    [[nodiscard]] static std::unique_ptr<membership> create(
        member self,
        membership_settings settings,
        std::uint64_t seed,
        peer_gateway& peers,
        event_sink& events);

    virtual ~membership() = default;

    /// Instances to try, from the VM list and the settings.
    virtual void set_seeds(instant now, const std::vector<vm_entry>& vms) = 0;

    virtual void tick(instant now) = 0;

    /// Handles a peer's call whose method begins with `member.`.
    virtual void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) = 0;

    /// Tells the others that this instance leaves.
    virtual void leave(instant now) = 0;

    /// A value that probes carry to the others: the newest offset folded of
    /// the cell's stream.
    virtual void set_offset(log_offset folded) = 0;
    /// The newest offset that any peer told of, and that peer's address;
    /// empty where none was heard.
    [[nodiscard]] virtual std::pair<log_offset, std::string>
    newest_offset() const = 0;

    /// Itself included, sorted by id. A suspected one counts as alive.
    [[nodiscard]] virtual std::vector<member> alive() const = 0;
    [[nodiscard]] virtual bool is_alive(const instance_id& id) const = 0;
    /// True from the moment that it was suspected, also once it is dead.
    [[nodiscard]] virtual bool is_suspected(const instance_id& id) const = 0;
    /// Since when this instance knows it to be dead; `instant::max()` where
    /// it is alive or was never heard of. Also of one that left.
    [[nodiscard]] virtual instant dead_since(const instance_id& id) const = 0;
};

} // namespace acaciastile
