#pragma once

#include "domain/ids.hpp"
#include "domain/inventory.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciastile
{

/// What operators said of workers beyond the inventory: drained, dead.
///
/// A mark outlives an inventory that does not list the worker, so that a
/// faulty publication reverts nothing. Of the workers that are not listed the
/// newest `most_unlisted` marks of each kind are kept.
class worker_marks
{
public:
    static constexpr std::size_t most_unlisted = 16'384;

    /// Errors: `unknown_worker`, naming the first that the inventory does not
    /// list.
    [[nodiscard]] result<void> drain(
        const std::vector<worker_id>& workers,
        log_offset at,
        const inventory& listed);

    /// Opens workers again: ends their drain and their being dead.
    void undrain(const std::vector<worker_id>& workers);

    /// Declares workers dead, whether listed or not.
    void declare_dead(
        const std::vector<worker_id>& workers,
        log_offset at,
        const inventory& listed);

    /// To be called with each new inventory. A dead worker that it lists with
    /// another address than at its declaration is a replacement and is alive.
    void revise(const inventory& listed);

    [[nodiscard]] bool is_drained(const worker_id& id) const noexcept
    {
        return drained_.contains(id);
    }
    /// Offset of the newest declaration; zero where it is not dead.
    [[nodiscard]] log_offset dead_at(const worker_id& id) const noexcept;

    [[nodiscard]] nlohmann::json to_compact() const;
    /// Errors: `malformed`.
    [[nodiscard]] static result<worker_marks>
    from_compact(const nlohmann::json& value);

    [[nodiscard]] bool operator==(const worker_marks&) const = default;

private:
    struct mark
    {
        log_offset at = 0;
        std::string address; ///< When declared dead; may be empty.
        [[nodiscard]] bool operator==(const mark&) const = default;
    };
    using marks = std::map<worker_id, mark>;
    struct named_mark
    {
        worker_id worker;
        mark content;
    };

    static void trim(marks& kept, const inventory& listed);
    [[nodiscard]] static nlohmann::json encode(const marks& kept);
    [[nodiscard]] static result<named_mark> decode(const nlohmann::json& value);

    marks drained_;
    marks dead_;
};

} // namespace acaciastile
