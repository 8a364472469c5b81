#include "edge/advice_poller.hpp"
#include "net/http_server.hpp"
#include "support/fleet_world.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::edge;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

class no_listener final : public fleet::leadership_listener
{
public:
    void on_ownership_gained(std::uint64_t) override {}
    void on_ownership_lost() override {}
    void on_ownership_confirmed(instant, std::uint64_t) override {}
    void on_renewal_overdue() override {}
};

/// An address of this machine that nothing else listens on.
net::endpoint free_address(boost::asio::io_context& loop)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor probe(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

} // namespace

// Guards against a configuration in use that is older than allowed: its age is
// that at the time when the owner sent the reply, which may travel for longer.
TEST_CASE(
    "the time that a reply travels counts for its configuration", "[peers]")
{
    boost::asio::io_context loop;
    net::timer_service timers(loop);
    net::http_client http(loop, timers);
    standin::manual_clock clock;
    standin::memory_store store(clock);
    standin::memory_store::client link(store);
    plain_records records;
    counted_events events;
    no_listener listener;
    const net::endpoint address = free_address(loop);
    net::http_responder respond;
    const auto server = net::http_server::create(
        loop,
        address,
        {},
        [&](const net::http_request&, net::http_responder responder)
        { respond = std::move(responder); });
    REQUIRE(server.has_value());
    fleet::ownership_record claim;
    claim.what = fleet::ownership_record::kind::claim;
    claim.vm = "owner";
    claim.address = address.str();
    claim.nonce = "1";
    claim.strength = 1'000;
    store.put(fleet::leadership::topic, "", fleet::encode(claim));
    fleet::leadership_settings settings;
    settings.vm = instance_id("another");
    const auto leaders =
        fleet::leadership::create(settings, link, clock, events, listener, 1);
    leaders->start();
    clock.advance(100ms);
    REQUIRE(leaders->owner().has_value());
    // The store turns the configuration's reader away.
    standin::memory_store::client config_link(store);
    config_link.requests_rejected = true;
    const auto config =
        config_watch::create({}, config_link, records, clock, events);
    owner_client owner(http, *leaders, clock);
    const auto poller =
        advice_poller::create(settings.vm, owner, *config, nullptr, clock);
    poller->start();
    while (!respond)
    {
        REQUIRE(loop.run_one_for(10s) > 0);
    }
    work_reply reply;
    reply.config_version = 3;
    reply.config = "3";
    reply.config_age = 0ms;
    net::http_response response;
    response.result(boost::beast::http::status::ok);
    response.body() = encode(reply);
    // The reply is on its way for as long as the call may take.
    clock.advance(1'500ms);
    respond(std::move(response));
    while (config->current() == nullptr)
    {
        REQUIRE(loop.run_one_for(10s) > 0);
    }
    CHECK(config->is_fresh());
    CHECK(config->age() >= 1'500ms);
    poller->stop();
}
