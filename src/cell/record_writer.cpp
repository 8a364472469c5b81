#include "cell/record_writer.hpp"

#include "cell/backoff.hpp"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

/// Sequence number of a record, in the order of the calls to `write`.
using write_number = std::uint64_t;

struct pending_record
{
    std::string id;
    std::string body;
    instant deadline{};
    completion<fold_outcome> done;
    bool in_flight = false;     ///< Part of the append in flight.
    bool may_be_in_log = false; ///< An append with an unknown result.
    bool appended = false;      ///< An append was confirmed.
};

class batching_record_writer : public record_writer
{
public:
    batching_record_writer(
        log_service& log,
        stream_name stream,
        record_writer_settings settings,
        std::uint64_t seed)
        : log_(log),
          stream_(std::move(stream)),
          settings_(settings),
          backoff_(
              backoff::create({settings.retry_base, settings.retry_cap}, seed))
    {
    }

    void write(
        instant now,
        std::string record_id,
        std::string body,
        milliseconds patience,
        completion<fold_outcome> done) override;

    void
    settle(const std::string& record_id, const fold_outcome& outcome) override;

    void settle_known(const outcome_lookup& lookup) override;
    void tick(instant now) override;
    void abandon(const error& why) override;

    void set_batch_interval(milliseconds interval) override
    {
        settings_.batch_interval = interval;
    }

    [[nodiscard]] std::size_t pending() const noexcept override
    {
        return records_.size();
    }
    [[nodiscard]] std::uint64_t appends_sent() const noexcept override
    {
        return appends_sent_;
    }
    [[nodiscard]] bool wants_read() const noexcept override
    {
        return unread_ > 0;
    }

private:
    void give_up_expired();
    void send_batch();
    [[nodiscard]] std::vector<std::string> take_batch();
    void on_answer(const result<append_receipt>& answer);
    void on_appended();
    void on_failed(verdict effect);
    [[nodiscard]] pending_record remove(write_number number);
    [[nodiscard]] bool in_flight() const noexcept { return !batch_.empty(); }
    static void
    give_up(pending_record record, refusal_code code, const std::string& why);

