#include "cell/stream_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace acaciastile
{

namespace
{

/// Parses the first retained offset, which is the last number in the message
/// of an `offset_expired` error. Zero if there is none.
log_offset number_in(std::string_view message)
{
    constexpr std::string_view digits = "0123456789";
    std::size_t last = message.find_last_of(digits);
    if (last == std::string_view::npos)
    {
        return 0;
    }
    std::size_t before = message.find_last_not_of(digits, last);
    std::size_t first = before == std::string_view::npos ? 0 : before + 1;
    log_offset number = 0;
    std::from_chars(message.data() + first, message.data() + last + 1, number);
    return number;
}

class polling_stream_reader : public stream_reader
{
public:
    polling_stream_reader(
        log_service& log,
        stream_name stream,
        log_offset from,
        stream_reader_settings settings,
        entry_handler on_entry,
        expiry_handler on_expired)
        : log_(log),
          stream_(std::move(stream)),
          settings_(std::move(settings)),
          on_entry_(std::move(on_entry)),
          on_expired_(std::move(on_expired)),
          next_(from)
    {
    }

    void tick(instant now) override
    {
        now_ = now;
        if (in_flight_ && now - sent_at_ >= settings_.read_timeout)
        {
            drop_read();
            fail();
        }
        if (!in_flight_ && now >= due_)
        {
            send();
        }
    }

    void poll_soon() override
    {
        if (!failing_)
        {
            due_ = now_;
        }
    }

    void restart(log_offset from) override
    {
        drop_read();
        next_ = from;
        at_head_ = false;
        due_ = now_;
    }

    [[nodiscard]] log_offset next() const noexcept override { return next_; }
    [[nodiscard]] bool at_head() const noexcept override { return at_head_; }
    [[nodiscard]] instant last_contact() const noexcept override
    {
        return last_contact_;
    }
    [[nodiscard]] bool failing() const noexcept override { return failing_; }

private:
    void send()
    {
        in_flight_ = true;
        sent_at_ = now_;
        std::weak_ptr<bool> alive = alive_;
        log_.read(
            stream_,
            next_,
            settings_.page_bytes,
            [this, alive, read = read_](result<log_page> answer)
            {
                if (!alive.expired() && read == read_)
                {
                    on_answer(std::move(answer));
                }
            });
    }

    /// Abandons the read in flight; its answer will be ignored.
    void drop_read()
    {
        ++read_;
        in_flight_ = false;
    }

    void on_answer(result<log_page> answer)
    {
        drop_read();
        if (answer)
        {
            take(*answer);
        }
        else if (answer.error().code == refusal_code::offset_expired)
        {
            expire(number_in(answer.error().message));
        }
        else
        {
            fail();
        }
    }

    void fail()
    {
        failing_ = true;
        due_ = now_ + settings_.retry_interval;
    }

    void expire(log_offset first_kept)
    {
        failing_ = false;
        at_head_ = false;
        due_ = now_ + settings_.retry_interval;
        on_expired_(first_kept);
    }

    void take(const log_page& page)
    {
        failing_ = false;
        due_ = now_ + settings_.poll_interval;
        if (page.head < next_)
        {
            at_head_ = false; // Stale answer, overtaken by a newer one.
            return;
        }
        const std::uint64_t read = read_;
        for (const log_entry& entry : page.entries)
        {
            if (entry.offset < next_)
            {
                continue;
            }
            next_ = entry.offset + 1;
            on_entry_(entry);
            if (read != read_)
            {
                return; // The handler called `restart`.
            }
        }
        next_ = std::max(next_, page.next);
        finish_page(page.head);
    }

    void finish_page(log_offset head)
    {
        at_head_ = next_ >= head;
        if (at_head_)
        {
            last_contact_ = std::max(last_contact_, sent_at_ - answer_age());
        }
        else
        {
            due_ = now_;
        }
    }

    [[nodiscard]] milliseconds answer_age() const
    {
        return settings_.answer_age ? settings_.answer_age() : milliseconds{0};
    }

    log_service& log_;
    stream_name stream_;
    stream_reader_settings settings_;
    entry_handler on_entry_;
    expiry_handler on_expired_;
    log_offset next_;
    instant now_{};
    instant due_ = instant::min();
    instant sent_at_{};
    instant last_contact_ = instant::min();
    bool in_flight_ = false;
    bool at_head_ = false;
    bool failing_ = false;
    std::uint64_t read_ = 0; ///< Answers to other reads are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

std::unique_ptr<stream_reader> stream_reader::create(
    log_service& log,
    stream_name stream,
    log_offset from,
    stream_reader_settings settings,
    entry_handler on_entry,
    expiry_handler on_expired)
{
    return std::make_unique<polling_stream_reader>(
        log,
        std::move(stream),
        from,
        std::move(settings),
        std::move(on_entry),
        std::move(on_expired));
}

} // namespace acaciastile
