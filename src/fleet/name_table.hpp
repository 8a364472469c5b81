#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <vector>

namespace acaciastile::fleet
{

/// Numbers names densely in the order of their first use, so that per-name
/// state can be looked up without comparing strings.
template<class Name>
class name_table
{
public:
    /// The number of the name; adds the name if it is new.
    std::uint32_t index_of(const Name& name)
    {
        const auto [at, added] = indexes_.try_emplace(
            name, static_cast<std::uint32_t>(names_.size()));
        if (added)
        {
            names_.push_back(name);
        }
        return at->second;
    }

    /// All names by their numbers.
    [[nodiscard]] const std::vector<Name>& names() const noexcept
    {
        return names_;
    }

private:
    absl::flat_hash_map<Name, std::uint32_t> indexes_;
    std::vector<Name> names_;
};

} // namespace acaciastile::fleet
