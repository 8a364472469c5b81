#pragma once

#include "cell/control.hpp"
#include "domain/instant.hpp"
#include "domain/job_spec.hpp"
#include "domain/task_id.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace acaciastile
{

/// One idempotent request on its way; it is in no log.
struct live_request
{
    job_spec spec;
    instant arrived{};
    instant deadline{};
    std::uint32_t attempts = 0;      ///< Number of the last attempt.
    std::optional<worker_id> worker; ///< Where the last attempt is.
    bool may_have_run = false;       ///< An attempt was sent somewhere.
    bool confirmed = false;          ///< The worker was seen running it.
    std::vector<completion<request_answer>> waiters;
};

/// Idempotent requests of one shard, by id: copies of one request join, and
/// answers are kept for a while for copies that come late.
class request_table
{
public:
    /// Null where there is none on its way.
    [[nodiscard]] live_request* find(const job_id& id);
    [[nodiscard]] const live_request* find(const job_id& id) const;

    /// Null where none is kept.
    [[nodiscard]] const result<request_answer>*
    kept_answer(const job_id& id) const;

    live_request& add(job_spec spec, instant arrived, instant deadline);

    /// Answers all waiters, removes the request and keeps the answer where
    /// `keep` is set.
    void finish(
        instant now,
        const job_id& id,
        const result<request_answer>& answer,
        bool keep);

    /// Requests whose deadline is not after `now`.
    [[nodiscard]] std::vector<job_id> overdue(instant now) const;

    void forget_answers(instant before, std::size_t most);

    [[nodiscard]] std::size_t size() const noexcept { return live_.size(); }
    [[nodiscard]] const std::map<job_id, live_request>& live() const noexcept
    {
        return live_;
    }

private:
    std::map<job_id, live_request> live_;
    std::set<std::pair<instant, job_id>> deadlines_;
    std::map<job_id, result<request_answer>> answers_;
    std::deque<std::pair<instant, job_id>> answered_;
};

} // namespace acaciastile
