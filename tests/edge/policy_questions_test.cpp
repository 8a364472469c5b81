#include "edge/advice_poller.hpp"
#include "edge/peer_api.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::edge;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

/// An owner of a fleet whose steps need permits, and what another VM or the
/// owner's own uses to reach it.
struct fixture
{
    fleet_world world{2, 40};
    boost::asio::io_context loop;
    net::timer_service timers{loop};
    net::http_client http{loop, timers};
    plain_records records;
    standin::memory_store::client link{world.store};
    std::shared_ptr<config_watch> config =
        config_watch::create({}, link, records, world.clock, world.events);
    std::unique_ptr<owner_client> owner;

    fixture()
    {
        fleet::queue_settings queue;
        queue.name = queue_name("work");
        queue.service = fleet::service_name("svc");
        queue.attempts = 2;
        fleet::policy_timing advice;
        advice.base = std::chrono::duration<double, std::milli>(10.0);
        advice.per_worker = std::chrono::duration<double, std::milli>(0.1);
        advice.valid = 1'500ms;
        queue.advice = advice;
        fleet::account_settings account;
        account.name = fleet::account_name("acct");
        world.config = fleet::configuration(1, {queue}, {account}, {});
        world.run(500ms);
        owner = std::make_unique<owner_client>(
            http, *world.owner_vm()->leadership, world.clock);
        owner->set_local(world.owner());
    }

    [[nodiscard]] std::size_t answers_taken() const
    {
        return world.events.count(event_number::advice_taken);
    }
};

} // namespace

// Guards against jobs that never run: the HTTP client repeats a work request
// whose connection breaks, with the answer that it carries.
TEST_CASE("a repeated work request settles one question", "[peers]")
{
    fixture at;
    peer_api api(*at.owner, *at.config, at.world.clock, {});
    const auto reply_to = [&](const std::string& body)
    {
        net::http_request request{
            boost::beast::http::verb::post, peer_paths::work, 11};
        request.body() = body;
        work_reply reply;
        api.handle(
            request,
            [&](const net::http_response& response)
            { reply = decode_work_reply(response.body()).value(); });
        at.world.run(700ms);
        return reply;
    };
    work_request request;
    request.vm = instance_id("another");
    request.wait = 500ms;
    at.world.submit("a", {tasks(1)});
    const work_reply first = reply_to(encode(request));
    REQUIRE(first.question.has_value());
    request.last_answer = work_request::answer();
    request.last_answer->step = first.question->step;
    request.last_answer->question = first.question->number;
    request.last_answer->granted = fleet::permits{{}, 1'500ms};
    const std::string body = encode(request);
    const work_reply second = reply_to(body);
    REQUIRE(second.question.has_value());
    REQUIRE(second.question->step == first.question->step);
    CHECK(second.question->number != first.question->number);
    CHECK(at.answers_taken() == 1);
    const work_reply repeated = reply_to(body);
    CHECK(at.answers_taken() == 1);
    // The reply with the second question was lost, so it comes again.
    REQUIRE(repeated.question.has_value());
    CHECK(repeated.question->workers == second.question->workers);
    request.last_answer->question = repeated.question->number;
    (void)reply_to(encode(request));
    CHECK(at.answers_taken() == 2);
}

TEST_CASE("a VM returns the number of the question that it put", "[peers]")
{
    fixture at;
    at.world.policy.base = 300ms;
    const instance_id vm("another");
    const auto poller = advice_poller::create(
        vm, *at.owner, *at.config, &at.world.policy, at.world.clock);
    poller->start();
    at.world.submit("a", {tasks(1)});
    at.world.run(200ms);
    REQUIRE(at.world.policy.calls == 1);
    // A copy of its work request arrives late: the question is delivered again,
    // under another number, while the VM still holds the first.
    std::optional<fleet::permit_request> again;
    at.world.owner()->request_work(
        vm,
        500ms,
        [&](std::optional<fleet::permit_request> question)
        { again = std::move(question); });
    at.world.run(50ms);
    REQUIRE(again.has_value());
    at.world.run(200ms);
    CHECK(at.world.policy.calls == 2);
    CHECK(at.answers_taken() == 0);
    CHECK(at.world.run_until("a", fleet::job_state::completed, 5s));
    CHECK(at.answers_taken() > 0);
}
