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
    std::vector<room>& members = cells_[cell];
    if (members.empty())
    {
        occupied_.insert(cell);
        stale_ = true;
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
    std::vector<room>& members = cells_[known.cell];
    members[known.at] = members.back();
    positions_[members[known.at].worker].at = known.at;
    members.pop_back();
    if (members.empty())
    {
        occupied_.erase(known.cell);
        stale_ = true;
    }
    known.cell = no_cell;
}

const class_set& fit_index::reachable() const
{
    if (stale_)
    {
        reachable_ = occupied_.covered();
        stale_ = false;
    }
    return reachable_;
}

bool fit_index::visit_cell(
    std::uint16_t cell,
    const resources& size,
    std::size_t& in_vain,
    absl::FunctionRef<bool(const room&)> visit) const
{
    for (const room& member : cells_[cell])
    {
        if (size.fits_in(member.free))
        {
            if (!visit(member))
            {
                return false;
            }
        }
        else if (++in_vain > looked_at_in_vain)
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
    std::size_t& in_vain,
    absl::FunctionRef<bool(const room&)> visit) const
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
    for (std::size_t spare = 0; spare < 2 * levels; ++spare)
    {
        for (std::size_t memory = least.memory; memory < levels; ++memory)
        {
            std::size_t of_memory = memory - least.memory;
            if (of_memory > spare)
            {
                break;
            }
            std::size_t of_processors = spare - of_memory;
            if (of_processors >= levels ||
                ((rows[memory] >> of_processors) & 1U) == 0)
            {
                continue;
            }
            auto cell = static_cast<std::uint16_t>(
                plane * levels * levels + memory * levels + least.processors +
                of_processors);
            if (!visit_cell(cell, size, in_vain, visit))
            {
                return false;
            }
        }
    }
    return true;
}

void fit_index::visit(
    const resources& size, absl::FunctionRef<bool(const room&)> visit) const
{
    size_class least = class_of(size);
    std::size_t in_vain = 0;
    for (std::size_t plane = least.accelerators;
         plane < accelerator_levels.size();
         ++plane)
    {
        if (!visit_plane(plane, least, size, in_vain, visit))
        {
            return;
        }
    }
}

} // namespace acaciastile::impl
