#include "cell/record_writer.hpp"
#include "cell/stream_reader.hpp"
#include "support/held_log.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace acaciastile;

namespace
{

const stream_name stream("s");
constexpr milliseconds patience{30'000};

/// A writer and the reader that completes its records. The body of a record is
/// its id.
struct writing : log_fixture
{
    explicit writing(record_writer_settings settings = {})
    {
        writer = record_writer::create(log, stream, settings, 7);
        reader = stream_reader::create(
            log,
            stream,
            1,
            {},
            [this](const log_entry& entry) { take(entry); },
            [](log_offset) {});
    }

    void take(const log_entry& entry)
    {
        ++copies;
        if (!seen.insert(entry.body).second)
        {
            return;
        }
        first_copies.push_back(entry.body);
        fold_outcome outcome;
        outcome.offset = entry.offset;
        writer->settle(entry.body, outcome);
    }

    void write(const std::string& id, milliseconds within = patience)
    {
        auto done = [this, id](const result<fold_outcome>& outcome)
        {
            ++answers;
            ended.emplace(
                id,
                outcome ? outcome->offset > 0 ? "in log" : "?"
                        : std::string(to_string(outcome.error().effect)));
        };
        writer->write(timers.now(), id, id, within, done);
    }

    void run(milliseconds span)
    {
        run_for(
            span,
            [this](instant now)
            {
                writer->tick(now);
                if (writer->wants_read())
                {
                    reader->poll_soon();
                }
                reader->tick(now);
            });
    }

    std::unique_ptr<record_writer> writer;
    std::unique_ptr<stream_reader> reader;
    std::map<std::string, std::string> ended;
    std::set<std::string> seen;
    std::vector<std::string> first_copies;
    std::size_t answers = 0;
    std::size_t copies = 0;
};

} // namespace

TEST_CASE("records are batched and complete when read back", "[writer]")
{
    writing bench;
    for (int at = 0; at < 1'400; ++at)
    {
        bench.write(std::to_string(at));
    }
    bench.run(milliseconds(400));
    CHECK(bench.writer->pending() == 0);
    CHECK(bench.writer->appends_sent() == 2);
    CHECK(bench.answers == 1'400);
    CHECK(bench.copies == 1'400);
    CHECK_FALSE(bench.writer->wants_read());
}

TEST_CASE("appends are spaced by the batch interval", "[writer]")
{
    record_writer_settings settings;
    settings.batch_interval = milliseconds(200);
    writing bench(settings);
    for (int at = 0; at < 100; ++at)
    {
        bench.write(std::to_string(at));
        bench.run(milliseconds(10));
    }
    CHECK(bench.writer->appends_sent() <= 6);
    bench.writer->set_batch_interval(milliseconds(10));
    bench.run(milliseconds(1'000));
    CHECK(bench.writer->pending() == 0);
}

TEST_CASE("only a single record may exceed the batch size", "[writer]")
{
    record_writer_settings settings;
    settings.batch_bytes = 8;
    writing bench(settings);
    bench.write("longer than the bound");
    bench.write("four");
    bench.write("more");
    bench.write("last");
    bench.run(milliseconds(500));
    CHECK(bench.writer->appends_sent() == 3);
    CHECK(bench.writer->pending() == 0);
}

TEST_CASE("a record with a lost answer completes when read back", "[writer]")
{
    auto manner = GENERATE(lost_answer::late_error, lost_answer::never);
    writing bench;
    bench.log.lose_append_answers(1, manner);
    bench.write("a");
    bench.run(milliseconds(6'000));
    CHECK(bench.ended["a"] == "in log");
    CHECK(bench.answers == 1);
    CHECK(bench.copies == 1);
}

TEST_CASE("records appended twice complete only once", "[writer]")
{
    writing bench;
    bench.log.lose_append_answers(2);
    bench.log.fail_reads(true);
    bench.write("a");
    bench.run(milliseconds(9'000));
    CHECK(bench.ended.empty());
    bench.log.fail_reads(false);
    bench.run(milliseconds(2'000));
    CHECK(bench.ended["a"] == "in log");
    CHECK(bench.answers == 1);
    CHECK(bench.copies > 1);
}

TEST_CASE("not_run after a timeout means that nothing was appended", "[writer]")
{
    writing bench;
    bench.log.set_down(true);
    bench.write("a", milliseconds(2'000));
    bench.run(milliseconds(3'000));
    CHECK(bench.ended["a"] == "not_run");
    bench.log.set_down(false);
    bench.run(milliseconds(10'000));
    CHECK(bench.copies == 0);
}

TEST_CASE("an append with an unknown result is never not_run", "[writer]")
{
    writing bench;
    bench.log.lose_append_answers(1);
    bench.log.fail_reads(true);
    bench.write("a", milliseconds(4'000));
    bench.run(milliseconds(3'500));
    bench.log.set_down(true); // Refuses the retries, not the first try.
    bench.run(milliseconds(2'000));
    CHECK(bench.ended["a"] == "may_have_run");
    bench.log.set_down(false);
    bench.log.fail_reads(false);
    bench.run(milliseconds(2'000));
    CHECK(bench.seen.contains("a"));
}

TEST_CASE("a record in flight at its deadline is may_have_run", "[writer]")
{
    writing bench;
    bench.log.set_slow(milliseconds(800));
    bench.write("a", milliseconds(500));
    bench.run(milliseconds(600));
    CHECK(bench.ended["a"] == "may_have_run");
    bench.run(milliseconds(3'000));
    CHECK(bench.answers == 1);
    CHECK(bench.writer->pending() == 0);
}

TEST_CASE("retries back off while the log is down", "[writer]")
{
    writing bench;
    bench.log.set_down(true);
    bench.write("a", milliseconds(60'000));
    bench.run(milliseconds(60'000));
    CHECK(bench.writer->appends_sent() < 60);
}

TEST_CASE("abandon reports for each record whether it was sent", "[writer]")
{
    writing bench;
    bench.log.set_slow(milliseconds(500));
    bench.write("sent");
    bench.run(milliseconds(20));
    bench.write("waiting");
    bench.writer->abandon({refusal_code::shutting_down});
    CHECK(bench.ended["sent"] == "may_have_run");
    CHECK(bench.ended["waiting"] == "not_run");
    CHECK(bench.writer->pending() == 0);
    bench.run(milliseconds(3'000));
    CHECK(bench.answers == 2);
    CHECK_FALSE(bench.seen.contains("waiting"));
}

TEST_CASE("excess pending records and pending ids are refused", "[writer]")
{
    record_writer_settings settings;
    settings.pending_records = 2;
    writing bench(settings);
    bench.write("a");
    bench.write("a");
    CHECK(bench.ended["a"] == "not_run");
    bench.write("b");
    bench.write("c");
    CHECK(bench.ended["c"] == "not_run");
    CHECK(bench.writer->pending() == 2);
}

TEST_CASE("first copies keep the write order despite faults", "[writer]")
{
    auto seed = GENERATE(range(1U, 9U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    writing bench;
    bench.log.lose_append_answers_at_random(0.3, lost_answer::never);
    std::vector<std::string> written;
    for (int at = 0; at < 300; ++at)
    {
        written.push_back(std::to_string(at));
        bench.write(written.back(), milliseconds(600'000));
        if (random() % 10 == 0)
        {
            bench.log.refuse_appends(random() % 3);
        }
        bench.log.fail_reads(random() % 5 == 0);
        bench.run(milliseconds(10 * (random() % 20)));
    }
    bench.log.lose_append_answers_at_random(0);
    bench.log.fail_reads(false);
    bench.run(milliseconds(60'000));
    CHECK(bench.writer->pending() == 0);
    CHECK(bench.first_copies == written);
    CHECK(bench.answers == written.size());
}

namespace
{

instant at(int count)
{
    return instant(milliseconds(count));
}

result<append_receipt> failed(verdict effect)
{
    return refuse(refusal_code::log_unavailable, effect, "");
}

/// A writer whose appends are answered explicitly by the test.
struct held_writing
{
    held_writing() { writer = record_writer::create(log, stream, {}, 3); }

    void write(int now, const std::string& id, int within)
    {
        writer->write(
            at(now),
            id,
            id,
            milliseconds(within),
            [this, id](const result<fold_outcome>& outcome) {
                ended[id] =
                    outcome ? "folded" : to_string(outcome.error().effect);
            });
    }

    held_log log;
    std::unique_ptr<record_writer> writer;
    std::map<std::string, std::string> ended;
};

} // namespace

TEST_CASE("one append that may have run outweighs later refusals", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 2'000);
    bench.writer->tick(at(0));
    bench.log.appends[0].done(failed(verdict::may_have_run));
    bench.writer->tick(at(1'000));
    REQUIRE(bench.log.appends.size() == 2);
    CHECK(bench.log.appends[1].bodies == std::vector<std::string>{"a"});
    bench.log.appends[1].done(failed(verdict::not_run));
    bench.writer->tick(at(2'000));
    CHECK(bench.ended["a"] == "may_have_run");
}

TEST_CASE("a record whose appends were all refused is not_run", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 2'000);
    bench.writer->tick(at(0));
    bench.log.appends[0].done(failed(verdict::not_run));
    bench.writer->tick(at(2'000));
    CHECK(bench.ended["a"] == "not_run");
    CHECK(bench.log.appends.size() == 1);
}

TEST_CASE("at most one append is in flight", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 60'000);
    bench.writer->tick(at(0));
    bench.write(100, "b", 60'000);
    bench.writer->tick(at(2'999));
    CHECK(bench.log.appends.size() == 1);
    bench.log.appends[0].done(append_receipt{1, 1});
    bench.writer->tick(at(3'000));
    REQUIRE(bench.log.appends.size() == 2);
    CHECK(bench.log.appends[1].bodies == std::vector<std::string>{"b"});
}

TEST_CASE("a late answer does not confirm the next append", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 60'000);
    bench.writer->tick(at(0));
    bench.writer->tick(at(3'000)); // Times out.
    bench.writer->tick(at(4'000));
    REQUIRE(bench.log.appends.size() == 2);
    bench.log.appends[0].done(append_receipt{1, 1});
    CHECK_FALSE(bench.writer->wants_read());
    bench.writer->tick(at(5'000));
    CHECK(bench.log.appends.size() == 2);
    bench.log.appends[1].done(append_receipt{2, 1});
    CHECK(bench.writer->wants_read());
}

TEST_CASE("settle_known completes only records with an outcome", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 60'000);
    bench.write(0, "b", 60'000);
    bench.writer->tick(at(0));
    bench.log.appends[0].done(append_receipt{1, 2});
    auto known = [](const std::string& id) -> std::optional<fold_outcome>
    {
        if (id == "a")
        {
            return fold_outcome{};
        }
        return std::nullopt;
    };
    bench.writer->settle_known(known);
    CHECK(bench.ended["a"] == "folded");
    CHECK_FALSE(bench.ended.contains("b"));
    CHECK(bench.writer->pending() == 1);
}

TEST_CASE("an answer after the writer is destroyed is ignored", "[writer]")
{
    held_writing bench;
    bench.write(0, "a", 60'000);
    bench.writer->tick(at(0));
    bench.writer.reset();
    bench.log.appends[0].done(append_receipt{1, 1});
    CHECK(bench.ended.empty());
}
