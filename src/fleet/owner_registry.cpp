#include "fleet/owner.hpp"

namespace acaciastile::fleet
{

namespace
{

/// Limits of what is logged and counted by key, as other systems write keys.
constexpr std::size_t max_reported_registrations = 100;
constexpr std::size_t max_reported_key_bytes = 64;
/// Longest unreadable value that is kept, so that its report tells the fault.
constexpr std::size_t max_unreadable_bytes = 128;
/// Stands for a longer one. It cannot be read either.
constexpr const char* dropped_value = "unreadable";

} // namespace

void fleet_owner::apply_registration(const store_record& record)
{
    if (record.value.empty())
    {
        workers_.unlist(worker_id(record.key), record.offset);
        return;
    }
    const auto registration =
        ports_.foreign.read_registration(record.key, record.value);
    if (!registration)
    {
        refuse_registration(record, registration.error());
        return;
    }
    register_worker(*registration, record.offset);
}

void fleet_owner::register_worker(
    const worker_registration& registration, log_offset offset)
{
    const worker_entry* before = workers_.find(registration.id);
    const bool was_draining =
        before != nullptr && before->registration.draining;
    if (workers_.upsert(registration, offset))
    {
        worker_entry* worker = workers_.find(registration.id);
        workers_.unseal(*worker); // A new process has not seen the token.
        raise_token(*worker);
        worker->next_hold = {};
        if (loaded_ && before == nullptr && !inherited_may_start())
        {
            // The previous owner may have started tasks on it.
            unsealed_workers_.insert(registration.id);
        }
    }
    worker_entry& described = *workers_.find(registration.id);
    if (registration.cold > milliseconds::zero())
    {
        described.cold_until = ports_.clock.now() + registration.cold;
    }
    schedule_poll(described);
    if (registration.draining && !was_draining)
    {
        ports_.events.emit(
            {event_number::worker_draining,
             {{"worker", registration.id.str()},
              {"offset", std::to_string(offset)}}});
    }
}

void fleet_owner::refuse_registration(
    const store_record& record, const error& fault)
{
    report_refused_registration(record, fault);
    const worker_id id(record.key);
    if (loaded_ && workers_.find(id) == nullptr && is_worker_key(record.key) &&
        expired_registrations_.size() < max_unreadable_keys)
    {
        // Tells a successor, once earlier leases have ended, that nothing runs
        // there: it cannot tell the key from that of a worker.
        expired_registrations_.emplace(id, record.offset);
    }
}

void fleet_owner::drop_unreadable_value(store_record& record) const
{
    if (record.value.size() > max_unreadable_bytes &&
        !ports_.foreign.read_registration(record.key, record.value))
    {
        record.value = dropped_value;
    }
}

void fleet_owner::report_refused_registration(
    const store_record& record, const error& fault)
{
    const std::string key = record.key.substr(0, max_reported_key_bytes);
    const bool is_reported = refused_registrations_.contains(key);
    const bool is_new = !is_reported && refused_registrations_.size() <
                                            max_reported_registrations;
    ports_.metrics.count(
        "fleet_registrations_refused",
        is_reported || is_new ? std::string_view(key) : "other",
        1);
    if (!is_new)
    {
        return;
    }
    refused_registrations_.insert(key);
    ports_.events.emit(
        {event_number::registration_refused,
         {{"key", key},
          {"offset", std::to_string(record.offset)},
          {"reason", fault.message}}});
}

void fleet_owner::poll_registry()
{
    ports_.store.read(
        ports_.foreign.registry_topic(),
        registry_next_,
        milliseconds::zero(),
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (page || page.error().code == refusal_code::offset_expired)
                {
                    self.last_store_answer_ = self.ports_.clock.now();
                }
                if (page)
                {
                    for (const store_record& record : page->records)
                    {
                        self.apply_registration(record);
                    }
                    self.registry_next_ = page->end;
                    self.schedule_round();
                }
                else if (page.error().code == refusal_code::offset_expired)
                {
                    self.reload_registry();
                    return;
                }
                self.later(
                    self.settings_.registry_poll_interval,
                    &fleet_owner::poll_registry);
            }));
}

void fleet_owner::reload_registry()
{
    ports_.store.read_newest(
        ports_.foreign.registry_topic(),
        {guarded([](fleet_owner& self, store_record& record)
                 { self.drop_unreadable_value(record); }),
         {}},
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (page)
                {
                    std::set<worker_id> listed;
                    for (const store_record& record : page->records)
                    {
                        listed.insert(worker_id(record.key));
                        self.apply_registration(record);
                    }
                    for (const worker_entry* worker : self.workers_.all())
                    {
                        const worker_id& id = worker->registration.id;
                        if (worker->listed && !listed.contains(id))
                        {
                            self.workers_.unlist(id, page->end);
                        }
                    }
                    self.registry_next_ = page->end;
                    self.schedule_round();
                }
                self.later(
                    self.settings_.registry_poll_interval,
                    &fleet_owner::poll_registry);
            }));
}

} // namespace acaciastile::fleet
