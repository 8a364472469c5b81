#include "fleet/poll_schedule.hpp"

namespace acaciastile::fleet
{

void poll_schedule::add(worker_handle worker, instant due)
{
    if (due_.size() <= worker)
    {
        due_.resize(worker + 1, instant::max());
    }
    if (due < due_[worker])
    {
        due_[worker] = due;
        queue_.emplace(due, worker);
    }
}

std::vector<worker_handle> poll_schedule::take_due(instant now)
{
    std::vector<worker_handle> taken;
    while (!queue_.empty() && queue_.top().first <= now)
    {
        const auto [due, worker] = queue_.top();
        queue_.pop();
        if (due_[worker] == due)
        {
            due_[worker] = instant::max();
            taken.push_back(worker);
        }
    }
    return taken;
}

} // namespace acaciastile::fleet
