#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// What happens to one append.
struct append_fate
{
    bool unanswered = false; ///< No answer, on a connection that stays open.
    int late_ms = 0;         ///< Carried out that much later.
};

/// Stand-in of the platform's metadata store: a log of topics with one
/// partition each, as the users' pages describe it.
class store
{
public:
    /// `recorded`: called with a line for each append that is not simple.
    explicit store(std::function<void(const std::string&)> recorded);
    ~store();

    response handle(const request& asked);

    /// Appends a record of a keyed topic, as the operator and executors do.
    void
    put(const std::string& topic,
        const std::string& key,
        const std::string& value);

    /// Decides the fate of each append that passes its conditions' syntax.
    /// `body` holds the raw records.
    std::function<append_fate(
        const std::string& topic, const std::string& body)>
        fate;

    std::size_t record_bytes = 262'144;
    std::size_t request_bytes = 2'097'152;
    /// Answers 503 to everything while set.
    std::atomic<bool> down{false};
    /// Writes of the system so far, and those of them that got no answer.
    std::atomic<int> writes{0};
    std::atomic<int> lost_writes{0};

private:
    struct topic_log
    {
        std::vector<std::string> records;          ///< Raw contents.
        std::map<std::string, std::size_t> newest; ///< Of keyed topics.
        struct producer
        {
            std::uint64_t epoch = 0;
            std::optional<std::uint64_t> sequence;
            std::deque<std::pair<std::uint64_t, std::string>> answers;
        };
        std::map<std::string, producer> producers;
    };

    response append(const request& asked);
    response carry_out(
        const std::string& topic,
        const std::map<std::string, std::string>& query,
        const std::vector<std::string>& records);
    response read(const request& asked);
    response newest(const request& asked);
    void
    add(const std::string& topic, topic_log& log, const std::string& record);

    std::function<void(const std::string&)> recorded_;
    std::mutex mutex_;
    std::condition_variable grown_;
    std::map<std::string, topic_log> topics_;
    std::vector<std::thread> late_;
};

/// Key of a raw record of a keyed topic.
std::string key_of(const std::string& record);
/// The raw records of an append's body.
std::vector<std::string> split_records(const std::string& body);

} // namespace review
