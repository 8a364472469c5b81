#include "edge/peer_messages.hpp"

#include "codec/msgpack_fields.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace acaciastile;
using namespace acaciastile::edge;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// The fields of an encoded message.
json fields_of(const std::string& message)
{
    const result<json> value = parse_msgpack(message);
    REQUIRE(value.has_value());
    return *value;
}

/// The message of a build before the numbers of questions: the array in its
/// field `at` has four fields.
std::string without_number(const std::string& message, std::size_t at)
{
    json fields = fields_of(message);
    REQUIRE(fields.at(at).size() == 5);
    fields.at(at).erase(4);
    return to_msgpack_text(fields);
}

} // namespace

TEST_CASE("a work request keeps the last answer when decoded", "[peers]")
{
    work_request request;
    request.vm = instance_id("vm1");
    request.wait = 700ms;
    request.config_version = 7;
    request.last_answer = work_request::answer();
    work_request::answer& last_answer = *request.last_answer;
    last_answer.step = {job_id("a"), 2, 1};
    last_answer.age = 3ms;
    last_answer.question = (std::uint64_t{9} << 32U) + 5;
    last_answer.granted = fleet::permits{{{worker_id("w"), "ticket"}}, 1'500ms};
    const auto read = decode_work_request(encode(request));
    REQUIRE(read.has_value());
    CHECK(read->vm == request.vm);
    CHECK(read->config_version == 7);
    REQUIRE(read->last_answer.has_value());
    CHECK(read->last_answer->step == last_answer.step);
    CHECK(read->last_answer->question == last_answer.question);
    REQUIRE(read->last_answer->granted.has_value());
    CHECK(read->last_answer->granted->allowed.front().ticket == "ticket");
    CHECK(read->last_answer->granted->valid == 1'500ms);
}

TEST_CASE(
    "a work reply keeps question and configuration when decoded", "[peers]")
{
    work_reply reply;
    reply.question =
        fleet::permit_request{{job_id("a"), 0, 3}, {worker_id("w")}, 2, 40ms};
    reply.question->number = (std::uint64_t{9} << 32U) + 5;
    reply.config_version = 9;
    reply.config_age = 12ms;
    reply.config = "{\"version\":9}";
    const auto read = decode_work_reply(encode(reply));
    REQUIRE(read.has_value());
    REQUIRE(read->question.has_value());
    CHECK(read->question->step == reply.question->step);
    CHECK(read->question->priority == 2);
    CHECK(read->question->number == reply.question->number);
    CHECK(read->config == reply.config);
    CHECK(read->config_age == 12ms);
    CHECK_FALSE(decode_work_reply(encode(work_reply{}))->question.has_value());
}

TEST_CASE(
    "an accept request keeps the terms of its job when decoded", "[peers]")
{
    accept_request request;
    request.job.id = job_id("0011223344556677");
    request.job.queue = queue_name("q");
    request.job.settings_at_acceptance.service = fleet::service_name("svc");
    request.job.settings_at_acceptance.attempts = 4;
    request.job.settings_at_acceptance.advice = fleet::policy_timing{};
    fleet::step_spec step;
    step.count = 3;
    step.gang = true;
    step.each = {500, 64, 0};
    request.job.request.steps = {step};
    request.deadline = 3s;
    const auto read = decode_accept_request(encode(request));
    REQUIRE(read.has_value());
    CHECK(read->job.id == request.job.id);
    CHECK(read->job.settings_at_acceptance.attempts == 4);
    CHECK(read->job.settings_at_acceptance.advice.has_value());
    CHECK(read->job.request.steps == request.job.request.steps);
    CHECK(read->deadline == 3s);
}

TEST_CASE("peer messages of earlier builds are read", "[peers]")
{
    work_request request;
    request.last_answer = work_request::answer();
    request.last_answer->step = {job_id("a"), 2, 1};
    request.last_answer->granted =
        fleet::permits{{{worker_id("w"), "ticket"}}, 1'500ms};
    request.last_answer->question = 5;
    const auto asked = decode_work_request(without_number(encode(request), 3));
    REQUIRE(asked.has_value());
    REQUIRE(asked->last_answer.has_value());
    CHECK(asked->last_answer->step == request.last_answer->step);
    CHECK(asked->last_answer->granted.has_value());
    CHECK(asked->last_answer->question == 0);
    work_reply reply;
    reply.question =
        fleet::permit_request{{job_id("a"), 0, 3}, {worker_id("w")}, 2, 40ms};
    reply.question->number = 5;
    reply.failing_token = 3;
    const auto replied = decode_work_reply(without_number(encode(reply), 0));
    REQUIRE(replied.has_value());
    REQUIRE(replied->question.has_value());
    CHECK(replied->question->step == reply.question->step);
    CHECK(replied->question->number == 0);
    CHECK(replied->failing_token == 3);
    json without_held = fields_of(encode(reply));
    without_held.erase(without_held.size() - 1);
    const auto earlier = decode_work_reply(to_msgpack_text(without_held));
    REQUIRE(earlier.has_value());
    CHECK_FALSE(earlier->held.has_value());
}

TEST_CASE("earlier builds can read the peer messages", "[peers]")
{
    // They read fields by position and ignore those beyond the ones they know.
    work_request request;
    request.vm = instance_id("vm1");
    request.wait = 700ms;
    request.config_version = 7;
    request.last_answer = work_request::answer();
    request.last_answer->step = {job_id("a"), 2, 1};
    request.last_answer->age = 3ms;
    request.last_answer->granted =
        fleet::permits{{{worker_id("w"), "ticket"}}, 1'500ms};
    request.last_answer->question = 5;
    CHECK(
        fields_of(without_number(encode(request), 3)) ==
        json::parse(R"(["vm1",700,7,[["a",2,1],3,1500,[["w","ticket"]]]])"));
    work_reply reply;
    reply.question =
        fleet::permit_request{{job_id("a"), 0, 3}, {worker_id("w")}, 2, 40ms};
    reply.question->number = 5;
    reply.config_version = 9;
    reply.config_age = 12ms;
    reply.config = "c";
    reply.failing_token = 3;
    reply.held = 17ms;
    json fields = fields_of(without_number(encode(reply), 0));
    REQUIRE(fields.size() == 6);
    CHECK(fields.back() == 17);
    fields.erase(fields.size() - 1);
    CHECK(fields == json::parse(R"([[["a",0,3],2,40,["w"]],9,12,"c",3])"));
}

TEST_CASE("a count of waiting jobs keeps its age when decoded", "[peers]")
{
    const auto read =
        decode_waiting_count(encode(fleet::waiting_count{7, 900ms, 300ms}));
    REQUIRE(read.has_value());
    CHECK(read->waiting == 7);
    CHECK(read->age == 900ms);
    CHECK(read->held == 300ms);
    CHECK_FALSE(decode_waiting_count("7").has_value());
}

TEST_CASE("undecodable peer messages are malformed", "[peers]")
{
    CHECK(
        decode_work_reply("nonsense").error().code == refusal_code::malformed);
    CHECK(
        decode_accept_request("\x91\x01").error().code ==
        refusal_code::malformed);
}
