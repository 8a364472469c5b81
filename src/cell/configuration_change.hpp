#pragma once

#include "domain/cell_record.hpp"
#include "domain/result.hpp"

namespace acaciastile
{

class cell_state;

/// The record that brings a whole new inventory in force: only what changes,
/// where the base is the revision folded here and that is shorter, else the
/// whole. The fold decides on either in the same way.
[[nodiscard]] cell_change
publication(const cell_state& state, revision base, inventory content);
[[nodiscard]] cell_change
publication(const cell_state& state, revision base, rules content);

/// What turns one content into the other.
[[nodiscard]] inventory_changed
change_between(const inventory& before, const inventory& after);
[[nodiscard]] rules_changed
change_between(const rules& before, const rules& after);

/// The content after a change. Errors: those of the aggregate's `create`.
[[nodiscard]] result<inventory>
apply_change(const inventory& before, const inventory_changed& change);
[[nodiscard]] result<rules>
apply_change(const rules& before, const rules_changed& change);

} // namespace acaciastile
