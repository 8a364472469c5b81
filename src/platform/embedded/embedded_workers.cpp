#include "platform/embedded/embedded_workers.hpp"

#include <utility>

namespace acaciastile
{

void embedded_workers::add(embedded_worker_settings settings)
{
    const worker_id id = settings.id;
    remove(id);
    entries_.emplace(
        id,
        entry{
            embedded_worker(network_.now(), std::move(settings), journal_),
            0,
            {},
            instant::max()});
}

void embedded_workers::remove(const worker_id& id)
{
    if (entry* of = entry_of(id))
    {
        of->worker.kill(network_.now());
        entries_.erase(id);
    }
}

void embedded_workers::kill(const worker_id& id)
{
    if (entry* of = entry_of(id))
    {
        of->worker.kill(network_.now());
    }
}

void embedded_workers::lose_answers(const worker_id& id, std::size_t count)
{
    if (entry* of = entry_of(id))
    {
        of->lose = count;
    }
}

void embedded_workers::fail_everything(const worker_id& id, bool failing)
{
    if (entry* of = entry_of(id))
    {
        of->worker.fail_everything(failing);
    }
}

void embedded_workers::set_leaving(const worker_id& id, bool leaving)
{
    if (entry* of = entry_of(id))
    {
        of->worker.set_leaving(leaving);
    }
}

void embedded_workers::set_drift(const worker_id& id, std::int64_t drift_ppm)
{
    if (entry* of = entry_of(id))
    {
        of->worker.set_drift(network_.now(), drift_ppm);
        arm(id, *of);
    }
}

void embedded_workers::pause_clock(const worker_id& id, bool paused)
{
    if (entry* of = entry_of(id))
    {
        of->worker.pause_clock(network_.now(), paused);
        arm(id, *of);
    }
}

const embedded_worker* embedded_workers::find(const worker_id& id) const
{
    auto at = entries_.find(id);
    return at == entries_.end() ? nullptr : &at->second.worker;
}

std::vector<worker_id> embedded_workers::ids() const
{
    std::vector<worker_id> all;
    all.reserve(entries_.size());
    for (const auto& [id, of] : entries_)
    {
        all.push_back(id);
    }
    return all;
}

void embedded_workers::call_as(
    const std::string& caller,
    worker_call message,
    completion<worker_report> done,
    std::weak_ptr<void> alive)
{
    embedded_route route{
        caller,
        message.worker.str(),
        refusal_code::unreachable,
        milliseconds{0},
        std::move(alive)};
    auto handler = [this, caller, message = std::move(message)](
                       const embedded_reply<worker_report>& reply)
    { serve(caller, message, reply); };
    exchange<worker_report>(
        network_, std::move(route), std::move(handler), std::move(done));
}

void embedded_workers::hear_notices(
    const std::string& caller,
    std::function<void(const worker_notice&)> handler,
    std::weak_ptr<void> alive)
{
    hearers_[caller] = {std::move(handler), std::move(alive)};
}

void embedded_workers::hear_other_notices(
    std::function<void(const worker_caller&, const worker_notice&)> handler)
{
    others_ = std::move(handler);
}

void embedded_workers::serve(
    const std::string& caller,
    const worker_call& message,
    const embedded_reply<worker_report>& reply)
{
    entry* of = entry_of(message.worker);
    if (of == nullptr)
    {
        reply.answer(refuse(
            refusal_code::unreachable, "no worker " + message.worker.str()));
        return;
    }
    auto report = of->worker.handle(network_.now(), message);
    if (report)
    {
        of->last_caller = {caller, message.notify_address};
    }
    arm(message.worker, *of);
    if (of->lose > 0)
    {
        --of->lose;
        return;
    }
    reply.answer(std::move(report));
}

embedded_workers::entry* embedded_workers::entry_of(const worker_id& id)
{
    auto at = entries_.find(id);
    return at == entries_.end() ? nullptr : &at->second;
}

void embedded_workers::arm(const worker_id& id, entry& of)
{
    const instant due = of.worker.next_end();
    if (due == instant::max() || due >= of.armed)
    {
        return;
    }
    of.armed = due;
    const instant now = network_.now();
    network_.timers().after(
        due > now ? due - now : milliseconds{0},
        [this, id, due] { wake(id, due); });
}

void embedded_workers::wake(const worker_id& id, instant due)
{
    entry* of = entry_of(id);
    if (of == nullptr || of->armed != due)
    {
        return;
    }
    of->armed = instant::max();
    if (of->worker.advance(network_.now()))
    {
        notify(id, of->last_caller);
    }
    arm(id, *of);
}

void embedded_workers::notify(const worker_id& id, const worker_caller& caller)
{
    if (network_.cut_between(id.str(), caller.name) != nullptr)
    {
        return;
    }
    network_.timers().after(
        network_.delay(id.str(), caller.name),
        [this, id, caller]
        {
            network_.deliver(
                caller.name, [this, id, caller] { hand_over(caller, {id}); });
        });
}

void embedded_workers::hand_over(
    const worker_caller& caller, const worker_notice& notice)
{
    auto at = hearers_.find(caller.name);
    if (at != hearers_.end() && !at->second.alive.expired())
    {
        // The handler may replace itself.
        const auto handler = at->second.handler;
        handler(notice);
        return;
    }
    if (others_)
    {
        others_(caller, notice);
    }
}

embedded_worker_gateway::embedded_worker_gateway(
    embedded_workers& workers, std::string caller)
    : workers_(workers),
      caller_(std::move(caller)),
      alive_(std::make_shared<int>())
{
}

void embedded_worker_gateway::call(
    worker_call message, completion<worker_report> done)
{
    workers_.call_as(caller_, std::move(message), std::move(done), alive_);
}

void embedded_worker_gateway::on_notice(
    std::function<void(const worker_notice&)> handler)
{
    workers_.hear_notices(caller_, std::move(handler), alive_);
}

} // namespace acaciastile
