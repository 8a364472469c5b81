#pragma once

#include "domain/instant.hpp"
#include "policy/size_class.hpp"
#include "policy/slots.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <tuple>

namespace acaciastile::impl
{

/// Orders a team's jobs by queue time.
using queue_key = std::tuple<instant, std::uint64_t, job_slot>;
using job_queue = absl::btree_set<queue_key>;

/// The waiting jobs of one team in one tier, grouped by size class; gangs have
/// a separate queue.
class waiting_jobs
{
public:
    void insert(const queue_key& key, std::uint16_t size_class, bool gang)
    {
        if (gang)
        {
            gangs_.insert(key);
            return;
        }
        by_class_[size_class].insert(key);
        classes_.insert(size_class);
    }

    void erase(const queue_key& key, std::uint16_t size_class, bool gang)
    {
        if (gang)
        {
            gangs_.erase(key);
            return;
        }
        auto at = by_class_.find(size_class);
        if (at == by_class_.end())
        {
            return;
        }
        at->second.erase(key);
        if (at->second.empty())
        {
            by_class_.erase(at);
            classes_.erase(size_class);
        }
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return by_class_.empty() && gangs_.empty();
    }
    [[nodiscard]] const class_set& classes() const noexcept { return classes_; }
    [[nodiscard]] const job_queue& of_class(std::uint16_t size_class) const
    {
        return by_class_.at(size_class);
    }
    [[nodiscard]] const absl::btree_map<std::uint16_t, job_queue>&
    all_classes() const noexcept
    {
        return by_class_;
    }
    [[nodiscard]] const job_queue& gangs() const noexcept { return gangs_; }

private:
    absl::btree_map<std::uint16_t, job_queue> by_class_;
    job_queue gangs_;
    class_set classes_;
};

} // namespace acaciastile::impl
