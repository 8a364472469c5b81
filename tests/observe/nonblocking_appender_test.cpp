#include "observe/nonblocking_appender.hpp"

#include "observe/event_logger.hpp"
#include "observe/metrics.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <climits>
#include <fcntl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace acaciastile;
using Catch::Matchers::Contains;
using Catch::Matchers::Matches;

namespace
{

constexpr std::size_t buffer_bytes = 256U << 10U;

/// The two ends of a process's output. The test is its reader.
class output
{
public:
    /// A pipe; it holds 64 KiB.
    static output make_pipe()
    {
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        return output(ends);
    }
    /// Sockets that keep apart what is written in one call.
    static output make_packets()
    {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()) == 0);
        return output(ends);
    }
    ~output()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    output(const output&) = delete;
    output& operator=(const output&) = delete;

    [[nodiscard]] int write_end() const noexcept { return ends_[1]; }

    /// Reads up to `bytes` bytes, less where fewer are there.
    std::string read_some(std::size_t bytes)
    {
        std::string chunk(bytes, '\0');
        const ssize_t count = ::read(ends_[0], chunk.data(), chunk.size());
        chunk.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        text_ += chunk;
        return chunk;
    }

    /// Reads what is there; one element for each call that was successful.
    std::vector<std::string> read_all()
    {
        std::vector<std::string> chunks;
        for (std::string chunk = read_some(buffer_bytes); !chunk.empty();
             chunk = read_some(buffer_bytes))
        {
            chunks.push_back(std::move(chunk));
        }
        return chunks;
    }

    /// All that was read so far.
    [[nodiscard]] const std::string& text() const noexcept { return text_; }

private:
    explicit output(std::array<int, 2> ends) : ends_(ends)
    {
        REQUIRE(::fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
    }

    std::array<int, 2> ends_;
    std::string text_;
};

/// What a reader found in an output.
struct line_counts
{
    std::size_t starts = 0;  ///< Lines of event 6020.
    std::size_t dropped = 0; ///< Sum of `lines` over all lines of event 6050.
    std::size_t notices = 0; ///< Lines of event 6050.
};

/// Counts lines by event. Each line has to be a JSON object.
line_counts count_lines(std::string_view text)
{
    line_counts counts;
    while (!text.empty())
    {
        const auto end = text.find('\n');
        REQUIRE(end != std::string_view::npos);
        INFO(text.substr(0, end));
        const auto line =
            nlohmann::json::parse(text.substr(0, end), nullptr, false);
        REQUIRE(line.is_object());
        if (line.at("event") == 6050)
        {
            ++counts.notices;
            counts.dropped += std::stoul(line.at("lines").get<std::string>());
        }
        else
        {
            REQUIRE(line.at("event") == 6020);
            ++counts.starts;
        }
        text.remove_prefix(end + 1);
    }
    return counts;
}

/// A logger with the appender under test.
class logging_process
{
public:
    explicit logging_process(
        int descriptor,
        std::chrono::milliseconds write_interval =
            std::chrono::milliseconds::zero(),
        log_format format = log_format::json)
        : appender_(new nonblocking_appender(
              {descriptor, buffer_bytes, write_interval, format})),
          log_(event_logger::create(
              {format, event_level::info},
              log4cplus::SharedAppenderPtr(appender_)))
    {
    }

    void log_starts(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            log_->emit(
                {event_number::run_started,
                 {{"task", "95741b7aa4b939fb.0.0.16"},
                  {"run", std::to_string(logged_)},
                  {"worker", "i-8e8cc9ecbb"},
                  {"resumes", "no"}}});
            ++logged_;
        }
    }
    void flush() { appender_->flush(); }
    [[nodiscard]] std::string metrics_text() const
    {
        auto measured = metrics::create();
        appender_->measure(*measured);
        return measured->expose();
    }

    [[nodiscard]] std::size_t logged() const noexcept { return logged_; }
    [[nodiscard]] std::size_t dropped() const noexcept
    {
        return appender_->dropped();
    }

private:
    nonblocking_appender* appender_; ///< Owned by `log_`.
    std::unique_ptr<event_logger> log_;
    std::size_t logged_ = 0;
};

constexpr std::chrono::hours until_flushed{1};

} // namespace

// Guards against lines that are lost although their reader keeps up.
TEST_CASE("a reader that keeps up gets every log line", "[log]")
{
    output pipe = output::make_pipe();
    logging_process process(pipe.write_end(), until_flushed);
    for (int batch = 0; batch < 300; ++batch)
    {
        process.log_starts(100);
        process.flush();
        pipe.read_all();
    }
    const line_counts counts = count_lines(pipe.text());
    CHECK(counts.starts == process.logged());
    CHECK(counts.notices == 0);
}

