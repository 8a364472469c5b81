#pragma once

#include "cell/cell_state.hpp"
#include "support/letter_content.hpp"

#include <cstddef>
#include <utility>

namespace acaciastile::bench
{

/// A fold together with the offset of its last record.
struct growing_cell
{
    cell_state state;
    log_offset at = 0;

    fold_outcome fold(cell_change change)
    {
        ++at;
        return state.apply(at, {make_record_id(at), std::move(change)});
    }
};

/// Claims shards and lets each hold an allowance for some teams.
void hold_allowances(
    growing_cell& cell, std::size_t shards, std::size_t teams_each);

} // namespace acaciastile::bench
