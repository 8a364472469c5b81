// Authentication and authorization of callers by key.

#include "cell/instance.hpp"

#include "domain/key_check.hpp"

#include <algorithm>

namespace acaciastile
{

result<key_entry> instance::check_key(const presented_key& key) const
{
    if (key.text.empty())
    {
        return refuse(refusal_code::unauthenticated, "a key is needed");
    }
    if (age_of(last_log_contact(), now()) > settings_.key_staleness)
    {
        return refuse(
            refusal_code::stale_configuration,
            "neither the log nor a peer has confirmed the keys in force");
    }
    const auto split = split_key(key.text);
    if (!split)
    {
        return refuse(refusal_code::unauthenticated, "the key is not in force");
    }
    const key_entry* known = cell().find_key(split->id);
    if (known == nullptr && settings_.bootstrap_key &&
        !cell().has_operator_key() && settings_.bootstrap_key->id == split->id)
    {
        known = &*settings_.bootstrap_key;
    }
    if (known == nullptr || !verify_key(key.text, *known))
    {
        ports_.events->emit(
            {event_number::key_refused, {{"key_id", split->id.str()}}});
        return refuse(refusal_code::unauthenticated, "the key is not in force");
    }
    return *known;
}

result<void> instance::check_operator(const presented_key& key) const
{
    const auto known = check_key(key);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    if (known->right != key_right::operate)
    {
        return refuse(refusal_code::forbidden, "this needs an operator's key");
    }
    return {};
}

result<team_name> instance::visible_team(const presented_key& key) const
{
    const auto known = check_key(key);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    return known->right == key_right::operate ? team_name() : known->team;
}

result<void> instance::admit(const presented_key& key, job_spec& spec) const
{
    if (shutting_down_)
    {
        return refuse(
            refusal_code::shutting_down, "this instance is shutting down");
    }
    const rules& in_force = cell().rules_in_force();
    const queue_rule* queue = in_force.find(spec.queue);
    if (queue == nullptr)
    {
        return refuse(
            refusal_code::unknown_queue,
            "no queue '" + spec.queue.str() + "' is in force");
    }
    if (queue->open_to_all && key.text.empty())
    {
        spec.team = queue->charged_team;
        return {};
    }
    const auto known = check_key(key);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    if (spec.team.empty())
    {
        spec.team = known->team;
    }
    if (known->team != spec.team)
    {
        return refuse(
            refusal_code::forbidden, "the key belongs to another team");
    }
    if (in_force.find(spec.team) == nullptr)
    {
        return refuse(
            refusal_code::unknown_team,
            "no team '" + spec.team.str() + "' is in force");
    }
    const bool listed =
        queue->teams.empty() ||
        std::find(queue->teams.begin(), queue->teams.end(), spec.team) !=
            queue->teams.end();
    if (!listed)
    {
        return refuse(
            refusal_code::forbidden, "the team may not use this queue");
    }
    return {};
}

} // namespace acaciastile
