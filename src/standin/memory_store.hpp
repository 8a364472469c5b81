#pragma once

#include "fleet/ports.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciastile::standin
{

/// How the store responds to requests.
enum class store_mode
{
    healthy,
    refusing,       ///< Rejects requests without executing them.
    silent,         ///< Requests are not executed and get no reply.
    losing_answers, ///< Writes are executed but their replies are lost.
    /// Writes get no reply and are executed after `apply_delay`, if their
    /// conditions hold then.
    applying_late
};

/// An in-memory metadata store for tests, shared by several clients.
class memory_store
{
public:
    explicit memory_store(fleet::scheduler_clock& clock) : clock_(clock) {}

    /// The connection of one VM to the store.
    class client;

    /// Numbers of calls by all clients.
    struct counts
    {
        std::uint64_t appends = 0;
        std::uint64_t reads = 0;
        std::size_t largest_append = 0; ///< In records.
    };

    store_mode mode = store_mode::healthy;
    milliseconds latency{4}; ///< Delay of each reply.
    /// Delay of writes in the mode `applying_late`.
    milliseconds apply_delay{2'000};
    /// Long polls do not return new records before their wait is over.
    bool long_polls_ignore_appends = false;
    /// Maximum number of records in one reply to a read.
    std::size_t page_records = 10'000;
    counts calls;

    /// Writes a record as operators and workers do, at once and in every mode.
    void
    put(const std::string& topic,
        const std::string& key,
        const std::string& value);
    /// Deletes the records of a topic before `offset`.
    void truncate_before(const std::string& topic, log_offset offset);

    /// The offset of the next record in a topic.
    [[nodiscard]] log_offset end(const std::string& topic) const;
    /// The newest value of a key; empty if there is none.
    [[nodiscard]] std::string
    newest(const std::string& topic, const std::string& key) const;

private:
    struct producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next_sequence = 0;
        std::map<std::uint64_t, log_offset> results;
    };
    struct topic_state
    {
        std::vector<fleet::store_record> records;
        log_offset first = 0;
        std::map<std::string, fleet::store_record> newest;
        std::map<std::string, producer> producers;
        std::vector<std::function<void()>> long_polls;
    };

    result<log_offset> append(
        const std::string& topic,
        const std::vector<fleet::store_record>& records,
        const fleet::append_options& options);
    void add(topic_state& to, fleet::store_record record);

    fleet::scheduler_clock& clock_;
    std::map<std::string, topic_state> topics_;
};

class memory_store::client final : public fleet::metadata_store
{
public:
    explicit client(memory_store& store) : store_(store) {}

    /// The store rejects the requests of this VM but serves the others.
    bool requests_rejected = false;
    /// The store rejects the appends of this VM to these topics.
    std::set<std::string> rejected_appends;
    /// The store rejects the reads of this VM from these topics.
    std::set<std::string> rejected_reads;
    /// Reads of this VM from these topics get no reply.
    std::set<std::string> silent_reads;

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
        fleet::newest_observer observer,
        fleet::completion<fleet::store_page> done) override;

private:
    void try_read(
        const std::string& topic,
        log_offset from,
        instant until,
        fleet::completion<fleet::store_page> done);
    [[nodiscard]] store_mode mode() const
    {
        return requests_rejected ? store_mode::refusing : store_.mode;
    }
    [[nodiscard]] store_mode read_mode(const std::string& topic) const
    {
        return rejected_reads.contains(topic) ? store_mode::refusing
               : silent_reads.contains(topic) ? store_mode::silent
                                              : mode();
    }

    memory_store& store_;
};

} // namespace acaciastile::standin
