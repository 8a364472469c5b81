#pragma once

#include "platform/embedded/embedded_network.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace acaciastile
{

struct embedded_log_settings
{
    /// Entries kept in each stream.
    std::size_t keep_entries = std::numeric_limits<std::size_t>::max();
    milliseconds keep_for{0};       ///< Zero: kept whatever their age.
    milliseconds answer_timeout{0}; ///< Zero: that of the network.
    std::uint64_t seed = 1;
};

/// What a caller sees of an append that took effect but was not answered.
enum class lost_answer
{
    late_error, ///< `may_have_run` after the answer timeout.
    never       ///< Nothing, ever.
};

/// What the stand-in log was asked to do, for measurements.
struct embedded_log_counts
{
    std::uint64_t appends = 0; ///< Applied.
    std::uint64_t entries = 0;
    std::uint64_t bytes = 0; ///< Of bodies appended.
    std::uint64_t reads = 0; ///< Answered.
};

/// The platform's log as a stand-in in this process. Every caller has a view
/// of its own, whose name can be cut off from the endpoint `log` in the
/// network; the log's own methods call under the name `operator`.
class embedded_log : public log_service
{
public:
    /// Name of the log in the network.
    static constexpr const char* endpoint = "log";

    explicit embedded_log(
        embedded_network& network, embedded_log_settings settings = {});

    void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override;

    void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) override;

    /// While down, every call fails with `log_unavailable`, `not_run`.
    void set_down(bool down) noexcept { down_ = down; }
    /// Adds to the time of each call and again to that of each answer.
    void set_slow(milliseconds extra) { network_.slow(endpoint, extra); }
    /// How long the log works on one append, one after the other; zero: no
    /// time. It bounds the appends a second, over all callers.
    void set_append_time(milliseconds each) noexcept { append_time_ = each; }
    /// Fails all reads with `log_unavailable`.
    void fail_reads(bool failing) noexcept { reads_fail_ = failing; }
    /// Refuses the next appends with `log_unavailable`, `not_run`.
    void refuse_appends(std::size_t count) noexcept { refuse_ = count; }
    /// Applies the next appends and loses their answers.
    void lose_append_answers(
        std::size_t count, lost_answer manner = lost_answer::late_error);
    /// Applies each append and loses its answer with this probability.
    void lose_append_answers_at_random(
        double probability, lost_answer manner = lost_answer::late_error);
    /// Changes the retention and drops what it no longer keeps.
    void set_retention(std::size_t keep_entries, milliseconds keep_for);

    [[nodiscard]] const embedded_log_counts& counts() const noexcept
    {
        return counts_;
    }
    /// All entries that a stream still keeps, without any delay.
    [[nodiscard]] std::vector<log_entry> kept(const stream_name& stream);

    void append_as(
        embedded_route route,
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done);

    void read_as(
        embedded_route route,
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done);

    [[nodiscard]] embedded_route
    route_of(const std::string& caller, std::weak_ptr<void> alive) const;

private:
    struct kept_entry
    {
        log_entry entry;
        instant appended{};
    };
    struct stream
    {
        std::deque<kept_entry> entries;
        log_offset head = 1;
    };

    void queue_append(
        const stream_name& name,
        std::vector<std::string> bodies,
        const embedded_reply<append_receipt>& reply);
    void serve_append(
        const stream_name& name,
        std::vector<std::string> bodies,
        const embedded_reply<append_receipt>& reply);
    [[nodiscard]] result<log_page>
    serve_read(const stream_name& name, log_offset from, std::size_t limit);
    append_receipt apply(stream& into, std::vector<std::string> bodies);
    [[nodiscard]] bool loses_this_answer();
    void expire(stream& of) const;

    embedded_network& network_;
    embedded_log_settings settings_;
    std::mt19937_64 random_;
    std::map<stream_name, stream> streams_;
    milliseconds append_time_{0};
    instant free_at_{};
    bool down_ = false;
    bool reads_fail_ = false;
    std::size_t refuse_ = 0;
    std::size_t lose_ = 0;
    double lose_probability_ = 0.0;
    lost_answer lose_manner_ = lost_answer::late_error;
    embedded_log_counts counts_;
    std::shared_ptr<void> alive_;
};

/// The log as one named caller sees it. Answers that come after the view has
/// ended are dropped.
class embedded_log_view : public log_service
{
public:
    embedded_log_view(embedded_log& log, std::string caller);

    void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override;

    void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) override;

private:
    embedded_log& log_;
    std::string caller_;
    std::shared_ptr<void> alive_;
};

} // namespace acaciastile
