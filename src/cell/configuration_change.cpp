#include "cell/configuration_change.hpp"

#include "cell/cell_state.hpp"

#include <set>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

const worker_id& key_of(const worker_entry& entry)
{
    return entry.id;
}

const team_name& key_of(const team_rule& rule)
{
    return rule.name;
}

const queue_name& key_of(const queue_rule& rule)
{
    return rule.name;
}

/// Compares two lists sorted by key. Appends new and changed entries to `set`
/// and the keys of missing ones to `removed`.
template<class Entry, class Key>
void compare(
    const std::vector<Entry>& before,
    const std::vector<Entry>& after,
    std::vector<Entry>& set,
    std::vector<Key>& removed)
{
    auto old = before.begin();
    for (const Entry& entry : after)
    {
        while (old != before.end() && key_of(*old) < key_of(entry))
        {
            removed.push_back(key_of(*old++));
        }
        const bool known = old != before.end() && key_of(*old) == key_of(entry);
        if (!known || *old != entry)
        {
            set.push_back(entry);
        }
        old += known ? 1 : 0;
    }
    for (; old != before.end(); ++old)
    {
        removed.push_back(key_of(*old));
    }
}

/// Applies a difference: the entries of `before` that it neither removes nor
/// replaces, followed by those in `set`.
template<class Entry, class Key>
std::vector<Entry> merge(
    const std::vector<Entry>& before,
    const std::vector<Entry>& set,
    const std::vector<Key>& removed)
{
    std::set<Key> left_out(removed.begin(), removed.end());
    for (const Entry& entry : set)
    {
        left_out.insert(key_of(entry));
    }
    std::vector<Entry> merged;
    merged.reserve(before.size() + set.size());
    for (const Entry& entry : before)
    {
        if (!left_out.contains(key_of(entry)))
        {
            merged.push_back(entry);
        }
    }
    merged.insert(merged.end(), set.begin(), set.end());
    return merged;
}

} // namespace

cell_change
make_publication(const cell_state& state, revision base, inventory content)
{
    if (base == state.inventory_revision())
    {
        auto change = change_between(state.inventory_in_force(), content);
        const std::size_t change_size =
            change.set.size() + change.removed.size();
        if (change_size < content.workers().size())
        {
            change.base = base;
            return change;
        }
    }
    return inventory_published{base, std::move(content)};
}

cell_change
make_publication(const cell_state& state, revision base, rules content)
{
    if (base == state.rules_revision())
    {
        auto change = change_between(state.rules_in_force(), content);
        const std::size_t change_size =
            change.set_teams.size() + change.removed_teams.size() +
            change.set_queues.size() + change.removed_queues.size();
        if (change_size < content.teams().size() + content.queues().size())
        {
            change.base = base;
            return change;
        }
    }
    return rules_published{base, std::move(content)};
}

inventory_changed
change_between(const inventory& before, const inventory& after)
{
    inventory_changed change;
    compare(before.workers(), after.workers(), change.set, change.removed);
    return change;
}

rules_changed change_between(const rules& before, const rules& after)
{
    rules_changed change;
    compare(
        before.teams(), after.teams(), change.set_teams, change.removed_teams);
    compare(
        before.queues(),
        after.queues(),
        change.set_queues,
        change.removed_queues);
    return change;
}

result<inventory>
apply_change(const inventory& before, const inventory_changed& change)
{
    return inventory::create(
        merge(before.workers(), change.set, change.removed));
}

result<rules> apply_change(const rules& before, const rules_changed& change)
{
    return rules::create(
        merge(before.teams(), change.set_teams, change.removed_teams),
        merge(before.queues(), change.set_queues, change.removed_queues));
}

} // namespace acaciastile
