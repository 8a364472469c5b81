#include "platform/answers.hpp"
#include "platform/embedded/embedded_log.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

struct log_fixture
{
    timer_queue timers;
    embedded_network network{timers};
    embedded_log log{network};
    embedded_log_view first{log, "entry-1"};
    embedded_log_view second{log, "entry-2"};
    stream_name stream{"cell"};

    void run(milliseconds time) { timers.run_until(timers.now() + time); }

    kept_answer<append_receipt>
    append(log_service& by, std::vector<std::string> bodies)
    {
        kept_answer<append_receipt> answer;
        by.append(stream, std::move(bodies), answer.keep());
        run(milliseconds{10'000});
        return answer;
    }

    kept_answer<log_page>
    read(log_service& by, log_offset from, std::size_t limit = 1'000)
    {
        kept_answer<log_page> answer;
        by.read(stream, from, limit, answer.keep());
        run(milliseconds{10'000});
        return answer;
    }
};

} // namespace

TEST_CASE("the log keeps entries in order with offsets from 1", "[log]")
{
    log_fixture at;
    CHECK(at.append(at.first, {"a", "b"}).value().first == 1);
    CHECK(at.append(at.second, {"c"}).value().first == 3);
    const auto page = at.read(at.first, 2).value();
    REQUIRE(page.entries.size() == 2);
    CHECK(page.entries[0].offset == 2);
    CHECK(page.entries[0].body == "b");
    CHECK(page.next == 4);
    CHECK(page.head == 4);
    CHECK(page.first_kept == 1);
}

TEST_CASE("a page ends at its byte limit and holds one entry at least", "[log]")
{
    log_fixture at;
    (void)at.append(at.first, {std::string(50, 'a'), std::string(50, 'b')});
    const auto page = at.read(at.first, 1, 10).value();
    CHECK(page.entries.size() == 1);
    CHECK(page.next == 2);
    CHECK(page.head == 3);
}

TEST_CASE("an expired offset is refused with the first kept", "[log]")
{
    log_fixture at;
    at.log.set_retention(2, milliseconds{0});
    (void)at.append(at.first, {"a", "b", "c", "d"});
    const auto answer = at.read(at.first, 2);
    REQUIRE(answer.failed(refusal_code::offset_expired, verdict::not_run));
    CHECK(
        answer.outcome().error().message.find("offset is 3") !=
        std::string::npos);
    CHECK(at.read(at.first, 3).value().entries.size() == 2);
}

TEST_CASE("entries expire by age", "[log]")
{
    log_fixture at;
    at.log.set_retention(100, milliseconds{15'000});
    (void)at.append(at.first, {"a"});
    (void)at.append(at.first, {"b"});
    CHECK(at.log.kept(at.stream).size() == 1);
    CHECK(at.read(at.first, 2).value().head == 3);
}

TEST_CASE("a log that is down says not run", "[log]")
{
    log_fixture at;
    at.log.set_down(true);
    CHECK(at.append(at.first, {"a"})
              .failed(refusal_code::log_unavailable, verdict::not_run));
    CHECK(at.read(at.first, 1)
              .failed(refusal_code::log_unavailable, verdict::not_run));
    at.log.set_down(false);
    CHECK(at.append(at.first, {"b"}).value().first == 1);
}

TEST_CASE("a lost append answer fails late though it took effect", "[log]")
{
    log_fixture at;
    at.log.lose_append_answers(1);
    CHECK(at.append(at.first, {"a"})
              .failed(refusal_code::log_unavailable, verdict::may_have_run));
    CHECK(at.log.kept(at.stream).size() == 1);
    CHECK(at.append(at.first, {"b"}).succeeded());
}

TEST_CASE("a lost append answer may never come", "[log]")
{
    log_fixture at;
    at.log.lose_append_answers(1, lost_answer::never);
    CHECK(at.append(at.first, {"a"}).times() == 0);
    CHECK(at.log.kept(at.stream).size() == 1);
}

TEST_CASE("append answers are lost with a seeded probability", "[log]")
{
    auto losses = []
    {
        log_fixture at;
        at.log.lose_append_answers_at_random(0.3);
        std::vector<bool> lost;
        for (int count = 0; count < 30; ++count)
        {
            lost.push_back(!at.append(at.first, {"a"}).succeeded());
        }
        CHECK(at.log.kept(at.stream).size() == 30);
        return lost;
    };
    const std::vector<bool> once = losses();
    CHECK(once == losses());
    CHECK(std::count(once.begin(), once.end(), true) > 0);
    CHECK(std::count(once.begin(), once.end(), false) > 0);
}

TEST_CASE("a refused append leaves no entry", "[log]")
{
    log_fixture at;
    at.log.refuse_appends(1);
    CHECK(at.append(at.first, {"a"})
              .failed(refusal_code::log_unavailable, verdict::not_run));
    CHECK(at.log.kept(at.stream).empty());
    CHECK(at.append(at.first, {"a"}).value().first == 1);
}

TEST_CASE("reads fail on command while appends go on", "[log]")
{
    log_fixture at;
    at.log.fail_reads(true);
    CHECK(at.append(at.first, {"a"}).succeeded());
    CHECK(at.read(at.first, 1)
              .failed(refusal_code::log_unavailable, verdict::not_run));
}

TEST_CASE("one caller is cut off from the log, another is not", "[log]")
{
    log_fixture at;
    at.network.cut("entry-1", embedded_log::endpoint);
    CHECK(at.append(at.first, {"a"})
              .failed(refusal_code::log_unavailable, verdict::not_run));
    CHECK(at.append(at.second, {"b"}).value().first == 1);
    at.network.heal("entry-1", embedded_log::endpoint);
    CHECK(at.append(at.first, {"c"}).value().first == 2);
}

TEST_CASE("a slow log answers late", "[log]")
{
    log_fixture at;
    at.log.set_slow(milliseconds{500});
    kept_answer<append_receipt> answer;
    at.first.append(at.stream, {"a"}, answer.keep());
    at.run(milliseconds{1'001});
    CHECK(answer.times() == 0);
    at.run(milliseconds{1});
    CHECK(answer.times() == 1);
}

TEST_CASE("a log slower than the timeout may have run", "[log]")
{
    log_fixture at;
    at.log.set_slow(milliseconds{2'000});
    CHECK(at.append(at.first, {"a"})
              .failed(refusal_code::log_unavailable, verdict::may_have_run));
    CHECK(at.log.kept(at.stream).size() == 1);
}

TEST_CASE("the log takes a bounded number of appends a second", "[log]")
{
    log_fixture at;
    at.log.set_append_time(milliseconds{4});
    std::vector<kept_answer<append_receipt>> answers(500);
    for (auto& answer : answers)
    {
        at.first.append(at.stream, {"a"}, answer.keep());
    }
    at.run(milliseconds{1'000});
    CHECK(at.log.counts().appends == 249);
    at.run(milliseconds{10'000});
    CHECK(answers.back().value().first == 500);
}

TEST_CASE("an answer to an ended caller is dropped", "[log]")
{
    log_fixture at;
    kept_answer<append_receipt> answer;
    {
        embedded_log_view ended(at.log, "entry-3");
        ended.append(at.stream, {"a"}, answer.keep());
    }
    at.run(milliseconds{10'000});
    CHECK(answer.times() == 0);
    CHECK(at.log.kept(at.stream).size() == 1);
}
