#include "cell/record_id_window.hpp"

#include <string>
#include <xxhash.h>

namespace acaciastile
{

namespace
{

/// Encoded size of an entry: digest (16), offset (8), revision (8) and a byte
/// that holds the refusal code plus one, or zero if accepted.
constexpr std::size_t entry_bytes = 33;

void put(std::string& into, std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
    {
        into.push_back(static_cast<char>((value >> shift) & 0xff));
    }
}

std::uint64_t take(std::string_view& from)
{
    std::uint64_t value = 0;
    for (int at = 0; at < 8; ++at)
    {
        auto byte = static_cast<unsigned char>(from[at]);
        value |= static_cast<std::uint64_t>(byte) << (8 * at);
    }
    from.remove_prefix(8);
    return value;
}

} // namespace

void record_id_window::add(std::string_view id, const fold_outcome& outcome)
{
    entry added{outcome.offset, outcome.in_force, std::nullopt};
    if (outcome.refusal)
    {
        added.refused = outcome.refusal->code;
    }
    add(digest_of(id), added);
}

void record_id_window::add(const digest& key, const entry& added)
{
    if (!entries_.emplace(key, added).second)
    {
        return;
    }
    order_.push_back(key);
    if (order_.size() > capacity)
    {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<fold_outcome> record_id_window::find(std::string_view id) const
{
    auto at = entries_.find(digest_of(id));
    if (at == entries_.end())
    {
        return std::nullopt;
    }
    const entry& kept = at->second;
    fold_outcome outcome;
    outcome.offset = kept.offset;
    outcome.duplicate = true;
    outcome.in_force = kept.in_force;
    if (kept.refused)
    {
        outcome.refusal = error{
            *kept.refused,
            verdict::not_run,
            "refused when first read at offset " + std::to_string(kept.offset),
            {}};
    }
    return outcome;
}

std::string record_id_window::encode() const
{
    std::string encoded;
    encoded.reserve(order_.size() * entry_bytes);
    for (const digest& key : order_)
    {
        const entry& kept = entries_.at(key);
        put(encoded, key[0]);
        put(encoded, key[1]);
        put(encoded, kept.offset);
        put(encoded, kept.in_force);
        int code = kept.refused ? static_cast<int>(*kept.refused) + 1 : 0;
        encoded.push_back(static_cast<char>(code));
    }
    return encoded;
}

result<record_id_window> record_id_window::decode(std::string_view encoded)
{
    if (encoded.size() % entry_bytes != 0 ||
        encoded.size() / entry_bytes > capacity)
    {
        return refuse(
            refusal_code::malformed, "record id window: invalid length");
    }
    record_id_window made;
    while (!encoded.empty())
    {
        digest key{take(encoded), take(encoded)};
        entry kept{take(encoded), take(encoded), std::nullopt};
        auto code = static_cast<unsigned char>(encoded.front());
        encoded.remove_prefix(1);
        if (code > refusal_code_names.size())
        {
            return refuse(
                refusal_code::malformed,
                "record id window: unknown refusal code");
        }
        if (code > 0)
        {
            kept.refused = static_cast<refusal_code>(code - 1);
        }
        made.add(key, kept);
    }
    return made;
}

record_id_window::digest
record_id_window::digest_of(std::string_view id) noexcept
{
    XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return {hash.low64, hash.high64};
}

} // namespace acaciastile
