#include "cell/relayed_log.hpp"

#include "cell/relay_message.hpp"
#include "cell/stream_names.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

/// A pending read of the cell's stream, sent first to the log and then, if that
/// fails, to a peer.
struct open_read
{
    log_offset from = 0;
    std::size_t limit_bytes = 0;
    completion<log_page> done; ///< Empty once completed.
    instant sent_at{};
    instant asked_peer_at = instant::min();
    error log_error;

    [[nodiscard]] bool at_peer() const noexcept
    {
        return asked_peer_at != instant::min();
    }
};

class peer_backed_log : public relayed_log
{
public:
    peer_backed_log(
        log_service& log,
        peer_gateway& peers,
        relayed_log_settings settings,
        peer_choice choose_peer)
        : log_(log),
          peers_(peers),
          settings_(settings),
          choose_peer_(std::move(choose_peer)),
          tail_(settings.tail_bytes)
    {
    }

    void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override
    {
        log_.append(stream, std::move(bodies), std::move(done));
    }

    void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) override;

    void tick(instant now) override;

    [[nodiscard]] milliseconds answer_age() const noexcept override
    {
        return answer_age_;
    }
    [[nodiscard]] const log_tail& tail() const noexcept override
    {
        return tail_;
    }

private:
    using shared_read = std::shared_ptr<open_read>;

    void ask_log(const shared_read& read);
    void on_log_answer(const shared_read& read, result<log_page> answer);
    void on_log_failed(const shared_read& read, error why);
    void ask_peer(const shared_read& read);
    void
    on_peer_answer(const shared_read& read, const result<std::string>& answer);
    void finish(const shared_read& read, result<log_page> outcome);

    log_service& log_;
    peer_gateway& peers_;
    relayed_log_settings settings_;
    peer_choice choose_peer_;
    log_tail tail_;
    std::vector<shared_read> open_;
    instant now_{};
    instant log_again_at_ = instant::min();
    error last_log_error_;
    milliseconds answer_age_{0};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

void peer_backed_log::read(
    const stream_name& stream,
    log_offset from,
    std::size_t limit_bytes,
    completion<log_page> done)
{
    if (stream != cell_stream())
    {
        log_.read(stream, from, limit_bytes, std::move(done));
        return;
    }
    auto read = std::make_shared<open_read>();
    read->from = from;
    read->limit_bytes = limit_bytes;
    read->done = std::move(done);
    read->sent_at = now_;
    open_.push_back(read);
    if (now_ >= log_again_at_)
    {
        ask_log(read);
        return;
    }
    read->log_error = last_log_error_;
    ask_peer(read);
}

void peer_backed_log::tick(instant now)
{
    now_ = now;
    const std::vector<shared_read> open = open_;
    for (const shared_read& read : open)
    {
        if (read->at_peer())
        {
            if (now - read->asked_peer_at >= settings_.peer_timeout)
            {
                finish(read, tl::unexpected(read->log_error));
            }
        }
        else if (now - read->sent_at >= settings_.log_timeout)
        {
            on_log_failed(
                read,
                {refusal_code::log_unavailable,
                 verdict::not_run,
                 "the log did not answer in time",
                 {}});
        }
    }
}

void peer_backed_log::ask_log(const shared_read& read)
{
    std::weak_ptr<bool> alive = alive_;
    log_.read(
        cell_stream(),
        read->from,
        read->limit_bytes,
        [this, alive, read](result<log_page> answer)
        {
            if (!alive.expired() && read->done && !read->at_peer())
            {
                on_log_answer(read, std::move(answer));
            }
        });
}

void peer_backed_log::on_log_answer(
    const shared_read& read, result<log_page> answer)
{
    if (!answer && answer.error().code == refusal_code::log_unavailable)
    {
        on_log_failed(read, std::move(answer.error()));
        return;
    }
    if (answer)
    {
        answer_age_ = milliseconds{0};
        tail_.add(*answer, read->sent_at);
    }
    finish(read, std::move(answer));
}

void peer_backed_log::on_log_failed(const shared_read& read, error why)
{
    log_again_at_ = now_ + settings_.log_retry;
    last_log_error_ = why;
    read->log_error = std::move(why);
    ask_peer(read);
}

void peer_backed_log::ask_peer(const shared_read& read)
{
    std::string address = choose_peer_();
    if (address.empty())
    {
        finish(read, tl::unexpected(read->log_error));
        return;
    }
    read->asked_peer_at = now_;
    std::weak_ptr<bool> alive = alive_;
    peers_.call(
        {std::move(address),
         relay_read_method,
         encode(relay_request{read->from, read->limit_bytes}),
         settings_.peer_timeout},
        [this, alive, read](const result<std::string>& answer)
        {
            if (!alive.expired() && read->done)
            {
                on_peer_answer(read, answer);
            }
        });
}

void peer_backed_log::on_peer_answer(
    const shared_read& read, const result<std::string>& answer)
{
    auto reply = answer ? decode_relay_reply(*answer)
                        : result<relay_reply>(tl::unexpected(answer.error()));
    if (!reply)
    {
        finish(read, tl::unexpected(read->log_error));
        return;
    }
    const instant contact = read->asked_peer_at - reply->age;
    const bool fresher = tail_.contact() == instant::min() ||
                         contact >= tail_.contact() + settings_.least_gain;
    if (!fresher)
    {
        finish(read, tl::unexpected(read->log_error));
        return;
    }
    answer_age_ = std::max(read->sent_at - contact, milliseconds{0});
    tail_.add(reply->page, contact);
    finish(read, std::move(reply->page));
}

void peer_backed_log::finish(const shared_read& read, result<log_page> outcome)
{
    std::erase(open_, read);
    auto done = std::exchange(read->done, nullptr);
    done(std::move(outcome));
}

} // namespace

std::unique_ptr<relayed_log> relayed_log::create(
    log_service& log,
    peer_gateway& peers,
    relayed_log_settings settings,
    peer_choice choose_peer)
{
    return std::make_unique<peer_backed_log>(
        log, peers, settings, std::move(choose_peer));
}

} // namespace acaciastile
