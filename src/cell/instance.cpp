// Start, tick, configuration and shutdown of an instance.

#include "cell/instance.hpp"

#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"
#include "domain/hex.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::size_t name_bytes = 6;

bool is_complete(const instance_ports& ports)
{
    return ports.log != nullptr && ports.vms != nullptr &&
           ports.workers != nullptr && ports.peers != nullptr &&
           ports.events != nullptr && ports.metrics != nullptr &&
           ports.clock != nullptr && ports.make_scheduler && ports.random_bytes;
}

} // namespace

result<std::unique_ptr<instance>> instance::create(
    instance_settings settings, instance_ports ports, std::uint64_t seed)
{
    if (!is_complete(ports))
    {
        return refuse(refusal_code::invalid_value, "a port is missing");
    }
    if (settings.self.id.empty() || settings.self.address.empty())
    {
        return refuse(
            refusal_code::invalid_value,
            "the instance needs an id and an address");
    }
    return std::unique_ptr<instance>(
        new instance(std::move(settings), std::move(ports), seed));
}

instance::instance(
    instance_settings settings, instance_ports ports, std::uint64_t seed)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      random_(seed),
      planner_(claim_planner::create(settings_.self.id, settings_.claims)),
      record_prefix_(
          settings_.self.id.str() + "." +
          to_hex(ports_.random_bytes(name_bytes)) + ".")
{
    log_ = relayed_log::create(
        *ports_.log,
        *ports_.peers,
        settings_.relay,
        [this] { return members_->newest_offset().second; });
    relay_ = std::make_unique<log_relay>(log_->tail());
    settings_.follower.reader.answer_age = [this]
    { return log_->answer_age(); };
    follower_ = cell_follower::create(
        *log_,
        settings_.follower,
        settings_.self.id.str(),
        random_(),
        *ports_.events,
        [this](const cell_record& record, const fold_outcome& outcome)
        { on_cell_record(record, outcome); },
        [this] { on_snapshot_loaded(); });
    writer_ = record_writer::create(
        *ports_.log, cell_stream(), settings_.writer, random_());
    members_ = membership::create(
        settings_.self,
        settings_.members,
        random_(),
        *ports_.peers,
        *ports_.events);
    router_ = shard_router::create(
        settings_.self.id,
        settings_.router,
        random_(),
        follower_->state(),
        *ports_.peers,
        *ports_.clock,
        [this](
            const std::string& method,
            const std::string& body,
            completion<std::string> done)
        { handle_local(method, body, std::move(done)); });
    ports_.workers->on_notice(
        [this, alive = std::weak_ptr<bool>(alive_)](const worker_notice& notice)
        {
            if (alive.expired())
            {
                return;
            }
            for (auto& [id, owner] : owners_)
            {
                owner->on_notice(notice.worker);
            }
        });
    ports_.events->emit(
        {event_number::instance_started,
         {{"instance", settings_.self.id.str()},
          {"address", settings_.self.address}}});
}

instance::~instance()
{
    alive_.reset();
}

void instance::tick(instant /*now*/)
{
    log_->tick(now());
    follower_->tick(now());
    if (writer_->wants_read())
    {
        follower_->poll_soon();
    }
    poll_vms();
    members_->set_offset(follower_->state().applied_through());
    members_->tick(now());
    manage_shards();
    for (auto& [id, owner] : owners_)
    {
        owner->tick();
    }
    advance_releases();
    router_->tick();
    writer_->tick(now());
    if (shutting_down_)
    {
        release_all();
        leave_when_no_shards();
    }
}

void instance::leave_when_no_shards()
{
    if (left_membership_ || !owners_.empty())
    {
        return;
    }
    left_membership_ = true;
    members_->leave(now());
}

const cell_state& instance::cell() const
{
    return follower_->state();
}

instant instance::last_log_contact() const
{
    return follower_->last_contact();
}

bool instance::is_vm_leaving(const worker_id& worker) const
{
    return vms_leaving_.contains(worker);
}

