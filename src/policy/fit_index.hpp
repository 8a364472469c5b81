#pragma once

#include "policy/size_class.hpp"
#include "policy/slots.hpp"

#include <absl/functional/function_ref.h>

#include <array>
#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// Finds workers with enough free capacity without scanning all of them; each
/// is indexed in a grid cell by its free amounts.
class fit_index
{
public:
    /// Adds a worker, or moves it to the cell of what is free now.
    void set(worker_slot slot, const resources& free);
    void erase(worker_slot slot);

    /// Classes that the free capacity of some worker may satisfy. A size in one
    /// may still be too large; a size of another class is always too large.
    [[nodiscard]] const class_set& reachable() const;

    struct candidate
    {
        worker_slot worker = no_slot;
        resources free;
    };

    /// Calls `visit` for workers that fit the size, those with the least
    /// left over about first, until it returns false. Every worker that fits is
    /// visited if it returns true throughout; after a number of workers that do
    /// not fit, the cells where only some of them do come last. `rotation`
    /// selects the worker of each cell that comes first, so that searches with
    /// different rotations are spread over similar workers.
    void visit(
        const resources& size,
        absl::FunctionRef<bool(const candidate&)> visit,
        std::size_t rotation = 0) const;

private:
    struct position
    {
        std::uint16_t cell = no_cell;
        std::uint32_t at = 0;
    };

    static constexpr std::uint16_t no_cell = size_classes;
    /// Workers that do not fit which a search examines before it leaves the
    /// cells that hold such workers for last.
    static constexpr std::size_t max_misses = 512;
    /// Sizes that are remembered as fitting on no worker.
    static constexpr std::size_t max_failed_sizes = 64;

    /// State of one search.
    struct search;
    /// Visits the members of a cell from the `first` of its rotation on.
    /// Returns false if the caller has stopped the search.
    [[nodiscard]] bool
    visit_cell(search& state, std::uint16_t cell, std::size_t first) const;
    [[nodiscard]] bool visit_plane(search& state, std::size_t plane) const;
    [[nodiscard]] bool is_known_not_to_fit(const resources& size) const;
    void note_not_fitting(const resources& size) const;

    std::array<std::vector<candidate>, size_classes> cells_;
    std::vector<position> positions_;
    class_set occupied_;
    mutable class_set reachable_;
    mutable bool reachable_stale_ = false;
    /// Sizes that fitted on no worker and on none since.
    mutable std::vector<resources> failed_sizes_;
};

} // namespace acaciastile::impl
