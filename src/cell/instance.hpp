#pragma once

#include "cell/cell_follower.hpp"
#include "cell/claim_planner.hpp"
#include "cell/control.hpp"
#include "cell/instance_settings.hpp"
#include "cell/log_relay.hpp"
#include "cell/membership.hpp"
#include "cell/record_writer.hpp"
#include "cell/relayed_log.hpp"
#include "cell/shard_host.hpp"
#include "cell/shard_map.hpp"
#include "cell/shard_owner.hpp"
#include "cell/shard_router.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace acaciastile
{

/// One instance: follows the cell's stream, takes part in the membership
/// protocol, owns the shards that it claimed, and serves callers, operators and
/// peers. Single-threaded.
class instance final : public control, private shard_host
{
public:
    /// Errors: `invalid_value` if a port, the id or the address of the instance
    /// is missing.
    [[nodiscard]] static result<std::unique_ptr<instance>> create(
        instance_settings settings, instance_ports ports, std::uint64_t seed);
    ~instance() override;

    void submit(
        instant now,
        presented_key key,
        job_spec spec,
        completion<job_status> done) override;
    void request(
        instant now,
        presented_key key,
        job_spec spec,
        completion<request_answer> done) override;
    void status(
        instant now,
        presented_key key,
        job_id job,
        bool why,
        completion<job_status> done) override;
    void cancel(
        instant now,
        presented_key key,
        job_id job,
        completion<job_status> done) override;
    void list(
        instant now,
        presented_key key,
        job_filter filter,
        completion<std::vector<job_status>> done) override;
    void publish_inventory(
        instant now,
        presented_key key,
        revision base,
        inventory content,
        completion<published> done) override;
    void publish_rules(
        instant now,
        presented_key key,
        revision base,
        rules content,
        completion<published> done) override;
    void grant_key(
        instant now,
        presented_key key,
        team_name team,
        key_right right,
        completion<granted_key> done) override;
    void withdraw_key(
        instant now,
        presented_key key,
        key_id id,
        completion<published> done) override;
    void drain(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        bool draining,
        completion<published> done) override;
    void declare_dead(
        instant now,
        presented_key key,
        std::vector<worker_id> workers,
        completion<published> done) override;
    void configuration(
        instant now,
        presented_key key,
        completion<std::vector<configuration_in_force>> done) override;
    void documents(
        instant now,
        presented_key key,
        completion<documents_in_force> done) override;
    void teams(
        instant now,
        presented_key key,
        completion<std::vector<team_status>> done) override;
    void workers(
        instant now,
        presented_key key,
        completion<std::vector<worker_status>> done) override;
    void
    dump(instant now, presented_key key, completion<std::string> done) override;
    void on_peer(
        instant now,
        const std::string& method,
        const std::string& body,
        completion<std::string> done) override;

    [[nodiscard]] bool ready() const override;
    void begin_shutdown(instant now) override;
    [[nodiscard]] bool finished() const override;
    void tick(instant now) override;

    /// Shards that this instance owns and that are open for work.
    [[nodiscard]] std::vector<shard_id> owned_shards() const;
    [[nodiscard]] const shard_owner* owner_of(const shard_id& id) const;
    [[nodiscard]] const membership& members() const { return *members_; }
    [[nodiscard]] const cell_state& cell() const override;

private:
    instance(
        instance_settings settings, instance_ports ports, std::uint64_t seed);

    // shard_host.
    void write_cell(cell_change change, completion<fold_outcome> done) override;
    [[nodiscard]] std::optional<shard_id> find_shard_for(
        const job_spec& spec, const shard_id& without) const override;
    void hand_over_job(
        const shard_id& to,
        const job_spec& spec,
        completion<bool> done) override;
    [[nodiscard]] instant last_log_contact() const override;
    void confirm_claims() override { follower_->poll_soon(); }
    [[nodiscard]] bool is_vm_leaving(const worker_id& worker) const override;
    [[nodiscard]] std::string next_record_id() override;
    event_sink& events() override { return *ports_.events; }
    metric_sink& metrics() override { return *ports_.metrics; }

    // Configuration and shards.
    void on_cell_record(const cell_record& record, const fold_outcome& outcome);
    void on_snapshot_loaded();
    void apply_new_configuration();
    void on_inventory();
    [[nodiscard]] bool has_configuration() const;
    void poll_vms();
    void manage_shards();
    void claim(const shard_id& shard);
    void gain(const shard_info& shard, const shard_claim& claim);
    void begin_release(const shard_id& shard, const instance_id& successor);
    void advance_releases();
    void write_release(const shard_id& shard, const instance_id& successor);
    void release_all();
    /// Leaves the membership once this instance owns no shard. Callers may
    /// still be waiting for answers then.
    void leave_when_no_shards();
    void set_batch_intervals();
    void report_metrics();

    // Keys.
    [[nodiscard]] result<key_entry> check_key(const presented_key& key) const;
    [[nodiscard]] result<void> check_operator(const presented_key& key) const;
    [[nodiscard]] result<void>
    admit(const presented_key& key, job_spec& spec) const;
    /// Team whose jobs the key may see; empty for an operator, who sees all.
    [[nodiscard]] result<team_name>
    visible_team(const presented_key& key) const;

    // Calls to shards.
    void call_shard(
        const shard_id& shard,
        std::string method,
        nlohmann::json body,
        instant give_up,
        milliseconds try_timeout,
        completion<nlohmann::json> done);
    void call_following_moves(
        const shard_id& shard,
        std::string method,
        nlohmann::json body,
        instant give_up,
        milliseconds try_timeout,
        completion<nlohmann::json> done,
        int hops);
    void handle_local(
        const std::string& method,
        const std::string& body,
        completion<std::string> done);
    void handle_submit(
        shard_owner& owner,
        const nlohmann::json& body,
        completion<std::string> done);
    void handle_request(
        shard_owner& owner,
        const nlohmann::json& body,
        completion<std::string> done);
    [[nodiscard]] nlohmann::json own_configuration() const;
    [[nodiscard]] nlohmann::json own_loads() const;
    [[nodiscard]] nlohmann::json own_workers() const;
    [[nodiscard]] nlohmann::json own_jobs(const nlohmann::json& body) const;

    /// Calls every live member and completes with one entry for each: its
    /// answer or error.
    using member_answers =
        std::vector<std::pair<instance_id, result<nlohmann::json>>>;
    void call_all_members(
        const std::string& method,
        const nlohmann::json& body,
        std::function<void(member_answers)> done);
    void publish(
        const presented_key& key,
        cell_change change,
        completion<published> done);

    [[nodiscard]] instant now() const { return ports_.clock->now(); }

    instance_settings settings_;
    instance_ports ports_;
    std::mt19937_64 random_;
    std::unique_ptr<relayed_log> log_;
    std::unique_ptr<log_relay> relay_;
    std::unique_ptr<cell_follower> follower_;
    std::unique_ptr<record_writer> writer_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<shard_router> router_;
    claim_planner planner_;
    shard_map shards_;
    revision inventory_applied_ = 0;
    revision rules_applied_ = 0;
    std::map<shard_id, std::unique_ptr<shard_owner>> owners_;

    /// Claims being written to the log. True if the shard was released or
    /// never owned, so that no former owner renews leases on it.
    std::map<shard_id, bool> claiming_;
    /// The same for claims that the log accepted.
    std::map<shard_id, bool> gained_unowned_;
    /// Epochs in which a worker refused a seal of this instance.
    std::map<shard_id, shard_epoch> refused_epochs_;
    struct release
    {
        instance_id successor;
        instant started{};
        bool written = false;
    };
    std::map<shard_id, release> releasing_;
    std::set<worker_id> vms_leaving_;
    std::vector<vm_entry> entry_vms_;

    instant next_vm_poll_{};
    bool vm_poll_in_flight_ = false;
    instant next_manage_{};
    bool shutting_down_ = false;
    instant shutdown_started_{};
    bool left_membership_ = false;
    std::size_t calls_in_hand_ = 0;
    std::uint64_t last_record_number_ = 0;
    std::string record_prefix_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciastile
