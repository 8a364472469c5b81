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

/// An instance that takes part in membership.
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
    milliseconds suspicion{3'000}; ///< Time from suspected to dead.
    std::uint32_t indirect_probes = 2;
    std::uint32_t updates_in_message = 8; ///< Maximum updates in a message.
    std::uint32_t updates_in_burst = 24;  ///< The maximum if more are queued.
    /// Time between contacts of instances that are dead or not yet known.
    milliseconds contact_interval{2'000};
    milliseconds sync_interval{10'000}; ///< Between comparisons of lists.
    std::uint32_t sync_entries = 16;    ///< Maximum entries in a list page.
    /// How long a dead member stays in the list.
    milliseconds dead_member_retention{86'400'000};
};

/// Detects which instances are alive, by a SWIM protocol: one random probe an
/// interval, indirect probes, suspicions that a member can refute, and updates
/// carried by the probes. The number of bytes that an instance sends does not
/// grow with the number of instances.
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

    /// Sets the instances to contact, from the VM list and the settings.
    virtual void set_seeds(instant now, const std::vector<vm_entry>& vms) = 0;

    virtual void tick(instant now) = 0;

    /// Handles a peer's call whose method begins with `member.`.
    virtual void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) = 0;

    /// Tells a few other members that this instance leaves; they spread it.
    virtual void leave(instant now) = 0;

    /// Sets the last offset of the cell's stream that this instance has
    /// applied. Probes carry it to the other members.
    virtual void set_offset(log_offset folded) = 0;
    /// The highest offset that any peer has reported, and that peer's
    /// address; zero and an empty address if none has.
    [[nodiscard]] virtual std::pair<log_offset, std::string>
    newest_offset() const = 0;

    /// The live members, this instance included, sorted by id. A suspected
    /// member counts as alive.
    [[nodiscard]] virtual std::vector<member> alive() const = 0;
    [[nodiscard]] virtual bool is_alive(const instance_id& id) const = 0;
    /// True if the member is suspected or dead.
    [[nodiscard]] virtual bool is_suspected(const instance_id& id) const = 0;
    /// When this instance learned that the member is dead or has left;
    /// `instant::max()` if it is alive or unknown.
    [[nodiscard]] virtual instant dead_since(const instance_id& id) const = 0;
};

} // namespace acaciastile
