#pragma once

#include "domain/event_sink.hpp"
#include "domain/metric_sink.hpp"
#include "fleet/ports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace acaciastile::fleet
{

struct intake_settings
{
    /// Delay before jobs whose append failed or timed out are appended again.
    milliseconds retry_delay{60};
    /// Delay before a store that refused an append is asked again. Jobs that
    /// arrive meanwhile join that append.
    milliseconds refused_retry_delay{150};
    /// Reserved before a caller's deadline for returning the outcome; at most a
    /// quarter of the time left.
    milliseconds answer_margin{150};
    /// Concurrent appends while the store answers them fast, each to a topic of
    /// its own.
    std::size_t max_appends = 2;
    /// A store that has not answered an append for this long is slow. If many
    /// bytes wait by then, a further append is sent to the next topic, up to
    /// one for each topic: a slow store limits the bytes a second of a topic.
    milliseconds slow_append_after{40};
    /// Bytes of waiting jobs that are worth such an append.
    std::size_t slow_append_bytes = 32U << 10U;
    /// Topic that is used first, so that VMs that store jobs on their own do
    /// not all wait for the same one.
    std::size_t first_topic = 0;
    /// Jobs that may wait to be appended; further ones are not taken.
    std::size_t max_waiting_jobs = 2'000;
    /// Largest append request in bytes. A group is closed once its records
    /// reach half of it.
    std::size_t request_bytes = 2U << 20U;
};

/// Outcome of a submitted job.
enum class intake_outcome
{
    stored,
    refused, ///< Not stored, and this request will not store it later.
    unknown  ///< May be stored now or later.
};

/// How long a job may wait to be stored.
struct intake_terms
{
    instant deadline{}; ///< Of the caller.
    /// An earlier attempt through another VM may have stored the job: the
    /// outcome is then never `refused`.
    bool may_be_stored = false;
    /// How long the job waits for a store that refuses appends; at most a third
    /// of the time to the deadline. Zero if somebody else can store it.
    milliseconds patience{0};
};

/// Appends accepted jobs to the metadata store in groups. Jobs that arrive
/// while the permitted appends are in flight are combined into the next one.
class job_intake : public std::enable_shared_from_this<job_intake>
{
public:
    using completion = std::function<void(intake_outcome, std::string)>;

    [[nodiscard]] static std::shared_ptr<job_intake> create(
        intake_settings settings,
        metadata_store& store,
        scheduler_clock& clock,
        metric_sink& metrics);

    /// Stores a job and calls `done` once with the outcome and, unless it is
    /// `stored`, the reason; at the latest shortly before the deadline (see
    /// `answer_margin`).
    void
    submit(const accepted_job& job, const intake_terms& terms, completion done);

private:
    struct waiting_job
    {
        store_record record;
        instant deadline{};
        instant patient_until{}; ///< Waits until then for a refusing store.
        completion done;
        bool may_be_stored = false; ///< An earlier append may have stored it.
        bool completed = false;
    };
    using job_ptr = std::shared_ptr<waiting_job>;

    job_intake(
        intake_settings settings,
        metadata_store& store,
        scheduler_clock& clock,
        metric_sink& metrics);

    void append_group();
    void append_later(milliseconds delay);
    /// The topic for the next append; empty if the appends in flight have to be
    /// answered first.
    [[nodiscard]] std::optional<std::size_t> free_topic() const;
    void on_append_done(
        std::size_t topic,
        std::vector<job_ptr> group,
        const result<log_offset>& stored);
    void expire(const job_ptr& job);

    intake_settings settings_;
    metadata_store& store_;
    scheduler_clock& clock_;
    metric_sink& metrics_;
    std::vector<job_ptr> waiting_;
    std::size_t waiting_bytes_ = 0; ///< Of the records in `waiting_`.
    std::vector<bool> topic_busy_;  ///< An append to it is in flight.
    instant last_append_{};         ///< When the last append was sent.
    /// When a store that refused the last append may be asked again.
    instant next_append_{};
};

} // namespace acaciastile::fleet
