#include "fleet/worker_table.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

bool worker_entry::has_label(const std::string& label) const
{
    return std::find(
               registration.labels.begin(), registration.labels.end(), label) !=
           registration.labels.end();
}

worker_entry* worker_table::find(const worker_id& id) const
{
    const auto at = workers_.find(id);
    return at == workers_.end() ? nullptr : at->second.get();
}

worker_entry& worker_table::create(const worker_id& id)
{
    auto& entry = workers_[id];
    entry = std::make_unique<worker_entry>();
    entry->handle = static_cast<worker_handle>(by_handle_.size());
    entry->registration.id = id;
    all_.push_back(entry.get());
    by_handle_.push_back(entry.get());
    add_out_of_sight(*entry);
    return *entry;
}

void worker_table::index(worker_entry& worker)
{
    auto& free = free_[worker.registration.service];
    if (free == nullptr)
    {
        free = std::make_unique<impl::fit_index>();
    }
    free->set(worker.handle, worker.free_resources());
    racks_[worker.registration.rack].push_back(&worker);
    worker.evacuated = evacuated_.contains(worker.registration.data_centre);
}

void worker_table::unindex(const worker_entry& worker)
{
    if (const auto at = free_.find(worker.registration.service);
        at != free_.end())
    {
        at->second->erase(worker.handle);
    }
    if (const auto at = racks_.find(worker.registration.rack);
        at != racks_.end())
    {
        std::erase(at->second, &worker);
    }
}

void worker_table::update_free(const worker_entry& worker)
{
    if (const auto at = free_.find(worker.registration.service);
        at != free_.end())
    {
        at->second->set(worker.handle, worker.free_resources());
    }
}

const impl::fit_index*
worker_table::free_capacity(const service_name& service) const
{
    const auto at = free_.find(service);
    return at == free_.end() ? nullptr : at->second.get();
}

const std::vector<worker_entry*>&
worker_table::in_rack(const rack_name& rack) const
{
    static const std::vector<worker_entry*> none;
    const auto at = racks_.find(rack);
    return at == racks_.end() ? none : at->second;
}

void worker_table::add_out_of_sight(worker_entry& worker)
{
    if (!worker.out_of_sight)
    {
        worker.out_of_sight = true;
        out_of_sight_.push_back(&worker);
    }
}

void worker_table::prune_out_of_sight(
    const std::function<bool(const worker_entry&)>& is_settled)
{
    std::erase_if(
        out_of_sight_,
        [&](worker_entry* worker)
        {
            if (!worker->listed || !worker->reachable || !worker->sealed ||
                !is_settled(*worker))
            {
                return false;
            }
            worker->out_of_sight = false;
            return true;
        });
}

void worker_table::set_unreachable(
    worker_entry& worker, bool broke, instant now)
{
    if (worker.reachable)
    {
        worker.silent_since = now;
        worker.connection_broke = broke;
    }
    worker.reachable = false;
    add_out_of_sight(worker);
}

void worker_table::unseal(worker_entry& worker)
{
    worker.sealed = false;
    add_out_of_sight(worker);
}

void worker_table::note_processed(worker_entry& worker, std::uint64_t number)
{
    worker.processed = number;
    if (!worker.ends_pending)
    {
        worker.ends_pending = true;
        pending_ends_.push_back(&worker);
    }
}

std::vector<worker_entry*> worker_table::take_pending_ends()
{
    std::vector<worker_entry*> taken;
    taken.swap(pending_ends_);
    for (worker_entry* worker : taken)
    {
        worker->ends_pending = false;
    }
    return taken;
}

void worker_table::note_address(worker_entry& worker)
{
    const std::string& address = worker.registration.address;
    if (address.empty())
    {
        return;
    }
    const auto [at, added] = by_address_.try_emplace(address, worker.handle);
    worker_entry* other = added ? nullptr : this->at(at->second);
    if (other == &worker)
    {
        return;
    }
    if (other == nullptr || other->registration.address != address)
    {
        at->second = worker.handle;
        return;
    }
    const bool is_later =
        worker.registration.incarnation > other->registration.incarnation;
    worker_entry& later = is_later ? worker : *other;
    const worker_entry& earlier = is_later ? *other : worker;
    const auto add = [&](const worker_id& id)
    {
        if (std::find(
                later.predecessors.begin(), later.predecessors.end(), id) ==
            later.predecessors.end())
        {
            later.predecessors.push_back(id);
        }
    };
    add(earlier.registration.id);
    // The earlier one may never answer again.
    std::for_each(
        earlier.predecessors.begin(), earlier.predecessors.end(), add);
    at->second = later.handle;
}

