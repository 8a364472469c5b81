#pragma once

#include "policy/size_class.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// Caches sizes that fit on no worker, until a worker frees capacity that may
/// change that.
class failed_fit_cache
{
public:
    /// Failed searches after which a size class is skipped.
    static constexpr std::size_t max_failures_per_class = 4;

    void add_failure(const resources& size)
    {
        std::uint16_t index = class_of(size).index();
        std::vector<resources>& sizes = sizes_[index];
        sizes.push_back(size);
        nonempty_.insert(index);
        if (sizes.size() >= max_failures_per_class)
        {
            exhausted_.insert(index);
        }
    }

    /// Clears the cached sizes that may fit into this free capacity.
    void capacity_freed(const resources& free)
    {
        if (free.has_negative())
        {
            return;
        }
        class_set freed;
        freed.insert(class_of(free).index());
        class_set reachable = freed.downward_closure();
        reachable.for_each_common(
            nonempty_, [this](std::uint16_t index) { sizes_[index].clear(); });
        nonempty_ -= reachable;
        exhausted_ -= reachable;
    }

    /// Classes that are skipped after too many failed searches.
    [[nodiscard]] const class_set& exhausted_classes() const noexcept
    {
        return exhausted_;
    }

    [[nodiscard]] bool known_not_to_fit(const resources& size) const
    {
        std::uint16_t index = class_of(size).index();
        if (!nonempty_.contains(index))
        {
            return false;
        }
        for (const resources& failed : sizes_.at(index))
        {
            if (failed.fits_in(size))
            {
                return true;
            }
        }
        return false;
    }

private:
    absl::flat_hash_map<std::uint16_t, std::vector<resources>> sizes_;
    class_set nonempty_;
    class_set exhausted_;
};

} // namespace acaciastile::impl
