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
    /// left over about first, until it returns false. In cells where only some
    /// workers fit the size it examines a bounded number of them. `rotation`
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
    /// Workers without enough capacity examined before a search stops.
    static constexpr std::size_t max_misses = 512;

    [[nodiscard]] bool visit_cell(
        std::uint16_t cell,
        const resources& size,
        std::size_t& misses,
        absl::FunctionRef<bool(const candidate&)> visit,
        std::size_t rotation) const;
    [[nodiscard]] bool visit_plane(
        std::size_t plane,
        const size_class& least,
        const resources& size,
        std::size_t& misses,
        absl::FunctionRef<bool(const candidate&)> visit,
        std::size_t rotation) const;

    std::array<std::vector<candidate>, size_classes> cells_;
    std::vector<position> positions_;
    class_set occupied_;
    mutable class_set reachable_;
    mutable bool reachable_stale_ = false;
};

} // namespace acaciastile::impl