bool worker_table::upsert(
    const worker_registration& registration, log_offset offset)
{
    worker_entry* entry = find(registration.id);
    if (entry == nullptr)
    {
        entry = &create(registration.id);
        entry->registration = registration;
        entry->described_incarnation = registration.incarnation;
        entry->described_at = offset;
        entry->announced_drain = registration.draining;
        entry->largest_capacity = registration.capacity;
        ++abilities_version_;
        index(*entry);
        note_address(*entry);
        return true;
    }
    if (offset < entry->described_at)
    {
        return false; // A stale read returned an entry that was replaced.
    }
    entry->described_at = offset;
    if (!entry->listed)
    {
        ++abilities_version_;
    }
    entry->listed = true;
    if (registration.incarnation < entry->registration.incarnation)
    {
        return false; // Registration of an earlier incarnation.
    }
    // The runs belong to the known incarnation, which changes only when the
    // worker itself reports a new one.
    const std::uint64_t incarnation = entry->registration.incarnation;
    const bool restarted = registration.incarnation != incarnation;
    if (registration.service != entry->registration.service ||
        registration.capacity != entry->registration.capacity ||
        registration.labels != entry->registration.labels)
    {
        ++abilities_version_;
    }
    unindex(*entry);
    entry->largest_capacity =
        registration.incarnation == entry->described_incarnation
            ? max(entry->largest_capacity, registration.capacity)
            : registration.capacity;
    entry->registration = registration;
    entry->registration.incarnation = incarnation;
    entry->described_incarnation = registration.incarnation;
    entry->announced_drain =
        entry->announced_drain || (!restarted && registration.draining);
    index(*entry);
    note_address(*entry);
    return restarted;
}

void worker_table::set_evacuated(std::set<data_centre_name> evacuated)
{
    evacuated_ = std::move(evacuated);
    for (worker_entry* worker : all_)
    {
        worker->evacuated =
            evacuated_.contains(worker->registration.data_centre);
    }
}

void worker_table::unlist(const worker_id& id, log_offset dropped_at)
{
    if (worker_entry* found = find(id);
        found != nullptr && dropped_at >= found->described_at)
    {
        found->described_at = dropped_at;
        ++abilities_version_;
        found->listed = false;
        found->dropped_at = dropped_at;
        add_out_of_sight(*found);
    }
}

worker_entry&
worker_table::add_unlisted(const worker_address& address, log_offset dropped_at)
{
    worker_entry& entry = create(address.id);
    entry.registration.address = address.address;
    entry.registration.incarnation = address.incarnation;
    entry.listed = false;
    entry.dropped_at = dropped_at;
    note_address(entry);
    return entry;
}

std::vector<worker_id> worker_table::forget_unlisted(
    const std::function<bool(const worker_entry&)>& may_forget)
{
    std::vector<worker_id> forgotten;
    std::erase_if(
        all_,
        [&](worker_entry* worker)
        {
            if (worker->listed || !worker->runs.empty() ||
                worker->hold_in_flight || !may_forget(*worker))
            {
                return false;
            }
            forgotten.push_back(worker->registration.id);
            unindex(*worker);
            std::erase(out_of_sight_, worker);
            std::erase(pending_ends_, worker);
            by_handle_[worker->handle] = nullptr;
            return true;
        });
    for (const worker_id& id : forgotten)
    {
        workers_.erase(id);
    }
    return forgotten;
}

bool worker_table::is_settled(
    const worker_entry& worker, const run_entry& run) const
{
    if (run.trial == run_entry::trial_length::until_end)
    {
        return false;
    }
    // An order without an answer may be carried out much later. The worker has
    // outlived one that was carried out at once.
    return run.alive_at
               ? worker.clock - *run.alive_at >= settings_.crash_after_start
               : worker.clock_received_at - run.started >=
                     settings_.crash_after_start;
}

bool worker_table::has_just_started(
    const worker_entry& worker, const run_entry& run) const
{
    if (run.trial == run_entry::trial_length::until_end && run.alive_at)
    {
        return true; // Nothing else has started there since.
    }
    const instant base = run.alive_at ? run.alive_noted : run.started;
    return !is_settled(worker, run) &&
           (worker.reachable ||
            (worker.connection_broke &&
             worker.silent_since - base < settings_.crash_noticed));
}

bool worker_table::is_quiet(const worker_entry& worker) const
{
    return std::all_of(
        worker.runs.begin(),
        worker.runs.end(),
        [&](const auto& each) { return is_settled(worker, each.second); });
}

std::vector<blamed_run> worker_table::blame(const worker_entry& worker) const
{
    std::vector<blamed_run> blamed;
    const run_ref* first = nullptr;
    // The members of a gang begin to work together and share a run number.
    bool one_unit = true;
    for (const auto& [id, run] : worker.runs)
    {
        if (run.recorded_blame || !has_just_started(worker, run))
        {
            continue;
        }
        one_unit = one_unit &&
                   (first == nullptr ||
                    (first->task.step == id.task.step && first->run == id.run));
        first = &id;
    }
    for (const auto& [id, run] : worker.runs)
    {
        const bool just_started = has_just_started(worker, run);
        // The worker may have outlived an order that it did not answer.
        if (!is_known_there(run) ||
            (!run.recorded_blame && !run.alive_at && !just_started))
        {
            continue;
        }
        const crash_blame each =
            run.recorded_blame ? *run.recorded_blame
            : just_started
                ? (one_unit ? crash_blame::sole : crash_blame::shared)
            : first != nullptr ? crash_blame::beside
                               : crash_blame::late;
        blamed.push_back({id, each});
    }
    return blamed;
}

