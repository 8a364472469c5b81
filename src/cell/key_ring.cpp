#include "cell/key_ring.hpp"

#include "codec/array_reader.hpp"
#include "codec/compact_codec.hpp"

#include <vector>

namespace acaciastile
{

namespace
{

result<key_id> id_from_compact(const nlohmann::json& value)
{
    key_id id;
    if (impl::get(value, id) != nullptr)
    {
        return refuse(refusal_code::malformed, "key: expected a string");
    }
    return id;
}

} // namespace

result<void> key_ring::grant(const key_entry& key)
{
    if (key.id.empty())
    {
        return refuse(refusal_code::invalid_value, "a key needs an id");
    }
    if (key.right == key_right::caller && key.team.empty())
    {
        return refuse(
            refusal_code::invalid_value,
            "key '" + key.id.str() + "' of a caller needs a team");
    }
    if (keys_.contains(key.id) || withdrawn_.contains(key.id))
    {
        return refuse(
            refusal_code::conflicting_id,
            "key id '" + key.id.str() + "' was used before");
    }
    keys_.emplace(key.id, key);
    operators_ += key.right == key_right::operate ? 1 : 0;
    return {};
}

result<void> key_ring::withdraw(const key_id& id)
{
    if (withdrawn_.contains(id))
    {
        return {};
    }
    auto at = keys_.find(id);
    if (at == keys_.end())
    {
        return refuse(
            refusal_code::invalid_value,
            "no key has the id '" + id.str() + "'");
    }
    bool operates = at->second.right == key_right::operate;
    if (operates && operators_ == 1)
    {
        return refuse(
            refusal_code::invalid_value,
            "key '" + id.str() +
                "' is the last operator's key; grant another one first");
    }
    operators_ -= operates ? 1 : 0;
    keys_.erase(at);
    withdrawn_.insert(id);
    return {};
}

const key_entry* key_ring::find(const key_id& id) const noexcept
{
    auto at = keys_.find(id);
    return at == keys_.end() ? nullptr : &at->second;
}

nlohmann::json key_ring::to_compact() const
{
    nlohmann::json keys = nlohmann::json::array();
    for (const auto& [id, key] : keys_)
    {
        keys.push_back(acaciastile::to_compact(key));
    }
    nlohmann::json withdrawn = nlohmann::json::array();
    for (const key_id& id : withdrawn_)
    {
        withdrawn.push_back(id.str());
    }
    return nlohmann::json::array({std::move(keys), std::move(withdrawn)});
}

result<key_ring> key_ring::from_compact(const nlohmann::json& value)
{
    std::vector<key_entry> keys;
    std::vector<key_id> withdrawn;
    array_reader items(value, "keys");
    items.next_list(keys, key_entry_from_compact)
        .next_list(withdrawn, id_from_compact);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    key_ring made;
    for (const key_entry& key : keys)
    {
        if (auto granted = made.grant(key); !granted)
        {
            return refuse(
                refusal_code::malformed, "keys: an entry is not valid");
        }
    }
    made.withdrawn_.insert(withdrawn.begin(), withdrawn.end());
    return made;
}

} // namespace acaciastile
