#include "cell/snapshot_writer.hpp"

#include "cell/stream_names.hpp"

#include <optional>
#include <utility>

namespace acaciastile
{

namespace
{

/// The snapshot that is being written to the log.
struct snapshot_job
{
    snapshot_notice notice;
    std::vector<std::string> chunks; ///< Encoded.
    std::size_t written = 0;         ///< Chunks confirmed.
    instant deadline{};
    completion<snapshot_notice> done;
};

class chunk_writer : public snapshot_writer
{
public:
    chunk_writer(
        log_service& log, snapshot_writer_settings settings, std::uint64_t seed)
        : log_(log),
          settings_(settings),
          backoff_(backoff::create(settings.retry, seed))
    {
    }

    void write(
        instant now,
        std::string id,
        log_offset covered,
        std::string encoded,
        completion<snapshot_notice> done) override
    {
        if (job_)
        {
            done(refuse(
                refusal_code::overloaded, "a snapshot is being written"));
            return;
        }
        snapshot_job job;
        for (const snapshot_chunk& chunk :
             split_snapshot(id, encoded, settings_.chunk_bytes))
        {
            job.chunks.push_back(encode(chunk));
        }
        job.notice.id = std::move(id);
        job.notice.covered = covered;
        job.notice.count = static_cast<std::uint32_t>(job.chunks.size());
        job.notice.bytes = encoded.size();
        job.notice.checksum = checksum_of(encoded);
        job.deadline = now + settings_.patience;
        job.done = std::move(done);
        job_ = std::move(job);
    }

    void tick(instant now) override
    {
        now_ = now;
        if (in_flight_ && now - sent_at_ >= settings_.append_timeout)
        {
            on_failed();
        }
        if (job_ && now >= job_->deadline)
        {
            give_up();
        }
        if (job_ && !in_flight_ && now >= next_send_)
        {
            send();
        }
    }

    [[nodiscard]] bool busy() const noexcept override
    {
        return job_.has_value();
    }

private:
    void send()
    {
        bool chunks_done = job_->written == job_->chunks.size();
        std::string body =
            chunks_done ? encode(job_->notice) : job_->chunks[job_->written];
        in_flight_ = true;
        sent_at_ = now_;
        next_send_ = now_ + settings_.append_interval;
        std::weak_ptr<bool> alive = alive_;
        log_.append(
            chunks_done ? snapshot_index_stream() : snapshot_stream(),
            {std::move(body)},
            [this, alive, append = append_](result<append_receipt> answer)
            {
                if (!alive.expired() && append == append_)
                {
                    on_answer(answer);
                }
            });
    }

    void on_answer(const result<append_receipt>& answer)
    {
        if (!answer)
        {
            on_failed();
            return;
        }
        end_append();
        backoff_.reset();
        if (job_->written == job_->chunks.size())
        {
            finish();
            return;
        }
        if (job_->written == 0)
        {
            job_->notice.first_chunk = answer->first;
        }
        ++job_->written;
    }

    void on_failed()
    {
        end_append();
        next_send_ = now_ + settings_.append_interval + backoff_.next_delay();
    }

    void end_append()
    {
        ++append_;
        in_flight_ = false;
    }

    void finish()
    {
        snapshot_job job = std::move(*job_);
        job_.reset();
        job.done(job.notice);
    }

    void give_up()
    {
        end_append();
        snapshot_job job = std::move(*job_);
        job_.reset();
        job.done(refuse(
            refusal_code::log_unavailable,
            verdict::may_have_run,
            "timed out while writing the snapshot to the log"));
    }

    log_service& log_;
    snapshot_writer_settings settings_;
    backoff backoff_;
    std::optional<snapshot_job> job_;
    instant now_{};
    instant sent_at_{};
    instant next_send_ = instant::min();
    bool in_flight_ = false;
    std::uint64_t append_ = 0; ///< Ignores answers to other appends.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<snapshot_writer> snapshot_writer::create(
    log_service& log, snapshot_writer_settings settings, std::uint64_t seed)
{
    return std::make_unique<chunk_writer>(log, settings, seed);
}

} // namespace acaciastile
