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

/// One unfinished idempotent request. It is not stored in the log.
struct live_request
{
    job_spec spec;
    instant arrived{};
    instant deadline{};
    std::uint32_t attempts = 0;      ///< Number of the last attempt.
    std::optional<worker_id> worker; ///< Worker of the last attempt.
    bool may_have_run = false;       ///< A start was sent to a worker.
    bool confirmed = false;          ///< A report lists it as running.
    std::vector<completion<request_answer>> waiters;
};

/// Idempotent requests of one shard, by id. Duplicates of an unfinished request
/// wait for its answer; answers are cached for duplicates that arrive later.
class request_table
{
public:
    /// Null if there is no unfinished request with this id.
    [[nodiscard]] live_request* find(const job_id& id);
    [[nodiscard]] const live_request* find(const job_id& id) const;

    /// Null if no answer is cached.
    [[nodiscard]] const result<request_answer>*
    kept_answer(const job_id& id) const;

    /// Adds an unfinished request.
    live_request& add(job_spec spec, instant arrived, instant deadline);

    /// Answers all waiters, removes the request and, if `keep` is set, caches
    /// the answer.
    void finish(
        instant now,
        const job_id& id,
        const result<request_answer>& answer,
        bool keep);

    /// Requests whose deadline is not after `now`.
    [[nodiscard]] std::vector<job_id> overdue(instant now) const;

    /// Drops the answers cached before `before`, and the oldest ones beyond
    /// `most`.
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
