#pragma once

#include "domain/cell_record.hpp"
#include "domain/result.hpp"

namespace acaciastile
{

class cell_state;

/// The record that publishes new content: only the differences if `base` is
/// the revision in force in `state` and they have fewer entries, otherwise the
/// whole content. Applying either record has the same result.
[[nodiscard]] cell_change
make_publication(const cell_state& state, revision base, inventory content);
[[nodiscard]] cell_change
make_publication(const cell_state& state, revision base, rules content);

/// The difference between two contents.
[[nodiscard]] inventory_changed
change_between(const inventory& before, const inventory& after);
[[nodiscard]] rules_changed
change_between(const rules& before, const rules& after);

/// Applies a difference to a content. Errors: those of `inventory::create` and
/// `rules::create`.
[[nodiscard]] result<inventory>
apply_change(const inventory& before, const inventory_changed& change);
[[nodiscard]] result<rules>
apply_change(const rules& before, const rules_changed& change);

} // namespace acaciastile
