#include "policy/fit_index.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile::impl
{

namespace
{

constexpr std::size_t levels = processor_levels.size();

} // namespace

struct fit_index::search
{
    const resources& size;
    absl::FunctionRef<bool(const candidate&)> visit;
    std::size_t rotation = 0;
    size_class least;
    /// True for each kind of which the cells at the level of the size hold
    /// workers with less than the size.
    bool border_processors = false;
    bool border_memory = false;
    bool border_accelerators = false;
    std::size_t misses = 0;
    bool defers = true; ///< Leaves cells with misses for last.
    bool found = false; ///< Some worker fits.
    /// Cells that were left, and how many of their members were examined.
    std::vector<std::pair<std::uint16_t, std::size_t>> deferred;

    /// True if some workers in the cell may not fit.
    [[nodiscard]] bool is_border(size_class cell) const
    {
        return (border_processors && cell.processors == least.processors) ||
               (border_memory && cell.memory == least.memory) ||
               (border_accelerators && cell.accelerators == least.accelerators);
    }
};

void fit_index::set(worker_slot slot, const resources& free)
{
    if (positions_.size() <= slot)
    {
        positions_.resize(slot + 1);
    }
    std::uint16_t cell = class_of(free).index();
    position& known = positions_[slot];
    if (free.has_negative())
    {
        erase(slot);
        return;
    }
    std::erase_if(
        failed_sizes_,
        [&](const resources& failed) { return failed.fits_in(free); });
    if (known.cell == cell)
    {
        cells_[cell][known.at].free = free;
        return;
    }
    erase(slot);
    std::vector<candidate>& members = cells_[cell];
    if (members.empty())
    {
        occupied_.insert(cell);
        reachable_stale_ = true;
    }
    known = {cell, static_cast<std::uint32_t>(members.size())};
    members.push_back({slot, free});
}

void fit_index::erase(worker_slot slot)
{
    if (positions_.size() <= slot || positions_[slot].cell == no_cell)
    {
        return;
    }
    position& known = positions_[slot];
    std::vector<candidate>& members = cells_[known.cell];
    members[known.at] = members.back();
    positions_[members[known.at].worker].at = known.at;
    members.pop_back();
    if (members.empty())
    {
        occupied_.erase(known.cell);
        reachable_stale_ = true;
    }
    known.cell = no_cell;
}

const class_set& fit_index::reachable() const
{
    if (reachable_stale_)
    {
        reachable_ = occupied_.downward_closure();
        reachable_stale_ = false;
    }
    return reachable_;
}

bool fit_index::is_known_not_to_fit(const resources& size) const
{
    return std::any_of(
        failed_sizes_.begin(),
        failed_sizes_.end(),
        [&](const resources& failed) { return failed.fits_in(size); });
}

void fit_index::note_not_fitting(const resources& size) const
{
    std::erase_if(
        failed_sizes_,
        [&](const resources& failed) { return size.fits_in(failed); });
    if (failed_sizes_.size() < max_failed_sizes)
    {
        failed_sizes_.push_back(size);
    }
}

bool fit_index::visit_cell(
    search& state, std::uint16_t cell, std::size_t first) const
{
    const bool may_defer =
        state.defers && state.is_border(size_class::from_index(cell));
    const std::vector<candidate>& members = cells_[cell];
    for (std::size_t n = first; n < members.size(); ++n)
    {
        if (may_defer && state.misses >= max_misses)
        {
            state.deferred.emplace_back(cell, n);
            return true;
        }
        const candidate& member =
            members[(n + state.rotation) % members.size()];
        if (!state.size.fits_in(member.free))
        {
            ++state.misses;
            continue;
        }
        state.found = true;
        if (!state.visit(member))
        {
            return false;
        }
    }
    return true;
}

bool fit_index::visit_plane(search& state, std::size_t plane) const
{
    const size_class& least = state.least;
    std::array<std::uint32_t, levels> rows{};
    std::uint32_t any = 0;
    for (std::size_t memory = least.memory; memory < levels; ++memory)
    {
        std::uint32_t row = occupied_.row(plane, memory);
        rows[memory] = row >> least.processors;
        any |= rows[memory];
    }
    if (any == 0)
    {
        return true;
    }
    // Visits cells by their distance, in levels, from the class of the size, so
    // that workers with little capacity left over come first.
    for (std::size_t steps = 0; steps < 2 * levels; ++steps)
    {
        for (std::size_t memory = least.memory; memory < levels; ++memory)
        {
            std::size_t memory_steps = memory - least.memory;
            if (memory_steps > steps)
            {
                break;
            }
            std::size_t processor_steps = steps - memory_steps;
            if (processor_steps >= levels ||
                ((rows[memory] >> processor_steps) & 1U) == 0)
            {
                continue;
            }
            auto cell = static_cast<std::uint16_t>(
                plane * levels * levels + memory * levels + least.processors +
                processor_steps);
            if (!visit_cell(state, cell, 0))
            {
                return false;
            }
        }
    }
    return true;
}

void fit_index::visit(
    const resources& size,
    absl::FunctionRef<bool(const candidate&)> visit,
    std::size_t rotation) const
{
    if (is_known_not_to_fit(size))
    {
        return;
    }
    search state{size, visit, rotation, class_of(size)};
    const size_class& least = state.least;
    state.border_processors =
        size.milli_processors > processor_levels[least.processors];
    state.border_memory = size.memory_mib > memory_levels[least.memory];
    state.border_accelerators =
        size.accelerators > accelerator_levels[least.accelerators];
    for (std::size_t plane = least.accelerators;
         plane < accelerator_levels.size();
         ++plane)
    {
        if (!visit_plane(state, plane))
        {
            return;
        }
    }
    state.defers = false;
    for (const auto& [cell, first] : state.deferred)
    {
        if (!visit_cell(state, cell, first))
        {
            return;
        }
    }
    if (!state.found)
    {
        note_not_fitting(size);
    }
}

} // namespace acaciastile::impl
