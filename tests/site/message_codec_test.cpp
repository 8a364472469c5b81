#include "platform/edge_settings.hpp"
#include "platform/message_codec.hpp"
#include "platform/site_records.hpp"
#include "platform/worker_status_codec.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace std::chrono_literals;

TEST_CASE("a submitted job is decoded into steps", "[site]")
{
    const auto job = site::decode_job_request(
        R"({"taskSpec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
        "estRuntimeMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
        "after":[0],"checkpointing":true,"gang":true,"antiAffinity":2,
        "mayMiss":1,"targetMs":80,"fills":true,"image":"i"}],
        "repeatCount":3,"startAtMs":1700000000000,"intervalMs":500})");
    REQUIRE(job.has_value());
    CHECK(job->payload == "text");
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].count == 4);
    CHECK(job->steps[0].each.milli_processors == 500);
    CHECK(job->steps[0].data_rack == "r1-3");
    CHECK(job->steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(job->steps[1].gang);
    CHECK(job->steps[1].checkpoints);
    CHECK(job->steps[1].max_per_worker == 2);
    CHECK(job->steps[1].max_unavailable == 1);
    CHECK(job->steps[1].latency_target == 80ms);
    CHECK(job->occurrences == 3);
    CHECK(job->interval == 500ms);
}

TEST_CASE("jobs that cannot be run are malformed", "[site]")
{
    for (const char* body :
         {"",
          "[]",
          R"({"taskSpec":"x"})",
          R"({"taskSpec":"x","steps":[]})",
          R"({"taskSpec":"x","steps":[{"count":0}]})",
          R"({"taskSpec":"x","steps":[{"count":-1}]})",
          R"({"taskSpec":"x","steps":[{"count":1,"cpu":-5}]})",
          R"({"taskSpec":"x","steps":[{"count":1,"after":[0]}]})",
          R"({"taskSpec":5,"steps":[{"count":1}]})"})
    {
        INFO(body);
        CHECK_FALSE(site::decode_job_request(body).has_value());
    }
}

TEST_CASE("task names are read back as written", "[site]")
{
    const fleet::task_ref task{{job_id("5c0e7a21d94b36f8"), 2, 1}, 17};
    CHECK(site::task_name(task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(site::parse_task_name("5c0e7a21d94b36f8.2.1.17") == task);
    CHECK_FALSE(site::parse_task_name("5c0e7a21d94b36f8.2.1").has_value());
    CHECK_FALSE(site::parse_task_name("a.b.c.d").has_value());
}

TEST_CASE("a worker's status is decoded", "[site]")
{
    const auto status = site::decode_worker_status(
        R"({"born":1700,"clockMs":482113,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"00ba",41]],
        "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [59,"5c0e7a21d94b36f8.0.1.8",3,"broken","ff"]]})");
    REQUIRE(status.has_value());
    CHECK(status->incarnation == 1700);
    CHECK(status->clock == worker_instant(482113ms));
    REQUIRE(status->running.size() == 1);
    CHECK(status->running[0].checkpoint == "00ba");
    REQUIRE(status->ended.size() == 2);
    CHECK(status->ended[0].how == fleet::run_end::done);
    CHECK(status->ended[1].how == fleet::run_end::gang_broken);
    CHECK_FALSE(
        site::decode_worker_status(R"({"finished":[[1,"x",1,"done",""]]})")
            .has_value());
}

TEST_CASE("a worker's status may have more fields and columns", "[site]")
{
    const auto status = site::decode_worker_status(
        R"({"new":{"a":[1,{"b":null}]},"born":7,"running":[
        ["5c0e7a21d94b36f8.0.1.17",2,"00ba",41,12.5,["x"]]],"finished":null,
        "list":[[1],"y"]})");
    REQUIRE(status.has_value());
    CHECK(status->incarnation == 7);
    REQUIRE(status->running.size() == 1);
    CHECK(status->running[0].run == 2);
    CHECK(status->running[0].percent == 41.0);
    CHECK(status->ended.empty());
}

