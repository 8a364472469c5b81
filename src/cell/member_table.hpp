#pragma once

#include "cell/member_message.hpp"
#include "domain/event_sink.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciastile::impl
{

/// What this instance knows about another member.
struct member_record
{
    member info;
    member_status status = member_status::alive;
    instant since{};         ///< When the status last changed.
    instant suspicion_end{}; ///< Deadline of the suspicion; if suspected.
};

[[nodiscard]] inline bool counts_as_alive(member_status status) noexcept
{
    return status == member_status::alive || status == member_status::suspected;
}

[[nodiscard]] inline bool counts_as_alive(const member_record& record) noexcept
{
    return counts_as_alive(record.status);
}

/// Whether an accepted update is sent on to other members. Updates from a
/// page of a list are not, as every member compares its own list.
enum class gossip_mode
{
    disseminate,
    local_only
};

/// The membership list of this instance. Updates are merged by the precedence
/// of SWIM (Das, Gupta and Motivala, 2002): the higher incarnation wins; for
/// equal incarnations dead and left override suspected, which overrides
/// alive. Also queues accepted updates for dissemination, each in a bounded
/// number of messages.
class member_table
{
public:
    member_table(member self, milliseconds suspicion, event_sink& events);

    [[nodiscard]] const member& self() const noexcept { return self_; }
    [[nodiscard]] const std::map<instance_id, member_record>&
    others() const noexcept
    {
        return others_;
    }
    /// Null if the member is not in the list.
    [[nodiscard]] const member_record*
    find(const instance_id& id) const noexcept;
    /// Number of alive and suspected members, this instance included.
    [[nodiscard]] std::size_t alive_count() const noexcept
    {
        return alive_count_;
    }

    [[nodiscard]] std::size_t suspected_count() const noexcept
    {
        return suspected_count_;
    }

    /// Merges one update; refutes a false one about this instance. True if it
    /// changed anything.
    bool apply(
        instant now,
        const member_update& update,
        gossip_mode mode = gossip_mode::disseminate);

    /// Records the sender's incarnation from the header of a message. Has no
    /// effect if the sender is not in the list.
    void observe_incarnation(
        instant now, const instance_id& from, std::uint64_t incarnation);

    /// Marks an alive member as suspected; a suspicion that is already
    /// running keeps its deadline.
    void suspect(instant now, const instance_id& id);
    void declare_dead(instant now, const instance_id& id);
    /// Ends joining, once the first peer has answered. What that peer reports
    /// about this instance's id stems from an earlier process, so the
    /// incarnation is set above it.
    void complete_join(const std::vector<member_update>& reported);
    [[nodiscard]] bool is_joining() const noexcept { return joining_; }
    /// Announces that this instance leaves; it refutes nothing from then on.
    void leave();
    /// Restarts the timeout of every suspicion, after a pause of the process.
    void restart_suspicions(instant now);
    /// Removes members that have been dead or gone for longer than `after`.
    void forget_dead(instant now, milliseconds after);

    /// The update to send to a member if this list does not show it as alive
    /// with the given incarnation; empty otherwise.
    [[nodiscard]] std::vector<member_update>
    correction_for(const instance_id& id, std::uint64_t incarnation) const;

    /// Number of updates queued for dissemination, at most one a member.
    [[nodiscard]] std::size_t queued_update_count() const noexcept
    {
        return queued_updates_.size();
    }
    /// Up to `most` queued updates to add to a message, the least often sent
    /// first.
    [[nodiscard]] std::vector<member_update> take_updates(std::size_t most);

    /// Up to `most` members whose ids follow `cursor`, in order of id; this
    /// instance included.
    [[nodiscard]] std::vector<member_update>
    page(const instance_id& cursor, std::size_t most) const;

    /// XOR of the XXH64 hashes of id and incarnation of every live member.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct queued_update
    {
        member_update update;
        std::uint32_t sent = 0;
    };

    bool apply_to_self(const member_update& update);
    bool apply_refutation(
        instant now, const member_update& update, gossip_mode mode);
    void change(instant now, member_record& record, member_status status);
    void announce_self();
    void enqueue_update(const member_update& update);
    void emit_event(event_number number, const member& info);
    [[nodiscard]] std::uint32_t transmission_limit() const noexcept;

    member self_;
    milliseconds suspicion_;
    event_sink& events_;
    std::map<instance_id, member_record> others_;
    std::map<instance_id, queued_update> queued_updates_;
    std::size_t alive_count_ = 1;
    std::size_t suspected_count_ = 0;
    bool joining_ = true;
    bool leaving_ = false;
};

} // namespace acaciastile::impl
