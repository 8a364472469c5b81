#pragma once

#include "domain/result.hpp"
#include "domain/worker_entry.hpp"

#include <vector>

namespace acaciastile
{

/// The workers of the cell as one published document.
/// Holds: ids are unique, capacities are positive, names are not empty.
class inventory
{
public:
    inventory() = default;

    /// Checks the rules of the aggregate and sorts the entries by id.
    /// Errors: `invalid_value`, naming the first offending worker.
    [[nodiscard]] static result<inventory>
    create(std::vector<worker_entry> workers);

    [[nodiscard]] const std::vector<worker_entry>& workers() const noexcept
    {
        return workers_;
    }

    /// Null where no worker has that id.
    [[nodiscard]] const worker_entry* find(const worker_id& id) const noexcept;

    [[nodiscard]] bool operator==(const inventory&) const = default;

private:
    std::vector<worker_entry> workers_;
};

} // namespace acaciastile
