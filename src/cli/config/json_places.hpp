#pragma once

#include "domain/source_position.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile
{

/// A field that an object has more than once.
struct repeated_field
{
    std::string path;         ///< Such as `queues[3].name`.
    source_position position; ///< Of its second occurrence.
};

/// Line and column of each value in the text of a JSON document.
class json_places
{
public:
    json_places() = default;

    /// Scans a text that `parse_json_text` accepts, or rejects for a repeated
    /// field alone. Of any other text some places are missing.
    [[nodiscard]] static json_places scan(std::string_view text);

    /// Position of the field or item with this path, or else of the nearest
    /// one around it. Zero if the document is empty.
    [[nodiscard]] source_position find(std::string path) const;

    [[nodiscard]] const std::vector<repeated_field>& repeated() const noexcept
    {
        return repeated_;
    }

private:
    std::map<std::string, source_position> places_;
    std::vector<repeated_field> repeated_;
};

} // namespace acaciastile
