#pragma once

#include "domain/result.hpp"
#include "domain/worker_entry.hpp"

#include <vector>

namespace acaciastile
{

/// The workers of the cell, published as one document.
/// Invariants: ids are unique; processors and memory are positive; id, data
/// centre and rack are not empty.
class inventory
{
public:
    inventory() = default;

    /// Checks the invariants and sorts the workers by id.
    /// Errors: `invalid_value`; the message names the first invalid worker.
    [[nodiscard]] static result<inventory>
    create(std::vector<worker_entry> workers);

    [[nodiscard]] const std::vector<worker_entry>& workers() const noexcept
    {
        return workers_;
    }

    /// Null if no worker has this id.
    [[nodiscard]] const worker_entry* find(const worker_id& id) const noexcept;

    [[nodiscard]] bool operator==(const inventory&) const = default;

private:
    std::vector<worker_entry> workers_;
};

} // namespace acaciastile
