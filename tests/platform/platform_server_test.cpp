#include "platform/http/http_log_service.hpp"
#include "platform/http/http_server.hpp"
#include "platform/http/http_vm_list.hpp"
#include "platform/http/http_worker_gateway.hpp"
#include "platform/http/platform_server.hpp"
#include "platform/waiting_executor.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

platform_server_settings server_settings()
{
    platform_server_settings settings;
    settings.address = "127.0.0.1:0";
    settings.answer_timeout = milliseconds{300};
    embedded_worker_settings worker;
    worker.id = worker_id("rack/w 1");
    worker.capacity = {4'000, 4'096, 0};
    settings.workers.push_back(worker);
    settings.vms.push_back({"rack/w 1", vm_role::worker});
    return settings;
}

struct platform_fixture
{
    waiting_executor control;
    std::unique_ptr<platform_server> server{
        std::move(*platform_server::create(server_settings()))};
    std::unique_ptr<http_client> client{
        std::move(*http_client::create({}, control))};
    std::unique_ptr<log_service> log =
        http_log_service::create(*client, {server->address(), "entry-1"});
    std::unique_ptr<vm_list> vms =
        http_vm_list::create(*client, {server->address(), "entry-1"});
    std::unique_ptr<http_worker_gateway> workers =
        http_worker_gateway::create(*client, {"entry-1"});
    stream_name stream{"cell"};

    kept_answer<append_receipt> append(std::vector<std::string> bodies)
    {
        kept_answer<append_receipt> answer;
        log->append(stream, std::move(bodies), answer.keep());
        control.wait_for(answer);
        return answer;
    }

    kept_answer<log_page> read(log_offset from)
    {
        kept_answer<log_page> answer;
        log->read(stream, from, 10'000, answer.keep());
        control.wait_for(answer);
        return answer;
    }

    kept_answer<worker_report> send(worker_call call)
    {
        kept_answer<worker_report> answer;
        call.worker = worker_id("rack/w 1");
        call.address = server->address();
        call.epoch = 5;
        workers->call(std::move(call), answer.keep());
        control.wait_for(answer);
        return answer;
    }

    kept_answer<std::vector<vm_entry>> fetch()
    {
        kept_answer<std::vector<vm_entry>> answer;
        vms->fetch(answer.keep());
        control.wait_for(answer);
        return answer;
    }

    void fault(const std::string& command)
    {
        kept_answer<http_reply> answer;
        client->post({server->address(), "/v1/fault", command}, answer.keep());
        control.wait_for(answer);
        REQUIRE(answer.succeeded());
        CHECK(answer.value().status == 200);
    }
};

} // namespace

TEST_CASE("the log is served over HTTP", "[server]")
{
    platform_fixture at;
    CHECK(at.append({"a", std::string("\0\xff", 2)}).value().first == 1);
    const auto page = at.read(1).value();
    REQUIRE(page.entries.size() == 2);
    CHECK(page.entries[1].body == std::string("\0\xff", 2));
    CHECK(page.entries[1].offset == 2);
    CHECK(page.head == 3);
}

TEST_CASE("errors of the log keep code and verdict over HTTP", "[server]")
{
    platform_fixture at;
    at.fault(R"({"fault": "log_down"})");
    CHECK(at.append({"a"}).failed(
        refusal_code::log_unavailable, verdict::not_run));
    at.fault(R"({"fault": "log_down", "on": false})");
    at.fault(R"({"fault": "log_lose_answers", "count": 1})");
    CHECK(at.append({"a"}).failed(
        refusal_code::log_unavailable, verdict::may_have_run));
    CHECK(at.read(1).value().entries.size() == 1);
    at.fault(R"({"fault": "log_retention", "entries": 1})");
    (void)at.append({"b"});
    CHECK(at.read(1).failed(refusal_code::offset_expired, verdict::not_run));
    at.fault(R"({"fault": "cut", "left": "entry-1", "right": "log"})");
    CHECK(at.read(2).failed(refusal_code::log_unavailable, verdict::not_run));
    at.server->stop();
    CHECK(at.append({"c"}).failed(
        refusal_code::log_unavailable, verdict::not_run));
}

TEST_CASE("an unchanged VM list is not sent again", "[server]")
{
    platform_fixture at;
    REQUIRE(at.fetch().value().size() == 1);
    const auto before = at.client->counts().bytes_received;
    CHECK(at.fetch().value().size() == 1);
    const auto unchanged = at.client->counts().bytes_received - before;
    CHECK(unchanged < before);
    at.fault(R"({"fault": "vm_leaving", "name": "rack/w 1"})");
    CHECK(at.fetch().value().front().leaving);
}

TEST_CASE("workers run tasks and send notices over HTTP", "[server]")
{
    platform_fixture at;
    kept_answer<std::string> noticed;
    auto instance = http_server::create(
        {"127.0.0.1:0"},
        {{"POST",
          "/v1/notice",
          "application/msgpack",
          [&](const http_call& call, const http_answer& answer)
          {
              at.control.post([&at, body = call.body]
                              { (void)at.workers->take_notice(body); });
              answer({200, ""});
          }}});
    REQUIRE(instance.has_value());
    at.workers->on_notice([done = noticed.keep()](const worker_notice& notice)
                          { done(notice.worker.str()); });
    worker_call seal;
    seal.seal = true;
    const auto sealed = at.send(seal).value();
    worker_call start;
    start.incarnation = sealed.incarnation;
    start.lease_until = sealed.clock + milliseconds{60'000};
    start.notify_address = (*instance)->address();
    start.start.push_back(
        {{{job_id("a"), 0}, 1}, {1, 1, 0}, milliseconds{20}, "", "hello"});
    CHECK(at.send(start).value().running.size() == 1);
    at.control.wait_for(noticed);
    CHECK(noticed.value() == "rack/w 1");
    worker_call ask;
    ask.incarnation = sealed.incarnation;
    const auto report = at.send(ask).value();
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].answer == "hello");
    CHECK_FALSE(at.workers->take_notice("?").has_value());
    at.fault(R"({"fault": "worker_kill", "worker": "rack/w 1"})");
    CHECK(at.send(ask).failed(refusal_code::stale_epoch, verdict::not_run));
}

TEST_CASE("a wrong command is refused with its reason", "[server]")
{
    platform_fixture at;
    kept_answer<http_reply> answer;
    at.client->post({at.server->address(), "/v1/fault", "{}"}, answer.keep());
    at.control.wait_for(answer);
    REQUIRE(answer.succeeded());
    CHECK(answer.value().status == 422);
    CHECK(answer.value().body.find("invalid_value") != std::string::npos);
}

TEST_CASE("a port that is taken is refused", "[server]")
{
    platform_fixture at;
    platform_server_settings second = server_settings();
    second.address = at.server->address();
    const auto refused = platform_server::create(second);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::internal);
}
