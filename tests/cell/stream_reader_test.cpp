#include "cell/stream_reader.hpp"
#include "support/held_log.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

const stream_name stream("s");

struct reading : log_fixture
{
    explicit reading(
        stream_reader_settings settings = {},
        embedded_log_settings log_settings = {})
        : log_fixture(log_settings)
    {
        reader = stream_reader::create(
            log,
            stream,
            1,
            settings,
            [this](const log_entry& entry) { take(entry); },
            [this](log_offset kept)
            {
                expired.push_back(kept);
                reader->restart(kept);
            });
    }

    void take(const log_entry& entry)
    {
        offsets.push_back(entry.offset);
        text += entry.body;
    }

    void run(milliseconds span)
    {
        run_for(span, [this](instant now) { reader->tick(now); });
    }

    std::unique_ptr<stream_reader> reader;
    std::vector<log_offset> offsets;
    std::vector<log_offset> expired;
    std::string text;
};

} // namespace

TEST_CASE("entries are delivered once and in order", "[reader]")
{
    stream_reader_settings settings;
    settings.page_bytes = 3;
    reading bench(settings);
    bench.append(stream, {"a", "b", "c", "d", "e"});
    bench.run(milliseconds(300));
    CHECK(bench.text == "abcde");
    CHECK(bench.reader->at_head());
    bench.append(stream, {"f"});
    bench.run(milliseconds(300));
    CHECK(bench.text == "abcdef");
    CHECK(bench.offsets == std::vector<log_offset>{1, 2, 3, 4, 5, 6});
    CHECK(bench.reader->next() == 7);
}

TEST_CASE("last_contact is the start of a read to the head", "[reader]")
{
    reading bench;
    CHECK(bench.reader->last_contact() == instant::min());
    bench.run(milliseconds(100));
    CHECK(bench.reader->last_contact() == instant(milliseconds(10)));
    bench.log.set_down(true);
    bench.run(milliseconds(2'000));
    CHECK(bench.reader->failing());
    CHECK(bench.reader->last_contact() == instant(milliseconds(10)));
    bench.log.set_down(false);
    bench.run(milliseconds(1'000));
    CHECK_FALSE(bench.reader->failing());
    CHECK(bench.reader->last_contact() > instant(milliseconds(2'100)));
}

TEST_CASE("poll_soon reads at the next tick", "[reader]")
{
    reading bench;
    bench.run(milliseconds(30));
    bench.append(stream, {"x"});
    bench.run(milliseconds(20));
    CHECK(bench.text.empty());
    bench.reader->poll_soon();
    bench.run(milliseconds(20));
    CHECK(bench.text == "x");
}

TEST_CASE("an expired offset is reported with the oldest retained", "[reader]")
{
    embedded_log_settings short_lived;
    short_lived.keep_entries = 2;
    reading bench({}, short_lived);
    bench.append(stream, {"a", "b", "c", "d", "e"});
    bench.run(milliseconds(100));
    CHECK(bench.expired == std::vector<log_offset>{4});
    CHECK(bench.text == "de");
}

TEST_CASE("the late answer of a dropped read is ignored", "[reader]")
{
    held_log log;
    std::string text;
    auto reader = stream_reader::create(
        log,
        stream,
        1,
        {},
        [&](const log_entry& entry) { text += entry.body; },
        [](log_offset) {});
    reader->tick(instant(milliseconds(0)));
    reader->tick(instant(milliseconds(4'999)));
    CHECK(log.reads.size() == 1);
    reader->tick(instant(milliseconds(5'000)));
    CHECK(reader->failing());
    reader->tick(instant(milliseconds(5'500)));
    REQUIRE(log.reads.size() == 2);
    log.reads[0](log_page{{{1, "late"}}, 2, 2, 1});
    CHECK(text.empty());
    log.reads[1](log_page{{{1, "a"}, {2, "b"}}, 3, 3, 1});
    CHECK(text == "ab");
    CHECK(reader->last_contact() == instant(milliseconds(5'500)));
}

TEST_CASE("a stale answer does not update last_contact", "[reader]")
{
    held_log log;
    auto reader = stream_reader::create(
        log, stream, 5, {}, [](const log_entry&) {}, [](log_offset) {});
    reader->tick(instant(milliseconds(0)));
    log.reads[0](log_page{{}, 3, 3, 1});
    CHECK_FALSE(reader->at_head());
    CHECK(reader->next() == 5);
    CHECK(reader->last_contact() == instant::min());
}

TEST_CASE("entries before the wanted offset are skipped", "[reader]")
{
    held_log log;
    std::string text;
    auto reader = stream_reader::create(
        log,
        stream,
        2,
        {},
        [&](const log_entry& entry) { text += entry.body; },
        [](log_offset) {});
    reader->tick(instant(milliseconds(0)));
    log.reads[0](log_page{{{1, "a"}, {2, "b"}, {3, "c"}}, 4, 4, 1});
    CHECK(text == "bc");
    CHECK(reader->next() == 4);
}

TEST_CASE("an answer after the reader is destroyed is ignored", "[reader]")
{
    held_log log;
    auto reader = stream_reader::create(
        log,
        stream,
        1,
        {},
        [](const log_entry&) { FAIL("entry delivered after destruction"); },
        [](log_offset) {});
    reader->tick(instant(milliseconds(0)));
    reader.reset();
    log.reads[0](log_page{{{1, "a"}}, 2, 2, 1});
}
