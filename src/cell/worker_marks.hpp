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

/// Workers that operators drained or declared dead.
///
/// Marks stay when a new inventory does not list the worker, so that a faulty
/// publication does not revert them. For unlisted workers only the newest
/// `max_unlisted_marks` marks of each kind are kept.
class worker_marks
{
public:
    static constexpr std::size_t max_unlisted_marks = 16'384;

    /// Marks workers as drained at the log offset `at`. Errors:
    /// `unknown_worker`, naming the first worker that the inventory does not
    /// list; no worker is marked then.
    [[nodiscard]] result<void> drain(
        const std::vector<worker_id>& workers,
        log_offset at,
        const inventory& listed);

    /// Removes the drained and dead marks of workers.
    void undrain(const std::vector<worker_id>& workers);

    /// Declares workers dead, whether listed or not.
    void declare_dead(
        const std::vector<worker_id>& workers,
        log_offset at,
        const inventory& listed);

    /// Must be called with each new inventory. A dead worker whose address
    /// there differs from the one at its declaration is a replacement and is
    /// no longer marked dead.
    void revise(const inventory& listed);

    [[nodiscard]] bool is_drained(const worker_id& id) const noexcept
    {
        return drained_.contains(id);
    }
    /// Offset of the newest declaration; zero if the worker is not dead.
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
        std::string address; ///< At the declaration; may be empty.
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
