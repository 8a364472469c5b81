#pragma once

#include "domain/key_entry.hpp"
#include "domain/result.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace acaciastile
{

/// The keys of the cell. Invariants: an id is never reused, a withdrawn key
/// stays withdrawn, and after the first operator's key was granted at least
/// one remains.
class key_ring
{
public:
    /// Errors: `conflicting_id` if the id was used before; `invalid_value` if
    /// it is empty or a caller's key names no team.
    [[nodiscard]] result<void> grant(const key_entry& key);

    /// No effect if the key is withdrawn already. Errors: `invalid_value` for
    /// an id that was never granted, and for the last operator's key, without
    /// which nobody could publish or grant keys.
    [[nodiscard]] result<void> withdraw(const key_id& id);

    /// Null if the key was never granted or is withdrawn.
    [[nodiscard]] const key_entry* find(const key_id& id) const noexcept;

    /// False until the first operator's key is granted.
    [[nodiscard]] bool has_operator_key() const noexcept
    {
        return operators_ > 0;
    }

    [[nodiscard]] std::size_t granted() const noexcept { return keys_.size(); }

    [[nodiscard]] nlohmann::json to_compact() const;
    /// Errors: `malformed`.
    [[nodiscard]] static result<key_ring>
    from_compact(const nlohmann::json& value);

    [[nodiscard]] bool operator==(const key_ring&) const = default;

private:
    std::map<key_id, key_entry> keys_;
    std::set<key_id> withdrawn_;
    std::size_t operators_ = 0; ///< Number of operators' keys in `keys_`.
};

} // namespace acaciastile