    log_service& log_;
    stream_name stream_;
    record_writer_settings settings_;
    backoff backoff_;
    std::map<write_number, pending_record> records_;
    absl::flat_hash_map<std::string, write_number> numbers_;
    std::set<std::pair<instant, write_number>> deadlines_;
    std::set<write_number> to_send_;
    std::vector<write_number> batch_; ///< In flight; empty if none.
    std::uint64_t append_ = 0;        ///< Ignores answers to other appends.
    write_number last_number_ = 0;
    std::size_t unread_ = 0; ///< Records appended but not read back.
    std::uint64_t appends_sent_ = 0;
    instant now_{};
    instant sent_at_{};
    instant next_send_ = instant::min();
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

void batching_record_writer::write(
    instant now,
    std::string record_id,
    std::string body,
    milliseconds patience,
    completion<fold_outcome> done)
{
    if (records_.size() >= settings_.pending_records)
    {
        done(refuse(
            refusal_code::overloaded,
            "too many records are pending for the log"));
        return;
    }
    if (numbers_.contains(record_id))
    {
        done(refuse(
            refusal_code::conflicting_id,
            "a record with this id is already pending"));
        return;
    }
    write_number number = ++last_number_;
    pending_record record;
    record.id = std::move(record_id);
    record.body = std::move(body);
    record.deadline = now + patience;
    record.done = std::move(done);
    numbers_.emplace(record.id, number);
    deadlines_.emplace(record.deadline, number);
    to_send_.insert(number);
    records_.emplace(number, std::move(record));
}

void batching_record_writer::settle(
    const std::string& record_id, const fold_outcome& outcome)
{
    auto at = numbers_.find(record_id);
    if (at == numbers_.end())
    {
        return;
    }
    pending_record record = remove(at->second);
    record.done(outcome);
}

void batching_record_writer::settle_known(const outcome_lookup& lookup)
{
    std::vector<std::pair<std::string, fold_outcome>> known;
    for (const auto& [number, record] : records_)
    {
        if (auto outcome = lookup(record.id))
        {
            known.emplace_back(record.id, std::move(*outcome));
        }
    }
    for (const auto& [id, outcome] : known)
    {
        settle(id, outcome);
    }
}

void batching_record_writer::tick(instant now)
{
    now_ = now;
    if (in_flight() && now - sent_at_ >= settings_.append_timeout)
    {
        ++append_; // Ignores a late answer.
        on_failed(verdict::may_have_run);
    }
    give_up_expired();
    if (!in_flight() && !to_send_.empty() && now >= next_send_)
    {
        send_batch();
    }
}

void batching_record_writer::abandon(const error& why)
{
    ++append_;
    batch_.clear();
    std::vector<pending_record> given_up;
    while (!records_.empty())
    {
        given_up.push_back(remove(records_.begin()->first));
    }
    for (pending_record& record : given_up)
    {
        give_up(std::move(record), why.code, why.message);
    }
}

void batching_record_writer::give_up_expired()
{
    std::vector<pending_record> given_up;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
    {
        given_up.push_back(remove(deadlines_.begin()->second));
    }
    for (pending_record& record : given_up)
    {
        give_up(
            std::move(record),
            refusal_code::log_unavailable,
            "the record was not read back from the log in time");
    }
}

void batching_record_writer::send_batch()
{
    std::vector<std::string> bodies = take_batch();
    ++append_;
    ++appends_sent_;
    sent_at_ = now_;
    next_send_ = now_ + settings_.batch_interval;
    std::weak_ptr<bool> alive = alive_;
    log_.append(
        stream_,
        std::move(bodies),
        [this, alive, append = append_](result<append_receipt> answer)
        {
            if (!alive.expired() && append == append_)
            {
                on_answer(answer);
            }
        });
}

std::vector<std::string> batching_record_writer::take_batch()
{
    std::vector<std::string> bodies;
    std::size_t bytes = 0;
    while (!to_send_.empty() && bodies.size() < settings_.batch_records)
    {
        write_number number = *to_send_.begin();
        pending_record& record = records_.at(number);
        std::size_t size = record.body.size();
        if (!bodies.empty() && bytes + size > settings_.batch_bytes)
        {
            break;
        }
        bytes += size;
        record.in_flight = true;
        bodies.push_back(record.body);
        batch_.push_back(number);
        to_send_.erase(to_send_.begin());
    }
    return bodies;
}

void batching_record_writer::on_answer(const result<append_receipt>& answer)
{
    ++append_;
    if (answer)
    {
        on_appended();
    }
    else
    {
        on_failed(answer.error().effect);
    }
}

void batching_record_writer::on_appended()
{
    backoff_.reset();
    for (write_number number : std::exchange(batch_, {}))
    {
        auto at = records_.find(number);
        if (at != records_.end())
        {
            at->second.in_flight = false;
            at->second.appended = true;
            ++unread_;
        }
    }
}

void batching_record_writer::on_failed(verdict effect)
{
    for (write_number number : std::exchange(batch_, {}))
    {
        auto at = records_.find(number);
        if (at != records_.end())
        {
            at->second.in_flight = false;
            at->second.may_be_in_log |= effect != verdict::not_run;
            to_send_.insert(number);
        }
    }
    // If the answer was lost, waits longer so that the reader can settle the
    // records that were in fact appended.
    milliseconds least = effect == verdict::not_run ? settings_.batch_interval
                                                    : settings_.retry_base;
    next_send_ = now_ + least + backoff_.next_delay();
}

pending_record batching_record_writer::remove(write_number number)
{
    auto at = records_.find(number);
    pending_record record = std::move(at->second);
    records_.erase(at);
    numbers_.erase(record.id);
    deadlines_.erase({record.deadline, number});
    to_send_.erase(number);
    unread_ -= record.appended ? 1 : 0;
    return record;
}

void batching_record_writer::give_up(
    pending_record record, refusal_code code, const std::string& why)
{
    bool may_have_run =
        record.in_flight || record.may_be_in_log || record.appended;
    verdict effect = may_have_run ? verdict::may_have_run : verdict::not_run;
    record.done(refuse(code, effect, why));
}

} // namespace

std::unique_ptr<record_writer> record_writer::create(
    log_service& log,
    stream_name stream,
    record_writer_settings settings,
    std::uint64_t seed)
{
    return std::make_unique<batching_record_writer>(
        log, std::move(stream), settings, seed);
}

} // namespace acaciastile
