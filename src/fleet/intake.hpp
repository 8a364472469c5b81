#pragma once

#include "domain/event_sink.hpp"
#include "domain/metric_sink.hpp"
#include "fleet/ports.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace acaciastile::fleet
{

struct intake_settings
{
    /// Until an append without an answer is sent again.
    milliseconds retry{60};
    /// Kept of a caller's deadline for the way back.
    milliseconds answer_margin{150};
    /// Appends under way at once: while the store is slow, the next group need
    /// not wait for the answer to the one before.
    std::size_t most_appends = 2;
    /// Jobs that wait to be stored, at most.
    std::size_t most_waiting = 2'000;
    std::size_t request_bytes = 2U << 20U; ///< Of one append.
};

/// What came of handing a job in.
enum class intake_outcome
{
    stored,
    refused, ///< It is not stored and never will be by this request.
    unknown  ///< It may be stored.
};

/// Stores accepted jobs in groups: what arrives while an append is under way
/// goes into the next one.
class job_intake : public std::enable_shared_from_this<job_intake>
{
public:
    using completion = std::function<void(intake_outcome, std::string)>;

    [[nodiscard]] static std::shared_ptr<job_intake> create(
        intake_settings settings,
        metadata_store& store,
        scheduler_clock& clock,
        metric_sink& metrics);

    /// `done` is called once, no later than the deadline less a margin.
    /// `may_be_stored`: an earlier try on another way had no answer.
    void submit(
        const accepted_job& job,
        instant deadline,
        bool may_be_stored,
        completion done);

private:
    struct waiting_job
    {
        store_record record;
        instant deadline{};
        completion done;
        bool sent = false; ///< An append of it had no answer.
        bool told = false;
    };
    using job_ptr = std::shared_ptr<waiting_job>;

    job_intake(
        intake_settings settings,
        metadata_store& store,
        scheduler_clock& clock,
        metric_sink& metrics);

    void send();
    void
    on_answer(std::vector<job_ptr> group, const result<log_offset>& stored);
    void expire(const job_ptr& job);

    intake_settings settings_;
    metadata_store& store_;
    scheduler_clock& clock_;
    metric_sink& metrics_;
    std::vector<job_ptr> waiting_;
    std::size_t appends_ = 0;
};

} // namespace acaciastile::fleet
