#include "policy/fit_index.hpp"

namespace acaciastile::impl
{

namespace
{

constexpr std::size_t levels = processor_levels.size();

} // namespace

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

bool fit_index::visit_cell(
    std::uint16_t cell,
    const resources& size,
    std::size_t& misses,
    absl::FunctionRef<bool(const candidate&)> visit,
    std::size_t rotation) const
{
    const std::vector<candidate>& members = cells_[cell];
    for (std::size_t n = 0; n < members.size(); ++n)
    {
        const candidate& member = members[(n + rotation) % members.size()];
        if (size.fits_in(member.free))
        {
            if (!visit(member))
            {
                return false;
            }
        }
        else if (++misses > max_misses)
        {
            return false;
        }
    }
    return true;
}

bool fit_index::visit_plane(
    std::size_t plane,
    const size_class& least,
    const resources& size,
    std::size_t& misses,
    absl::FunctionRef<bool(const candidate&)> visit,
    std::size_t rotation) const
{
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
    // Visits cells by their distance, in levels, from the class of `size`, so
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
            if (!visit_cell(cell, size, misses, visit, rotation))
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
    size_class least = class_of(size);
    std::size_t misses = 0;
    for (std::size_t plane = least.accelerators;
         plane < accelerator_levels.size();
         ++plane)
    {
        if (!visit_plane(plane, least, size, misses, visit, rotation))
        {
            return;
        }
    }
}

} // namespace acaciastile::impl
