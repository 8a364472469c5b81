#include "platform/http/log_messages.hpp"
#include "platform/http/vm_messages.hpp"
#include "platform/http/worker_messages.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

attempt_id attempt(const std::string& job)
{
    return {{job_id(job), 3}, 2};
}

worker_call_message full_call()
{
    worker_call_message message;
    message.caller = "entry-1";
    message.call.worker = worker_id("w1");
    message.call.shard = shard_id("almaty-1/0");
    message.call.epoch = 77;
    message.call.incarnation = 4;
    message.call.seal = true;
    message.call.lease_until = worker_instant{milliseconds{-5}};
    message.call.forget = {attempt("a")};
    message.call.stop = {{attempt("b"), stop_manner::checkpoint}};
    message.call.renew = {attempt("c"), attempt("d")};
    message.call.start = {
        {attempt("e"),
         {1, 2, 3},
         milliseconds{40},
         "plan",
         std::string("\0\xff", 2)}};
    message.call.notify_address = "127.0.0.1:9";
    return message;
}

worker_report full_report()
{
    worker_report report;
    report.worker = worker_id("w1");
    report.clock = worker_instant{milliseconds{123}};
    report.incarnation = 4;
    report.sealed = 77;
    report.leaving = true;
    report.capacity = {8, 9, 10};
    report.running = {{attempt("a"), {1, 2, 3}, {4, 5, 6}, worker_instant{}}};
    report.ended = {
        {attempt("b"),
         attempt_outcome::lapsed,
         "answer",
         "reason",
         milliseconds{7},
         {1, 1, 1}}};
    report.refused = {{attempt("c"), refusal_code::worker_leaving}};
    return report;
}

} // namespace

TEST_CASE("a worker call comes through its message whole", "[messages]")
{
    const std::string bytes = encode(full_call());
    const auto read = decode_worker_call(bytes);
    REQUIRE(read.has_value());
    CHECK(encode(*read) == bytes);
    CHECK(read->call.start.at(0).payload == std::string("\0\xff", 2));
    CHECK(read->call.stop.at(0).manner == stop_manner::checkpoint);
    CHECK(read->call.lease_until == worker_instant{milliseconds{-5}});
    CHECK(read->call.renew.at(1) == attempt("d"));
}

TEST_CASE("a worker report comes through its message whole", "[messages]")
{
    const std::string bytes = encode(full_report());
    const auto read = decode_worker_report(bytes);
    REQUIRE(read.has_value());
    CHECK(encode(*read) == bytes);
    CHECK(read->ended.at(0).outcome == attempt_outcome::lapsed);
    CHECK(read->refused.at(0).code == refusal_code::worker_leaving);
    CHECK(read->running.at(0).usage == resources{4, 5, 6});
}

TEST_CASE("a log page keeps its offsets", "[messages]")
{
    log_page page;
    page.entries = {{5, "x"}, {6, std::string("\0y", 2)}};
    page.next = 7;
    page.head = 9;
    page.first_kept = 2;
    const auto read = decode_log_page(encode(page));
    REQUIRE(read.has_value());
    REQUIRE(read->entries.size() == 2);
    CHECK(read->entries[0].offset == 5);
    CHECK(read->entries[1].offset == 6);
    CHECK(read->entries[1].body == std::string("\0y", 2));
    CHECK(read->next == 7);
    CHECK(read->head == 9);
    CHECK(read->first_kept == 2);
}

TEST_CASE("an empty page keeps where to read on", "[messages]")
{
    log_page page;
    page.next = 7;
    const auto read = decode_log_page(encode(page));
    REQUIRE(read.has_value());
    CHECK(read->next == 7);
}

TEST_CASE("a cut or altered message is malformed at worst", "[messages]")
{
    for (const std::string& bytes :
         {encode(full_call()), encode(full_report())})
    {
        for (std::size_t length = 0; length < bytes.size(); ++length)
        {
            const std::string part = bytes.substr(0, length);
            CHECK_FALSE(decode_worker_call(part).has_value());
            CHECK_FALSE(decode_worker_report(part).has_value());
            std::string altered = bytes;
            altered[length] = static_cast<char>(altered[length] ^ 0x55);
            (void)decode_worker_call(altered);
            (void)decode_worker_report(altered);
            (void)decode_log_page(altered);
            (void)decode_vm_list_reply(altered);
        }
    }
}

TEST_CASE("an unknown enumeration value is malformed", "[messages]")
{
    vm_list_reply reply;
    reply.entries.push_back({"w1", static_cast<vm_role>(9)});
    const auto read = decode_vm_list_reply(encode(reply));
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code == refusal_code::malformed);
}

TEST_CASE("the version of a VM list follows its content", "[messages]")
{
    std::vector<vm_entry> entries{{"w1", vm_role::worker}};
    const std::uint64_t before = version_of(entries);
    CHECK(version_of(entries) == before);
    entries.front().leaving = true;
    CHECK(version_of(entries) != before);
    CHECK(version_of({}) != 0);
}
