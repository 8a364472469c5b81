#include "cli/dev/journal_check.hpp"

#include <map>
#include <set>

namespace acaciastile
{

namespace
{

std::set<job_id> not_repeatable(const std::vector<mix_result>& results)
{
    std::set<job_id> found;
    for (const mix_result& each : results)
    {
        if (!each.item.spec.repeatable)
        {
            found.insert(each.item.spec.id);
        }
    }
    return found;
}

} // namespace

journal_findings check_journal(
    const std::vector<run_entry>& journal,
    const std::vector<mix_result>& results)
{
    const std::set<job_id> once = not_repeatable(results);
    std::map<task_id, std::size_t> running;
    std::map<task_id, std::size_t> starts;
    std::map<worker_id, resources> used;
    journal_findings found;
    for (const run_entry& entry : journal)
    {
        const task_id& task = entry.attempt.task;
        if (entry.what != run_event::started)
        {
            --running[task];
            used[entry.worker] -= entry.needs;
            continue;
        }
        ++found.started;
        found.in_two_places += ++running[task] > 1 ? 1 : 0;
        used[entry.worker] += entry.needs;
        const bool fits = used[entry.worker].fits_in(entry.capacity);
        found.over_capacity += fits ? 0 : 1;
        const bool again = ++starts[task] > 1 && once.count(task.job) > 0;
        found.run_again += again ? 1 : 0;
    }
    return found;
}

} // namespace acaciastile