TEST_CASE("a worker's status with a wrong field is malformed", "[site]")
{
    for (const char* body :
         {"",
          "[]",
          "5",
          R"({"born":"7"})",
          R"({"born":-7})",
          R"({"clockMs":[]})",
          R"({"running":{}})",
          R"({"running":[null]})",
          R"({"running":[["5c0e7a21d94b36f8.0.1.17",2,"00ba"]]})",
          R"({"running":[["5c0e7a21d94b36f8.0.1.17","2","00ba",41]]})",
          R"({"running":[[["x"],2,"00ba",41]]})",
          R"({"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"gone",""]]})",
          R"({"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"done"]]})",
          R"({"born":7)"})
    {
        INFO(body);
        CHECK_FALSE(site::decode_worker_status(body).has_value());
    }
}

TEST_CASE("an invalid registration names no worker", "[site]")
{
    const site::site_records records;
    const std::string good =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
        "born":5,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
        "labels":["a","r1-3"]})";
    const auto worker = records.read_registration("i-1", good);
    REQUIRE(worker.has_value());
    CHECK(worker->rack.str() == "r1-3");
    CHECK(worker->incarnation == 5);
    CHECK_FALSE(worker->draining);
    for (
        const char* bad :
        {"\xff\xfe",
         "{}",
         R"({"service":"s","address":"a","state":"ready"})",
         R"({"service":"s","address":"a","state":"odd","capacity":{"cpu":1}})",
         R"({"service":7,"address":"a","state":"ready","capacity":{"cpu":1}})",
         R"({"service":"s","address":"a","state":"ready","capacity":[]})",
         R"({"service":"s","address":"a","state":"ready","capacity":{},"labels":[7]})"})
    {
        INFO(bad);
        CHECK_FALSE(records.read_registration("i-1", bad).has_value());
    }
}

TEST_CASE("the operators' configuration is decoded", "[site]")
{
    const auto config = site::decode_configuration(
        R"({"version":7,"routes":[{"name":"q","host":"h.example",
        "pathPrefix":"/a/","service":"s","priority":2,"attempts":2,
        "stretch":4.0,"targetLatencyMs":3000,"advice":{"decisionMs":82.0,
        "periodMs":1.2,"validMs":1500},"public":false},{"name":"p",
        "host":"h.example","pathPrefix":"/a/b/","service":"s","public":true}],
        "services":[{"name":"s","rejectsOverload":false}],
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"weight":31,
        "cap":{"cpu":870064,"memMb":1068496,"gpu":0}}]})");
    REQUIRE(config.has_value());
    CHECK(config->version() == 7);
    CHECK(config->match("h.example", "/a/1")->name.str() == "q");
    CHECK(config->match("h.example", "/a/b/1")->name.str() == "p");
    CHECK(config->match("other.example", "/a/1") == nullptr);
    CHECK(config->account_for_key("k2")->str() == "t");
    CHECK(config->account_for_key("k3") == nullptr);
    REQUIRE(config->find(queue_name("q"))->advice.has_value());
    CHECK(config->find(queue_name("q"))->advice->valid == 1'500ms);
    CHECK(
        config->find(fleet::account_name("t"))->cap.milli_processors == 870064);
    CHECK_FALSE(site::decode_configuration("[]").has_value());
}

TEST_CASE("settings are decoded and unknown fields ignored", "[site]")
{
    const auto settings = site::decode_edge_settings(
        "node=edge-1\nzone=z\nip=10.1.0.17\nlistenAddrs.front=10.1.0.17:8183\n"
        "listenAddrs.ready=10.1.0.17:8184\ninternalPorts=7420,7435\n"
        "platform.address=10.200.1.7:8182\nadvice=10.200.1.9:8182\n"
        "bounds.graceS=6\nnew.field=x\nlimits.cpuShare=0.25\n");
    REQUIRE(settings.has_value());
    CHECK(settings->vm.str() == "edge-1");
    CHECK(settings->front.port == 8183);
    CHECK(settings->peer_port == 7420);
    CHECK(settings->grace == 6s);
    CHECK(settings->policy.port == 8182);
    const auto broken = site::decode_edge_settings("node=a\n");
    REQUIRE_FALSE(broken.has_value());
    CHECK_THAT(broken.error().message, Catch::Contains("zone"));
}