// Guards against lines that are lost to a reader which takes a limited part of
// each write.
TEST_CASE("one write has whole lines and is bounded", "[log]")
{
    output packets = output::make_packets();
    logging_process process(packets.write_end(), until_flushed);
    process.log_starts(200);
    process.flush();
    for (const std::string& written : packets.read_all())
    {
        CHECK(written.size() <= PIPE_BUF);
        CHECK(written.back() == '\n');
    }
    CHECK(count_lines(packets.text()).starts == process.logged());
}

// Guards against lines that are cut by those of another process.
TEST_CASE("lines of processes that share a full pipe are not mixed", "[log]")
{
    output pipe = output::make_pipe();
    logging_process first(pipe.write_end());
    logging_process second(pipe.write_end());
    for (int batch = 0; batch < 300; ++batch)
    {
        first.log_starts(30);
        second.log_starts(30);
        first.flush();
        second.flush();
        pipe.read_some(9'000);
    }
    const std::string_view text = pipe.text();
    // The last line that was read may be incomplete.
    const line_counts counts =
        count_lines(text.substr(0, text.rfind('\n') + 1));
    CHECK(counts.starts > 0);
}

// Guards against lines that vanish under load without a line that counts them.
TEST_CASE("log lines that a slow reader does not get are counted", "[log]")
{
    const std::size_t bytes_a_batch = GENERATE(0U, 500U, 4'000U);
    CAPTURE(bytes_a_batch);
    output pipe = output::make_pipe();
    logging_process process(pipe.write_end());
    for (int batch = 0; batch < 1'000; ++batch)
    {
        process.log_starts(30);
        pipe.read_some(bytes_a_batch);
    }
    CHECK(process.dropped() > 0);
    while (!pipe.read_all().empty())
    {
        process.flush();
    }
    process.log_starts(1);
    process.flush();
    pipe.read_all();
    const line_counts counts = count_lines(pipe.text());
    CHECK(counts.dropped == process.dropped());
    CHECK(counts.starts + counts.dropped == process.logged());
}

// Guards against dropped lines that are counted only once the process logs
// again, which a process that falls silent or ends does not do.
TEST_CASE("dropped log lines are reported without another line", "[log]")
{
    output pipe = output::make_pipe();
    logging_process process(pipe.write_end());
    process.log_starts(3'000);
    REQUIRE(process.dropped() > 0);
    while (!pipe.read_all().empty())
    {
        process.flush();
    }
    const line_counts counts = count_lines(pipe.text());
    CHECK(counts.notices == 1);
    CHECK(counts.dropped == process.dropped());
    CHECK(counts.starts + counts.dropped == process.logged());
}

// Guards against a notice of dropped lines that cannot be put in order among
// the lines of other processes.
TEST_CASE("a report of dropped log lines has the form of other lines", "[log]")
{
    const log_format format = GENERATE(log_format::json, log_format::text);
    output pipe = output::make_pipe();
    logging_process process(
        pipe.write_end(), std::chrono::milliseconds::zero(), format);
    process.log_starts(3'000);
    while (!pipe.read_all().empty())
    {
        process.flush();
    }
    const std::string& text = pipe.text();
    const std::string last = text.substr(text.rfind('\n', text.size() - 2) + 1);
    INFO(last);
    const std::string count = std::to_string(process.dropped());
    if (format == log_format::json)
    {
        const auto line = nlohmann::json::parse(last);
        CHECK(line.at("event") == 6050);
        CHECK(line.at("name") == "lines_dropped");
        CHECK(line.at("lines") == count);
        CHECK(line.at("level") == "WARN");
        CHECK(line.at("time").get<std::string>().size() == 24);
    }
    else
    {
        CHECK_THAT(
            last,
            Matches(
                "[-0-9]+T[:.0-9]+Z WARN  6050 lines_dropped lines=\"" + count +
                "\"\\n"));
    }
}

// Guards against dropped lines that nobody can see while the output takes no
// report of them.
TEST_CASE("the metrics tell log lines and dropped ones", "[log][metrics]")
{
    output pipe = output::make_pipe();
    logging_process process(pipe.write_end());
    process.log_starts(3'000);
    REQUIRE(process.dropped() > 0);
    const std::string text = process.metrics_text();
    CHECK_THAT(text, Contains("acaciastile_log_lines 3000\n"));
    CHECK_THAT(
        text,
        Contains(
            "acaciastile_log_lines_dropped " +
            std::to_string(process.dropped()) + "\n"));
}
