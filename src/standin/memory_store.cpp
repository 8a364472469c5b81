#include "standin/memory_store.hpp"

#include <algorithm>
#include <memory>

namespace acaciastile::standin
{

namespace
{

/// Time after which clients stop waiting for a reply.
constexpr milliseconds answer_timeout{1'200};
/// Number of appends per producer whose result is kept, so that a repeated
/// append gets the same result.
constexpr std::size_t kept_results_per_producer = 5;

tl::unexpected<error> unavailable(verdict effect)
{
    return refuse(
        refusal_code::log_unavailable, effect, "the store is unavailable");
}

} // namespace

void memory_store::put(
    const std::string& topic, const std::string& key, const std::string& value)
{
    static_cast<void>(append(topic, {{0, key, value}}, {}));
}

void memory_store::truncate_before(const std::string& topic, log_offset offset)
{
    topic_state& data = topics_[topic];
    while (data.first < offset && !data.records.empty())
    {
        data.records.erase(data.records.begin());
        ++data.first;
    }
}

log_offset memory_store::end(const std::string& topic) const
{
    const auto at = topics_.find(topic);
    return at == topics_.end() ? 0
                               : at->second.first + at->second.records.size();
}

std::string
memory_store::newest(const std::string& topic, const std::string& key) const
{
    const auto at = topics_.find(topic);
    if (at == topics_.end() || !at->second.newest.contains(key))
    {
        return {};
    }
    return at->second.newest.at(key).value;
}

void memory_store::add(topic_state& to, fleet::store_record record)
{
    record.offset = to.first + to.records.size();
    if (record.value.empty())
    {
        to.newest.erase(record.key);
    }
    else if (!record.key.empty())
    {
        to.newest[record.key] = record;
    }
    to.records.push_back(std::move(record));
}

result<log_offset> memory_store::append(
    const std::string& topic,
    const std::vector<fleet::store_record>& records,
    const fleet::append_options& options)
{
    topic_state& data = topics_[topic];
    const log_offset end = data.first + data.records.size();
    if (options.expected_end && *options.expected_end != end)
    {
        return refuse(
            refusal_code::revision_conflict,
            "the topic does not end at the expected offset");
    }
    if (options.fence)
    {
        producer& by = data.producers[options.fence->name];
        if (options.fence->epoch < by.epoch)
        {
            return refuse(refusal_code::stale_epoch, "fenced");
        }
        if (options.fence->epoch > by.epoch)
        {
            by = {options.fence->epoch, options.fence->sequence, {}};
        }
        if (const auto before = by.results.find(options.fence->sequence);
            before != by.results.end())
        {
            return before->second;
        }
        if (options.fence->sequence != by.next_sequence)
        {
            return refuse(refusal_code::stale_epoch, "seq");
        }
        ++by.next_sequence;
        by.results.emplace(options.fence->sequence, end);
        if (by.results.size() > kept_results_per_producer)
        {
            by.results.erase(by.results.begin());
        }
    }
    for (const fleet::store_record& record : records)
    {
        add(data, record);
    }
    std::vector<std::function<void()>> long_polls;
    long_polls.swap(data.long_polls);
    for (auto& long_poll : long_polls)
    {
        clock_.after(milliseconds::zero(), std::move(long_poll));
    }
    return end;
}

void memory_store::client::append(
    const std::string& topic,
    std::vector<fleet::store_record> records,
    fleet::append_options options,
    fleet::completion<log_offset> done)
{
    ++store_.calls.appends;
    store_.calls.largest_append =
        std::max(store_.calls.largest_append, records.size());
    fleet::scheduler_clock& clock = store_.clock_;
    switch (rejected_appends.contains(topic) ? store_mode::refusing : mode())
    {
    case store_mode::healthy:
        clock.after(
            store_.latency,
            [this, topic, records, options, done]
            { done(store_.append(topic, records, options)); });
        return;
    case store_mode::refusing:
        clock.after(
            store_.latency, [done] { done(unavailable(verdict::not_run)); });
        return;
    case store_mode::silent:
        break;
    case store_mode::losing_answers:
        static_cast<void>(store_.append(topic, records, options));
        break;
    case store_mode::applying_late:
        clock.after(
            store_.apply_delay,
            [this, topic, records, options]
            { static_cast<void>(store_.append(topic, records, options)); });
        break;
    }
    clock.after(
        answer_timeout, [done] { done(unavailable(verdict::may_have_run)); });
}

void memory_store::client::read(
    const std::string& topic,
    log_offset from,
    milliseconds wait,
    fleet::completion<fleet::store_page> done)
{
    ++store_.calls.reads;
    store_.clock_.after(
        store_.latency,
        [this,
         topic,
         from,
         until = store_.clock_.now() + wait,
         done = std::move(done)] { try_read(topic, from, until, done); });
}

void memory_store::client::try_read(
    const std::string& topic,
    log_offset from,
    instant until,
    fleet::completion<fleet::store_page> done)
{
    if (read_mode(topic) == store_mode::refusing)
    {
        done(unavailable(verdict::not_run));
        return;
    }
    if (read_mode(topic) == store_mode::silent)
    {
        store_.clock_.after(
            answer_timeout,
            [done] { done(unavailable(verdict::may_have_run)); });
        return;
    }
    topic_state& data = store_.topics_[topic];
    const log_offset end = data.first + data.records.size();
    if (from < data.first)
    {
        done(refuse(refusal_code::offset_expired, std::to_string(data.first)));
        return;
    }
    if (store_.long_polls_ignore_appends && store_.clock_.now() < until)
    {
        store_.clock_.after(
            until - store_.clock_.now(),
            [from, done]
            {
                fleet::store_page page;
                page.end = from;
                page.topic_end = from;
                done(std::move(page));
            });
        return;
    }
    if (from >= end && store_.clock_.now() < until)
    {
        auto answered = std::make_shared<bool>(false);
        auto retry = [this, topic, from, until, done, answered]
        {
            if (!*answered)
            {
                *answered = true;
                try_read(topic, from, until, done);
            }
        };
        data.long_polls.emplace_back(retry);
        store_.clock_.after(until - store_.clock_.now(), retry);
        return;
    }
    fleet::store_page page;
    page.topic_end = std::max(from, end);
    page.end = page.topic_end;
    if (from < end)
    {
        page.end = std::min(end, from + store_.page_records);
        page.records.assign(
            data.records.begin() +
                static_cast<std::ptrdiff_t>(from - data.first),
            data.records.begin() +
                static_cast<std::ptrdiff_t>(page.end - data.first));
    }
    done(std::move(page));
}

void memory_store::client::read_newest(
    const std::string& topic,
    fleet::newest_observer observer,
    fleet::completion<fleet::store_page> done)
{
    ++store_.calls.reads;
    store_.clock_.after(
        store_.latency,
        [this, topic, observer = std::move(observer), done = std::move(done)]
        {
            if (mode() == store_mode::refusing || mode() == store_mode::silent)
            {
                done(unavailable(verdict::not_run));
                return;
            }
            topic_state& data = store_.topics_[topic];
            fleet::store_page page;
            page.end = data.first + data.records.size();
            page.topic_end = page.end;
            for (const auto& [key, record] : data.newest)
            {
                page.records.push_back(record);
                if (observer.on_record)
                {
                    observer.on_record(page.records.back());
                }
            }
            if (observer.on_page)
            {
                observer.on_page(page.records.size());
            }
            done(std::move(page));
        });
}

} // namespace acaciastile::standin
