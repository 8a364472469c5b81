#include "cell/request_table.hpp"

namespace acaciastile
{

live_request* request_table::find(const job_id& id)
{
    auto at = live_.find(id);
    return at == live_.end() ? nullptr : &at->second;
}

const live_request* request_table::find(const job_id& id) const
{
    auto at = live_.find(id);
    return at == live_.end() ? nullptr : &at->second;
}

const result<request_answer>* request_table::kept_answer(const job_id& id) const
{
    auto at = answers_.find(id);
    return at == answers_.end() ? nullptr : &at->second;
}

live_request&
request_table::add(job_spec spec, instant arrived, instant deadline)
{
    const job_id id = spec.id;
    deadlines_.emplace(deadline, id);
    live_request& made = live_[id];
    made.spec = std::move(spec);
    made.arrived = arrived;
    made.deadline = deadline;
    return made;
}

void request_table::finish(
    instant now,
    const job_id& id,
    const result<request_answer>& answer,
    bool keep)
{
    auto node = live_.extract(id);
    if (node.empty())
    {
        return;
    }
    const live_request& request = node.mapped();
    deadlines_.erase({request.deadline, id});
    if (keep)
    {
        answers_.insert_or_assign(id, answer);
        answered_.emplace_back(now, id);
    }
    for (const auto& waiter : request.waiters)
    {
        waiter(answer);
    }
}

std::vector<job_id> request_table::overdue(instant now) const
{
    std::vector<job_id> late;
    for (const auto& [deadline, id] : deadlines_)
    {
        if (deadline > now)
        {
            break;
        }
        late.push_back(id);
    }
    return late;
}

void request_table::forget_answers(instant before, std::size_t most)
{
    while (!answered_.empty() &&
           (answered_.front().first < before || answered_.size() > most))
    {
        answers_.erase(answered_.front().second);
        answered_.pop_front();
    }
}

} // namespace acaciastile
