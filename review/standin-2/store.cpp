#include "store.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int at = bytes; at-- > 0;)
    {
        text.push_back(static_cast<char>(value >> (8 * at)));
    }
    return text;
}

std::string base64(const std::string& bytes)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                   "rstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n)
        {
            group =
                group << 8U | (at + n < bytes.size()
                                   ? static_cast<unsigned char>(bytes[at + n])
                                   : 0U);
        }
        for (std::size_t n = 0; n < 4; ++n)
        {
            text.push_back(
                at + n <= bytes.size() ? digits[group >> (18 - 6 * n) & 63U]
                                       : '=');
        }
    }
    return text;
}

bool is_keyed(const std::string& topic)
{
    return topic.starts_with("keyed.");
}

std::string value_of(const std::string& record)
{
    return record.substr(1 + static_cast<unsigned char>(record[0]));
}

} // namespace

std::string key_of(const std::string& record)
{
    return record.empty()
               ? std::string()
               : record.substr(1, static_cast<unsigned char>(record[0]));
}

std::vector<std::string> split_records(const std::string& body)
{
    std::vector<std::string> records;
    std::size_t at = 0;
    while (at + 4 <= body.size())
    {
        std::uint32_t length = 0;
        for (int n = 0; n < 4; ++n)
        {
            length = length << 8U | static_cast<unsigned char>(body[at + n]);
        }
        records.push_back(body.substr(at + 4, length));
        at += 4 + length;
    }
    return records;
}

store::store(std::function<void(const std::string&)> recorded)
    : recorded_(std::move(recorded))
{
}

store::~store()
{
    for (std::thread& each : late_)
    {
        each.join();
    }
}

response store::handle(const request& asked)
{
    std::this_thread::sleep_for(3ms);
    if (down)
    {
        return {503, "{}"};
    }
    if (asked.path == "/-/log-append")
    {
        return append(asked);
    }
    if (asked.path == "/-/log-read")
    {
        return read(asked);
    }
    if (asked.path == "/-/log-newest")
    {
        return newest(asked);
    }
    return {404, "{}"};
}

response store::append(const request& asked)
{
    const std::string topic = asked.query.at("topic");
    const std::vector<std::string> records = split_records(asked.body);
    std::size_t total = 0;
    for (const std::string& each : records)
    {
        total += each.size();
        if (each.size() > record_bytes)
        {
            recorded_(
                "store: an append to " + topic +
                " was rejected: a record"
                " of " +
                std::to_string(each.size()) + " bytes");
            return {400, R"({"reason":"record"})"};
        }
    }
    if (total > request_bytes)
    {
        recorded_(
            "store: an append to " + topic + " was rejected: records of " +
            std::to_string(total) + " bytes in all");
        return {400, R"({"reason":"request"})"};
    }
    ++writes;
    const append_fate chosen = fate ? fate(topic, asked.body) : append_fate{};
    if (chosen.late_ms > 0)
    {
        const std::lock_guard lock(mutex_);
        late_.emplace_back(
            [this, topic, query = asked.query, records, chosen]
            {
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(chosen.late_ms));
                const response made = carry_out(topic, query, records);
                recorded_(
                    "store: an append to " + topic +
                    " that got no answer is carried out, with status " +
                    std::to_string(made.status));
            });
        ++lost_writes;
        return {0, {}};
    }
    response made = carry_out(topic, asked.query, records);
    if (chosen.unanswered)
    {
        ++lost_writes;
        return {0, {}};
    }
    return made;
}

void store::add(
    const std::string& topic, topic_log& log, const std::string& record)
{
    if (is_keyed(topic) && !record.empty())
    {
        const std::string key = key_of(record);
        if (value_of(record).empty())
        {
            log.newest.erase(key);
        }
        else
        {
            log.newest[key] = log.records.size();
        }
    }
    log.records.push_back(record);
}

