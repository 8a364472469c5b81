#pragma once

#include "policy/size_class.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// Remembers which sizes found no room, until a worker gains room that may
/// change that.
class room_memory
{
public:
    /// Searches of one class that may fail before the class is passed over.
    static constexpr std::size_t failures_of_class = 4;

    void failed(const resources& size)
    {
        std::uint16_t index = class_of(size).index();
        std::vector<resources>& sizes = sizes_[index];
        sizes.push_back(size);
        some_.insert(index);
        if (sizes.size() >= failures_of_class)
        {
            full_.insert(index);
        }
    }

    /// A worker has that much free now.
    void gained(const resources& free)
    {
        if (free.has_negative())
        {
            return;
        }
        class_set cell;
        cell.insert(class_of(free).index());
        class_set within = cell.covered();
        within.for_each_common(
            some_, [this](std::uint16_t index) { sizes_[index].clear(); });
        some_ -= within;
        full_ -= within;
    }

    /// Classes of which nothing is tried any more.
    [[nodiscard]] const class_set& full() const noexcept { return full_; }

    [[nodiscard]] bool is_known(const resources& size) const
    {
        std::uint16_t index = class_of(size).index();
        if (!some_.contains(index))
        {
            return false;
        }
        for (const resources& known : sizes_.at(index))
        {
            if (known.fits_in(size))
            {
                return true;
            }
        }
        return false;
    }

private:
    absl::flat_hash_map<std::uint16_t, std::vector<resources>> sizes_;
    class_set some_;
    class_set full_;
};

} // namespace acaciastile::impl
