#pragma once

#include "fleet/ports.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciastile::standin
{

/// What the store does with calls.
enum class store_mode
{
    well,
    refusing,       ///< Answers 503; nothing is done.
    silent,         ///< Nothing is done and no answer comes.
    losing_answers, ///< Writes are done; their answers are lost.
    applying_late   ///< Writes are done seconds later if they still may be.
};

/// A stand-in of the metadata store in memory, shared by several clients.
class memory_store
{
public:
    explicit memory_store(fleet::scheduler_clock& clock) : clock_(clock) {}

    /// One VM's way to the store.
    class client;

    struct counts
    {
        std::uint64_t appends = 0;
        std::uint64_t reads = 0;
    };

    store_mode mode = store_mode::well;
    milliseconds latency{4};
    milliseconds lateness{2'000};
    /// Reads that wait hear of nothing new until their wait is over.
    bool deaf_watches = false;
    /// Records that one answer to a read holds.
    std::size_t page_records = 10'000;
    counts calls;

    /// Writes as another party: operators and workers.
    void
    put(const std::string& topic,
        const std::string& key,
        const std::string& value);
    /// Drops the oldest records of a topic.
    void forget_before(const std::string& topic, log_offset offset);

    [[nodiscard]] log_offset end(const std::string& topic) const;
    /// The newest value of a key; empty where there is none.
    [[nodiscard]] std::string
    newest(const std::string& topic, const std::string& key) const;

private:
    struct producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::map<std::uint64_t, log_offset> answered;
    };
    struct topic_data
    {
        std::vector<fleet::store_record> records;
        log_offset first = 0;
        std::map<std::string, fleet::store_record> newest;
        std::map<std::string, producer> producers;
        std::vector<std::function<void()>> readers;
    };

    result<log_offset> append(
        const std::string& topic,
        const std::vector<fleet::store_record>& records,
        const fleet::append_options& options);
    void add(topic_data& to, fleet::store_record record);

    fleet::scheduler_clock& clock_;
    std::map<std::string, topic_data> topics_;
};

class memory_store::client final : public fleet::metadata_store
{
public:
    explicit client(memory_store& store) : store_(store) {}

    /// The store turns this VM away while others are served.
    bool turned_away = false;

    void append(
        const std::string& topic,
        std::vector<fleet::store_record> records,
        fleet::append_options options,
        fleet::completion<log_offset> done) override;
    void read(
        const std::string& topic,
        log_offset from,
        milliseconds wait,
        fleet::completion<fleet::store_page> done) override;
    void read_newest(
        const std::string& topic,
        fleet::completion<fleet::store_page> done) override;

private:
    void try_read(
        const std::string& topic,
        log_offset from,
        instant until,
        fleet::completion<fleet::store_page> done);
    [[nodiscard]] store_mode mode() const
    {
        return turned_away ? store_mode::refusing : store_.mode;
    }

    memory_store& store_;
};

} // namespace acaciastile::standin
