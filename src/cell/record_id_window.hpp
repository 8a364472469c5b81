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

/// The outcomes of the newest record ids that were folded, so that a record
/// that was appended twice folds to nothing the second time.
///
/// Bounded: beyond `capacity` ids the oldest is forgotten. Ids are kept as
/// their 128-bit XXH3 digest, so that memory does not depend on their length.
class record_id_window
{
public:
    /// How many ids are kept. A writer must not send a record again after
    /// that many others were folded: at 1,000 records a second it has 65 s.
    static constexpr std::size_t capacity = 65'536;

    /// Keeps the outcome of an id. Does nothing where the id is kept already.
    void add(std::string_view id, const fold_outcome& outcome);

    /// The outcome of an id as a duplicate: the offset where it was first
    /// read and, where it was refused, the code. Empty where not kept.
    [[nodiscard]] std::optional<fold_outcome> find(std::string_view id) const;

    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

    /// The window as bytes, oldest id first, and back. Errors: `malformed`.
    [[nodiscard]] std::string encode() const;
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