std::vector<run_ref> worker_table::unproven(const worker_entry& worker) const
{
    std::vector<run_ref> found;
    for (const auto& [id, run] : worker.runs)
    {
        if (!is_known_there(run) && has_just_started(worker, run))
        {
            found.push_back(id);
        }
    }
    return found;
}

void worker_table::end_trial(worker_entry& worker, run_entry& run)
{
    if (run.trial == run_entry::trial_length::brief && is_settled(worker, run))
    {
        run.trial = run_entry::trial_length::none;
        --worker.trials;
    }
}

bool worker_table::is_usable(const worker_entry& worker, instant now) const
{
    return worker.listed && worker.sealed && worker.reachable &&
           !worker.evacuated &&
           worker.described_incarnation == worker.registration.incarnation &&
           worker.runs_of_unknown_needs == 0 && !worker.has_absence_record &&
           !worker.registration.draining && worker.quarantined_until <= now;
}

worker_instant
worker_table::lowest_clock(const worker_entry& worker, instant at) const
{
    const milliseconds since = at - worker.clock_received_at;
    if (since < milliseconds::zero())
    {
        return worker.clock - settings_.by_slowest_clock(-since);
    }
    return worker.clock +
           milliseconds(static_cast<milliseconds::rep>(
               static_cast<double>(since.count()) * settings_.slowest_clock));
}

bool worker_table::is_clock_reset(
    const worker_entry& worker, worker_instant clock, instant asked) const
{
    // Both readings and both times of the VM may be cut by up to 1 ms.
    constexpr milliseconds rounding{4};
    return clock + rounding < lowest_clock(worker, asked);
}

worker_instant worker_table::extend_lease(worker_entry& worker, instant now)
{
    // By the slowest clock: a reading may be old, and no lease may end later
    // than a successor expects.
    const worker_instant until = lowest_clock(worker, now) + settings_.lease;
    worker.lease_until = std::max(worker.lease_until, until);
    const auto left = worker.lease_until - worker.clock;
    worker.lease_expired_at =
        worker.clock_received_at + settings_.by_slowest_clock(left);
    return until;
}

void worker_table::note_clock(
    worker_entry& worker, worker_instant clock, instant asked, instant now)
{
    if (clock < worker.clock || asked < worker.clock_requested_at)
    {
        return; // The response was overtaken by a later one.
    }
    worker.clock = clock;
    worker.clock_received_at = now;
    worker.clock_requested_at = asked;
}

void worker_table::add_run(worker_entry& worker, run_entry run)
{
    const run_ref id{run.task, run.run};
    const resources needs = run.needs;
    const account_name account = run.account;
    const bool needs_known = run.needs_known;
    const bool on_trial = run.trial != run_entry::trial_length::none;
    if (!worker.runs.emplace(id, std::move(run)).second)
    {
        return;
    }
    busy_ += worker.runs.size() == 1 ? 1 : 0;
    worker.runs_of_unknown_needs += needs_known ? 0 : 1;
    worker.trials += on_trial ? 1 : 0;
    worker.used += needs;
    update_free(worker);
    account_use_[account] += needs;
}

bool worker_table::remove_run(
    worker_entry& worker, const task_ref& task, run_number run)
{
    const auto at = worker.runs.find({task, run});
    if (at == worker.runs.end())
    {
        return false;
    }
    worker.runs_of_unknown_needs -= at->second.needs_known ? 0 : 1;
    worker.trials -= at->second.trial != run_entry::trial_length::none ? 1 : 0;
    worker.used -= at->second.needs;
    update_free(worker);
    account_use_[at->second.account] -= at->second.needs;
    worker.runs.erase(at);
    busy_ -= worker.runs.empty() ? 1 : 0;
    return true;
}

const resources& worker_table::used_by(const account_name& account) const
{
    static const resources none;
    const auto at = account_use_.find(account);
    return at == account_use_.end() ? none : at->second;
}

void worker_table::note_success(worker_entry& worker)
{
    worker.failures_in_row = 0;
}

bool worker_table::note_failure(worker_entry& worker, instant now)
{
    ++worker.failures_in_row;
    if (worker.failures_in_row < settings_.failures_to_quarantine)
    {
        return false;
    }
    worker.quarantined_until = now + settings_.quarantine;
    return true;
}

} // namespace acaciastile::fleet
