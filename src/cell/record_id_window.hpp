#pragma once

#include "cell/fold_outcome.hpp"
#include "domain/result.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Deduplication window: the outcomes of the most recently applied record ids,
/// so that a record that was appended twice has no effect the second time.
///
/// Holds at most `capacity` ids and evicts the oldest. An id is stored as its
/// 128-bit XXH3 digest, so memory use does not depend on its length.
class record_id_window
{
public:
    /// Maximum number of ids. A writer must not resend a record after this many
    /// others were applied; at 1,000 records per second that takes 65 s.
    static constexpr std::size_t capacity = 65'536;

    /// Stores the outcome of an id. No effect if the id is already present.
    void add(std::string_view id, const fold_outcome& outcome);

    /// The stored outcome of an id, marked as a duplicate: the offset of its
    /// first occurrence and, if it was refused, the code. Empty if the id is
    /// not in the window.
    [[nodiscard]] std::optional<fold_outcome> find(std::string_view id) const;

    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

    /// Encodes the window, oldest id first.
    [[nodiscard]] std::string encode() const;
    /// Decodes the result of `encode`. Errors: `malformed`.
    [[nodiscard]] static result<record_id_window>
    decode(std::string_view encoded);

    [[nodiscard]] bool operator==(const record_id_window&) const = default;

private:
    using digest = std::array<std::uint64_t, 2>;

    struct entry
    {
        log_offset offset = 0;
        revision in_force = 0;
        std::optional<refusal_code> refused;
        [[nodiscard]] bool operator==(const entry&) const = default;
    };

    [[nodiscard]] static digest digest_of(std::string_view id) noexcept;
    void add(const digest& key, const entry& added);

    std::deque<digest> order_;
    absl::flat_hash_map<digest, entry> entries_;
};

} // namespace acaciastile
