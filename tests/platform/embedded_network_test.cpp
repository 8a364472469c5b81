#include "platform/answers.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "platform/embedded/embedded_vm_list.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

struct peers_fixture
{
    timer_queue timers;
    embedded_network network{timers};
    embedded_peers peers{network};
    embedded_peer_gateway first{peers, "entry-1"};
    int handled = 0;

    peers_fixture()
    {
        peers.enter(
            "127.0.0.1:2",
            "entry-2",
            [this](
                const std::string& method,
                const std::string& body,
                const completion<std::string>& done)
            {
                ++handled;
                done(method + ":" + body);
            });
    }

    void run(milliseconds time) { timers.run_until(timers.now() + time); }

    kept_answer<std::string> call(const std::string& address = "127.0.0.1:2")
    {
        kept_answer<std::string> answer;
        first.call({address, "ask", "x", milliseconds{500}}, answer.keep());
        run(milliseconds{10'000});
        return answer;
    }
};

} // namespace

TEST_CASE("a peer call brings the handler's answer", "[peers]")
{
    peers_fixture at;
    CHECK(at.call().value() == "ask:x");
}

TEST_CASE("nobody at an address is not run", "[peers]")
{
    peers_fixture at;
    CHECK(at.call("127.0.0.1:9")
              .failed(refusal_code::unreachable, verdict::not_run));
    at.peers.leave("127.0.0.1:2");
    CHECK(at.call().failed(refusal_code::unreachable, verdict::not_run));
}

TEST_CASE("a refused cut is not run, a silent one may have run", "[peers]")
{
    peers_fixture at;
    at.network.cut("entry-1", "entry-2", cut_manner::refused);
    CHECK(at.call().failed(refusal_code::unreachable, verdict::not_run));
    at.network.cut("entry-1", "entry-2", cut_manner::silent);
    CHECK(at.call().failed(refusal_code::unreachable, verdict::may_have_run));
    CHECK(at.handled == 0);
    at.network.heal_all();
    CHECK(at.call().succeeded());
}

TEST_CASE("groups are cut off from each other", "[peers]")
{
    peers_fixture at;
    at.network.join("entry-1", "almaty-1");
    at.network.join("entry-2", "almaty-2");
    at.network.cut("almaty-1", "almaty-2");
    CHECK(at.call().failed(refusal_code::unreachable, verdict::not_run));
    at.network.heal("almaty-2", "almaty-1");
    CHECK(at.call().succeeded());
}

TEST_CASE("an endpoint is cut off from everyone", "[peers]")
{
    peers_fixture at;
    at.network.cut("entry-2", embedded_network::everyone);
    CHECK(at.call().failed(refusal_code::unreachable, verdict::not_run));
    at.network.heal(embedded_network::everyone, "entry-2");
    CHECK(at.call().succeeded());
}

TEST_CASE("a cut while the answer travels leaves it unknown", "[peers]")
{
    peers_fixture at;
    kept_answer<std::string> answer;
    at.first.call(
        {"127.0.0.1:2", "ask", "x", milliseconds{500}}, answer.keep());
    at.network.cut("entry-1", "entry-2");
    at.run(milliseconds{10'000});
    CHECK(at.handled == 1);
    CHECK(answer.failed(refusal_code::unreachable, verdict::may_have_run));
}

TEST_CASE("an answer is lost after the effect", "[peers]")
{
    peers_fixture at;
    at.peers.lose_answers("entry-2", 1);
    CHECK(at.call().failed(refusal_code::unreachable, verdict::may_have_run));
    CHECK(at.handled == 1);
    CHECK(at.call().succeeded());
}

TEST_CASE("a paused peer handles its calls once it resumes", "[peers]")
{
    peers_fixture at;
    at.network.pause("entry-2");
    CHECK(at.call().failed(refusal_code::unreachable, verdict::may_have_run));
    CHECK(at.handled == 0);
    at.network.resume("entry-2");
    at.run(milliseconds{10});
    CHECK(at.handled == 1);
}

TEST_CASE("a paused caller hears its answers once it resumes", "[peers]")
{
    peers_fixture at;
    kept_answer<std::string> answer;
    at.first.call(
        {"127.0.0.1:2", "ask", "x", milliseconds{500}}, answer.keep());
    at.network.pause("entry-1");
    at.run(milliseconds{10'000});
    CHECK(answer.times() == 0);
    at.network.resume("entry-1");
    at.run(milliseconds{10});
    CHECK(answer.value() == "ask:x");
}

TEST_CASE("delays are drawn the same from the same seed", "[network]")
{
    auto drawn = []
    {
        timer_queue timers;
        embedded_network network(timers, {milliseconds{1}, milliseconds{50}});
        std::vector<milliseconds> delays;
        for (int count = 0; count < 20; ++count)
        {
            delays.push_back(network.delay("a", "b"));
        }
        return delays;
    };
    CHECK(drawn() == drawn());
}

TEST_CASE("the VM list shows changes after its lag", "[vm_list]")
{
    timer_queue timers;
    embedded_network network(timers);
    embedded_vm_list list(network);
    embedded_vm_list_view view(list, "entry-1");
    list.set({"w1", vm_role::worker, data_centre_name("a"), "127.0.0.1:1"});
    list.set_lag(milliseconds{5'000});
    CHECK(list.shown().empty());
    timers.run_until(instant{milliseconds{6'000}});
    list.set_leaving("w1", true);
    list.set({"w9", vm_role::worker, data_centre_name("a"), "127.0.0.1:9"});
    REQUIRE(list.shown().size() == 1);
    CHECK_FALSE(list.shown().front().leaving);
    timers.run_until(instant{milliseconds{12'000}});
    kept_answer<std::vector<vm_entry>> answer;
    view.fetch(answer.keep());
    timers.run_until(instant{milliseconds{12'010}});
    REQUIRE(answer.value().size() == 2);
    CHECK(answer.value().front().leaving);
    list.remove("w9");
    list.set_down(true);
    kept_answer<std::vector<vm_entry>> refused;
    view.fetch(refused.keep());
    timers.run_until(instant{milliseconds{13'000}});
    CHECK(refused.failed(refusal_code::unreachable, verdict::not_run));
}