response store::carry_out(
    const std::string& topic,
    const std::map<std::string, std::string>& query,
    const std::vector<std::string>& records)
{
    const std::lock_guard lock(mutex_);
    topic_log& log = topics_[topic];
    topic_log::producer* producer = nullptr;
    std::uint64_t sequence = 0;
    if (query.contains("producer"))
    {
        producer = &log.producers[query.at("producer")];
        const std::uint64_t epoch = std::stoull(query.at("epoch"));
        sequence = std::stoull(query.at("seqNo"));
        if (epoch < producer->epoch)
        {
            return {409, R"({"reason":"fenced"})"};
        }
        if (epoch > producer->epoch)
        {
            *producer = {};
            producer->epoch = epoch;
        }
        for (const auto& [number, answer] : producer->answers)
        {
            if (number == sequence)
            {
                return {200, answer};
            }
        }
        if (producer->sequence && sequence != *producer->sequence + 1)
        {
            return {
                409,
                json{{"reason", "seq"}, {"seqNo", *producer->sequence + 1}}
                    .dump()};
        }
    }
    if (query.contains("at") &&
        std::stoull(query.at("at")) != log.records.size())
    {
        return {412, json{{"endOffset", log.records.size()}}.dump()};
    }
    const std::size_t first = log.records.size();
    for (const std::string& each : records)
    {
        add(topic, log, each);
    }
    const std::string answer =
        json{{"offset", first}, {"endOffset", log.records.size()}}.dump();
    if (producer != nullptr)
    {
        producer->sequence = sequence;
        producer->answers.emplace_back(sequence, answer);
        if (producer->answers.size() > 5)
        {
            producer->answers.pop_front();
        }
    }
    grown_.notify_all();
    return {200, answer};
}

response store::read(const request& asked)
{
    const std::string topic = asked.query.at("topic");
    const std::size_t from = std::stoul(asked.query.at("from"));
    const std::size_t most =
        1'024UL * (asked.query.contains("maxKb")
                       ? std::stoul(asked.query.at("maxKb"))
                       : 1'024);
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(
            asked.query.contains("waitMs") ? std::stoi(asked.query.at("waitMs"))
                                           : 0);
    std::unique_lock lock(mutex_);
    topic_log& log = topics_[topic];
    grown_.wait_until(
        lock, until, [&] { return log.records.size() > from || down; });
    if (down)
    {
        return {503, "{}"};
    }
    std::string body = big_endian(log.records.size(), 8) + big_endian(0, 8);
    for (std::size_t at = from; at < log.records.size(); ++at)
    {
        if (at > from && body.size() + log.records[at].size() > most)
        {
            break;
        }
        body += big_endian(log.records[at].size(), 4) + log.records[at];
    }
    return {200, body, "application/octet-stream"};
}

response store::newest(const request& asked)
{
    constexpr std::size_t most_items = 500;
    constexpr std::size_t most_bytes = 1'000'000;
    const std::lock_guard lock(mutex_);
    topic_log& log = topics_[asked.query.at("topic")];
    auto at = asked.query.contains("after")
                  ? log.newest.upper_bound(asked.query.at("after"))
                  : log.newest.begin();
    json items = json::array();
    std::size_t bytes = 0;
    for (; at != log.newest.end() && items.size() < most_items; ++at)
    {
        const std::string value = value_of(log.records[at->second]);
        bytes += value.size();
        if (!items.empty() && bytes > most_bytes)
        {
            break;
        }
        items.push_back(
            {{"key", at->first},
             {"value", base64(value)},
             {"offset", at->second}});
    }
    const bool more = at != log.newest.end();
    return {
        200,
        json{
            {"items", std::move(items)},
            {"hasMore", more},
            {"endOffset", log.records.size()}}
            .dump()};
}

void store::put(
    const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    add(topic,
        topics_[topic],
        std::string(1, static_cast<char>(key.size())) + key + value);
    grown_.notify_all();
}

} // namespace review
