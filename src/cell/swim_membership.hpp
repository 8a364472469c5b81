#pragma once

#include "cell/member_message.hpp"
#include "cell/member_table.hpp"
#include "cell/membership.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// SWIM membership with two additions: a final probe before a member is
/// declared dead, and anti-entropy by comparing digests of the lists.
class swim_membership final : public membership
{
public:
    swim_membership(
        member self,
        membership_settings settings,
        std::uint64_t seed,
        peer_gateway& peers,
        event_sink& events);

    void set_seeds(instant now, const std::vector<vm_entry>& vms) override;
    void tick(instant now) override;
    void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) override;
    void leave(instant now) override;
    void set_offset(log_offset folded) override { offset_ = folded; }
    [[nodiscard]] std::pair<log_offset, std::string>
    newest_offset() const override
    {
        return newest_;
    }
    [[nodiscard]] std::vector<member> alive() const override;
    [[nodiscard]] bool is_alive(const instance_id& id) const override;
    [[nodiscard]] bool is_suspected(const instance_id& id) const override;
    [[nodiscard]] instant dead_since(const instance_id& id) const override;

private:
    /// A running probe of one member: first direct, then through others.
    struct probe
    {
        instant indirect_at{};
        instant end{};
        bool indirect_sent = false;
        bool final_probe = false; ///< If it fails, the member is dead.
    };

    /// An instance to contact: one that this instance does not know to be
    /// alive or, while joining, any.
    struct missing_instance
    {
        instance_id id;
        std::string address;
    };

    /// Whether the next page is requested as soon as one has arrived.
    enum class page_walk
    {
        single_page,
        all_pages
    };

    void first_tick(instant now);
    void handle_pause(instant now);
    void start_due_probe();
    void check_suspicions();
    void advance_probes();
    void end_probe(const instance_id& id);
    void start_probe(const member& target);
    void send_ping(const member& target);
    void send_indirect(const member& target, std::size_t helpers);
    void on_ping_reply(const instance_id& target, const std::string& body);
    void
    relay_probe(const probe_request& request, completion<std::string> done);

    void contact_missing();
    void compare_lists();
    void
    send_sync(const std::string& address, sync_request message, page_walk walk);
    [[nodiscard]] sync_request make_sync(const instance_id& cursor) const;
    void on_sync_reply(
        const std::string& address,
        const std::string& body,
        page_walk walk,
        bool has_page);
    [[nodiscard]] std::string answer_sync(const sync_request& request);
    bool merge_page(const std::vector<member_update>& updates);

    [[nodiscard]] ping_message
    message_to(const instance_id& to, std::uint64_t incarnation);
    void apply_message(const ping_message& message);
    void observe_offset(log_offset offset, const std::string& address);

    [[nodiscard]] const member* next_in_round();
    [[nodiscard]] std::vector<member>
    random_alive(std::size_t most, const instance_id& without);
    [[nodiscard]] std::vector<missing_instance> missing() const;
    [[nodiscard]] std::size_t random_below(std::size_t bound);

    /// Wraps a handler so that it does nothing once this object is destroyed.
    template<class Handler>
    [[nodiscard]] completion<std::string> guarded(Handler handler)
    {
        return [weak = std::weak_ptr<char>(token_),
                handler = std::move(handler)](result<std::string> reply)
        {
            if (!weak.expired())
            {
                handler(std::move(reply));
            }
        };
    }

    membership_settings settings_;
    std::mt19937_64 random_;
    peer_gateway& peers_;
    member_table table_;
    std::shared_ptr<char> token_ = std::make_shared<char>();

    instant now_{};
    instant last_tick_{};
    bool ticked_ = false;
    bool left_ = false;
    instant next_probe_{};
    instant next_check_{};
    instant next_contact_{};
    instant next_sync_{};
    std::vector<instance_id> round_; ///< Left to probe, in random order.
    std::map<instance_id, probe> probes_;
    /// When to probe again the members that this instance was first to
    /// suspect.
    std::map<instance_id, instant> next_recheck_;
    std::vector<vm_entry> seeds_;
    std::string unknown_to_;  ///< A peer that does not list this instance.
    instance_id sync_cursor_; ///< Where the next list comparison starts.
    log_offset offset_ = 0;
    std::pair<log_offset, std::string> newest_{};
};

} // namespace acaciastile::impl