std::string instance::next_record_id()
{
    return record_prefix_ + std::to_string(++last_record_number_);
}

void instance::write_cell(cell_change change, completion<fold_outcome> done)
{
    cell_record record{next_record_id(), std::move(change)};
    std::string body = encode(record);
    std::weak_ptr<bool> alive = alive_;
    writer_->write(
        now(),
        record.id,
        std::move(body),
        settings_.publish_timeout,
        [alive, done = std::move(done)](result<fold_outcome> outcome)
        {
            if (!alive.expired() && done)
            {
                done(std::move(outcome));
            }
        });
}

void instance::on_cell_record(
    const cell_record& record, const fold_outcome& outcome)
{
    writer_->settle(record.id, outcome);
    if (!outcome.accepted())
    {
        return;
    }
    apply_new_configuration();
    if (std::holds_alternative<shard_claimed>(record.change) ||
        std::holds_alternative<shard_released>(record.change))
    {
        next_manage_ = now();
    }
    else if (auto* dead = std::get_if<workers_declared_dead>(&record.change))
    {
        for (auto& [id, owner] : owners_)
        {
            for (const worker_id& worker : dead->workers)
            {
                owner->declare_dead(worker);
            }
        }
    }
}

void instance::apply_new_configuration()
{
    if (cell().inventory_revision() != inventory_applied_)
    {
        inventory_applied_ = cell().inventory_revision();
        on_inventory();
        ports_.events->emit(
            {event_number::configuration_in_force,
             {{"inventory", std::to_string(inventory_applied_)},
              {"instance", settings_.self.id.str()}}});
    }
    if (cell().rules_revision() != rules_applied_)
    {
        rules_applied_ = cell().rules_revision();
        for (auto& [id, owner] : owners_)
        {
            owner->set_rules(cell().rules_in_force());
        }
        ports_.events->emit(
            {event_number::configuration_in_force,
             {{"rules", std::to_string(rules_applied_)},
              {"instance", settings_.self.id.str()}}});
    }
}

void instance::on_snapshot_loaded()
{
    writer_->settle_known([this](const std::string& id)
                          { return cell().outcome_of(id); });
    apply_new_configuration();
    next_manage_ = now();
}

void instance::poll_vms()
{
    if (vm_poll_in_flight_ || now() < next_vm_poll_)
    {
        return;
    }
    vm_poll_in_flight_ = true;
    next_vm_poll_ = now() + settings_.vm_poll;
    std::weak_ptr<bool> alive = alive_;
    ports_.vms->fetch(
        [this, alive](result<std::vector<vm_entry>> listed)
        {
            if (alive.expired())
            {
                return;
            }
            vm_poll_in_flight_ = false;
            if (!listed)
            {
                return;
            }
            vms_leaving_.clear();
            entry_vms_.clear();
            for (const vm_entry& vm : *listed)
            {
                if (vm.role == vm_role::entry)
                {
                    entry_vms_.push_back(vm);
                }
                else if (vm.leaving)
                {
                    vms_leaving_.insert(worker_id(vm.name));
                }
            }
            members_->set_seeds(now(), entry_vms_);
        });
}

bool instance::has_configuration() const
{
    return follower_->started() && cell().inventory_revision() != 0;
}

bool instance::ready() const
{
    return !shutting_down_ && has_configuration();
}

void instance::begin_shutdown(instant /*now*/)
{
    if (shutting_down_)
    {
        return;
    }
    shutting_down_ = true;
    shutdown_started_ = now();
    ports_.events->emit(
        {event_number::instance_stopping,
         {{"instance", settings_.self.id.str()}}});
}

bool instance::finished() const
{
    if (!shutting_down_)
    {
        return false;
    }
    if (now() - shutdown_started_ >= settings_.shutdown_timeout)
    {
        return true;
    }
    return owners_.empty() && calls_in_hand_ == 0 && router_->in_hand() == 0 &&
           writer_->pending() == 0;
}

} // namespace acaciastile
