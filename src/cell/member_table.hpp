#pragma once

#include "cell/member_message.hpp"
#include "domain/event_sink.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciastile::impl
{

/// What is held of one other member.
struct member_record
{
    member about;
    member_status status = member_status::alive;
    instant since{};         ///< Of the status.
    instant suspicion_end{}; ///< Where suspected.
};

[[nodiscard]] inline bool counts_as_alive(member_status status) noexcept
{
    return status == member_status::alive || status == member_status::suspected;
}

[[nodiscard]] inline bool counts_as_alive(const member_record& record) noexcept
{
    return counts_as_alive(record.status);
}

/// Whether accepted news are passed on. A page of a list is not: every member
/// compares its list itself.
enum class news_use
{
    pass,
    keep
};

/// What this instance holds of itself and all others, by the precedence of
/// SWIM (Das, Gupta and Motivala, 2002): a higher incarnation wins; of the
/// same one, dead or left before suspected before alive. Keeps the news that
/// are to be passed on, each for a bounded number of messages.
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
    /// Null where never heard of.
    [[nodiscard]] const member_record*
    find(const instance_id& id) const noexcept;
    /// Members that are alive or suspected, itself included.
    [[nodiscard]] std::size_t alive_count() const noexcept
    {
        return alive_count_;
    }

    [[nodiscard]] std::size_t suspected_count() const noexcept
    {
        return suspected_count_;
    }

    /// Takes one piece of news in; a false one about itself is refuted.
    /// True where it changed anything.
    bool apply(
        instant now,
        const member_update& update,
        news_use use = news_use::pass);

    /// What the header of a message says: the sender has this incarnation.
    /// Says nothing where the sender was never heard of.
    void heard(instant now, const instance_id& from, std::uint64_t incarnation);

    /// Marks as suspected; keeps the first deadline.
    void suspect(instant now, const instance_id& id);
    void declare_dead(instant now, const instance_id& id);
    /// The first peer has answered. What it told of this instance's own id
    /// belongs to an earlier process; the incarnation is set above it.
    void joined(const std::vector<member_update>& told);
    [[nodiscard]] bool is_joining() const noexcept { return joining_; }
    /// Announces that this instance goes; nothing is refuted any more.
    void leave();
    /// Gives every suspicion its whole time again, after a pause.
    void restart_suspicions(instant now);
    /// Drops members that are dead for longer than that.
    void forget_dead(instant now, milliseconds after);

    /// What this instance holds of that member, to be told to it, where that
    /// is not simply alive with the given incarnation.
    [[nodiscard]] std::vector<member_update>
    correction_for(const instance_id& id, std::uint64_t incarnation) const;

    /// How many members there is news of.
    [[nodiscard]] std::size_t news_count() const noexcept
    {
        return news_.size();
    }
    /// News to add to a message, the least often sent first.
    [[nodiscard]] std::vector<member_update> take_news(std::size_t most);

    /// Up to `most` members whose ids follow `cursor`, itself included.
    [[nodiscard]] std::vector<member_update>
    page(const instance_id& cursor, std::size_t most) const;

    /// XXH64 over the ids and incarnations of all that are alive.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct queued_news
    {
        member_update update;
        std::uint32_t sent = 0;
    };

    bool apply_to_self(const member_update& update);
    bool apply_denial(instant now, const member_update& update, news_use use);
    void change(instant now, member_record& record, member_status status);
    void announce_self();
    void pass_on(const member_update& update);
    void tell(event_number number, const member& about);
    [[nodiscard]] std::uint32_t transmissions() const noexcept;

    member self_;
    milliseconds suspicion_;
    event_sink& events_;
    std::map<instance_id, member_record> others_;
    std::map<instance_id, queued_news> news_;
    std::size_t alive_count_ = 1;
    std::size_t suspected_count_ = 0;
    bool joining_ = true;
    bool leaving_ = false;
};

} // namespace acaciastile::impl
