#include "cell/membership.hpp"

#include "cell/member_message.hpp"
#include "support/fakes/member_network.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <string>

using namespace acaciastile;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::member_network;

namespace
{

std::string member_id(int number)
{
    return "i" + std::to_string(100 + number);
}

void start_members(member_network& network, int count)
{
    for (int n = 0; n < count; ++n)
    {
        network.start(member_id(n), "dc" + std::to_string(n % 3));
    }
}

bool all_know_each_other(member_network& network)
{
    const auto ids = network.ids();
    for (const std::string& id : ids)
    {
        if (network.at(id).alive().size() != ids.size())
        {
            return false;
        }
    }
    return true;
}

std::uint64_t incarnation_of(member_network& network, const std::string& id)
{
    for (const member& one : network.at(id).alive())
    {
        if (one.id.str() == id)
        {
            return one.incarnation;
        }
    }
    return 0;
}

std::uint64_t count_member_left_events(member_network& network)
{
    std::uint64_t count = 0;
    for (const std::string& id : network.ids())
    {
        count += network.events_of(id).counts[event_number::member_left];
    }
    return count;
}

} // namespace

TEST_CASE("members find each other through the VM list", "[membership]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        member_network network(seed);
        start_members(network, 18);
        network.run_for(seconds{20});
        REQUIRE(all_know_each_other(network));
        REQUIRE(count_member_left_events(network) == 0);
        const auto alive = network.at(member_id(0)).alive();
        REQUIRE(std::is_sorted(
            alive.begin(),
            alive.end(),
            [](const member& left, const member& right)
            { return left.id < right.id; }));
        REQUIRE(alive[1].address == member_network::address_of(member_id(1)));
        REQUIRE(alive[1].data_centre.str() == "dc1");
    }
}

TEST_CASE(
    "a dead member is detected and no live member is declared dead",
    "[membership]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        member_network network(seed);
        start_members(network, 18);
        network.run_for(seconds{20});
        network.kill(member_id(7));
        network.run_for(seconds{15});
        const instance_id lost{member_id(7)};
        for (const std::string& id : network.ids())
        {
            REQUIRE_FALSE(network.at(id).is_alive(lost));
            REQUIRE(network.at(id).is_suspected(lost));
            REQUIRE(network.at(id).dead_since(lost) < network.now());
            REQUIRE(
                network.at(id).dead_since(instance_id{"never"}) ==
                instant::max());
        }
        REQUIRE(all_know_each_other(network));
        REQUIRE(count_member_left_events(network) == 17);
    }
}

TEST_CASE("a member refutes a suspicion after a short pause", "[membership]")
{
    member_network network(3);
    start_members(network, 18);
    network.run_for(seconds{20});
    const std::uint64_t before = incarnation_of(network, member_id(4));
    network.pause(member_id(4));
    network.run_for(seconds{3});
    network.resume(member_id(4));
    network.run_for(seconds{10});
    CHECK(all_know_each_other(network));
    CHECK(count_member_left_events(network) == 0);
    CHECK(incarnation_of(network, member_id(4)) > before);
}

TEST_CASE("a process declared dead during a long pause rejoins", "[membership]")
{
    member_network network(4);
    start_members(network, 18);
    network.run_for(seconds{20});
    const std::uint64_t before = incarnation_of(network, member_id(4));
    network.pause(member_id(4));
    network.run_for(minutes{2});
    CHECK_FALSE(network.at(member_id(5)).is_alive(instance_id{member_id(4)}));
    network.resume(member_id(4));
    network.run_for(seconds{10});
    CHECK(all_know_each_other(network));
    CHECK(incarnation_of(network, member_id(4)) > before);
    CHECK(
        network.events_of(member_id(4)).counts[event_number::member_left] == 0);
}

TEST_CASE(
    "a restarted process uses a higher incarnation than before", "[membership]")
{
    member_network network(5);
    start_members(network, 9);
    network.run_for(seconds{20});
    for (int round = 0; round < 4; ++round)
    {
        const std::uint64_t before = incarnation_of(network, member_id(2));
        network.start(member_id(2), "dc2");
        network.run_for(seconds{round % 2 == 0 ? 5 : 30});
        CHECK(incarnation_of(network, member_id(2)) > before);
        CHECK(all_know_each_other(network));
    }
    CHECK(count_member_left_events(network) == 0);
}

TEST_CASE("membership lists converge after a network partition", "[membership]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        member_network network(seed);
        start_members(network, 18);
        network.run_for(seconds{20});
        network.is_cut = [](const std::string& left, const std::string& right)
        { return (left < member_id(9)) != (right < member_id(9)); };
        network.run_for(minutes{5});
        for (const std::string& id : network.ids())
        {
            REQUIRE(network.at(id).alive().size() == 9);
        }
        const std::uint64_t before = count_member_left_events(network);
        network.is_cut = [](const std::string&, const std::string&)
        { return false; };
        network.run_for(seconds{30});
        REQUIRE(all_know_each_other(network));
        REQUIRE(count_member_left_events(network) == before);
    }
}

TEST_CASE(
    "a broken link between two members makes neither of them dead",
    "[membership]")
{
    member_network network(6);
    start_members(network, 9);
    network.run_for(seconds{20});
    network.is_cut = [](const std::string& left, const std::string& right)
    {
        return (left == member_id(1) && right == member_id(2)) ||
               (left == member_id(2) && right == member_id(1));
    };
    network.run_for(minutes{10});
    CHECK(all_know_each_other(network));
    CHECK(count_member_left_events(network) == 0);
}

TEST_CASE("no member is declared dead with 5% message loss", "[membership]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        member_network network(seed);
        start_members(network, 27);
        network.run_for(seconds{20});
        network.loss = 0.05;
        network.run_for(minutes{10});
        REQUIRE(count_member_left_events(network) == 0);
        REQUIRE(all_know_each_other(network));
    }
}

TEST_CASE("a member that leaves is removed without a suspicion", "[membership]")
{
    member_network network(7);
    start_members(network, 18);
    network.run_for(seconds{20});
    network.at(member_id(3)).leave(network.now());
    network.run_for(seconds{5});
    for (const std::string& id : network.ids())
    {
        if (id != member_id(3))
        {
            CHECK_FALSE(network.at(id).is_alive(instance_id{member_id(3)}));
            CHECK_FALSE(network.at(id).is_suspected(instance_id{member_id(3)}));
            CHECK(
                network.at(id).dead_since(instance_id{member_id(3)}) <=
                network.now());
        }
        const auto& counts = network.events_of(id).counts;
        CHECK(!counts.contains(event_number::member_suspected));
    }
    network.start(member_id(3), "dc0");
    network.run_for(seconds{10});
    CHECK(all_know_each_other(network));
}

TEST_CASE(
    "the newest offset is reported with its peer's address", "[membership]")
{
    member_network network(8);
    start_members(network, 9);
    network.run_for(seconds{20});
    CHECK(network.at(member_id(0)).newest_offset().second.empty());
    network.at(member_id(5)).set_offset(4'711);
    network.run_for(seconds{12});
    for (int n = 0; n < 5; ++n)
    {
        const auto newest = network.at(member_id(n)).newest_offset();
        CHECK(newest.first == 4'711);
        CHECK(newest.second == member_network::address_of(member_id(5)));
    }
}

TEST_CASE(
    "listed VMs without a process do not disturb membership", "[membership]")
{
    member_network network(9);
    for (int n = 0; n < 30; ++n)
    {
        vm_entry vm;
        vm.name = "unused" + std::to_string(n);
        vm.role = n % 2 == 0 ? vm_role::entry : vm_role::worker;
        vm.address = member_network::address_of(vm.name);
        network.extra_vms.push_back(vm);
    }
    start_members(network, 9);
    network.run_for(minutes{2});
    CHECK(all_know_each_other(network));
    CHECK(count_member_left_events(network) == 0);
}

TEST_CASE("bytes sent do not grow with the number of members", "[membership]")
{
    std::map<int, double> rate;
    for (int members : {9, 54})
    {
        member_network network(10);
        start_members(network, members);
        network.run_for(minutes{2});
        const std::uint64_t before = network.traffic_of(member_id(0)).bytes;
        network.run_for(minutes{5});
        const std::uint64_t sent =
            network.traffic_of(member_id(0)).bytes - before;
        rate[members] = static_cast<double>(sent) / 300.0;
    }
    INFO("bytes/s at 9: " << rate[9] << ", at 54: " << rate[54]);
    CHECK(rate[54] < 1.2 * rate[9]);
    CHECK(rate[54] < 1'000.0);
}

TEST_CASE(
    "messages decode to what was encoded; damaged ones are rejected",
    "[membership]")
{
    using namespace acaciastile::impl;
    member self;
    self.id = instance_id("i1");
    self.data_centre = data_centre_name("dc");
    self.address = "10.0.0.1:1";
    self.incarnation = 3;
    member bare;
    bare.id = instance_id("i2");
    bare.incarnation = 9;
    const ping_message ping{
        self.id,
        3,
        77,
        {{member_status::alive, self}, {member_status::dead, bare}}};
    const auto back = decode_ping(encode(ping));
    REQUIRE(back.has_value());
    CHECK(back->from == ping.from);
    CHECK(back->offset == 77);
    CHECK(back->updates == ping.updates);
    sync_request asked;
    asked.self = self;
    asked.digest = ~0ULL;
    asked.entries = 16;
    asked.cursor = instance_id("i9");
    REQUIRE(decode_sync_request(encode(asked))->digest == ~0ULL);
    CHECK(decode_sync_request(encode(asked))->cursor == asked.cursor);

    std::mt19937_64 random(12);
    const std::string bodies[] = {
        encode(ping),
        encode(probe_request{ping, bare.id, "10.0.0.1:2"}),
        encode(asked),
        encode(sync_reply{self, 5, ping.updates, bare.id})};
    member_network network(1);
    start_members(network, 2);
    network.run_for(seconds{5});
    const char* methods[] = {"member.ping", "member.probe", "member.sync"};
    int answers = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        std::string body = bodies[random() % 4];
        body.resize(random() % (body.size() + 1));
        if (!body.empty())
        {
            body[random() % body.size()] = static_cast<char>(random());
        }
        network.at(member_id(0))
            .on_peer(
                network.now(),
                methods[random() % 3],
                body,
                [&answers](const result<std::string>&) { ++answers; });
        (void)decode_sync_reply(body);
    }
    network.run_for(seconds{5});
    CHECK(answers == 20'000);
    CHECK_FALSE(decode_ping("").has_value());
    CHECK_FALSE(decode_ping("\x90").has_value());
}

// Guards against a process that ends: the library that reads the body calls
// itself for each level of nesting.
TEST_CASE("a membership message that nests deeply is malformed", "[membership]")
{
    const std::string list_of_one(1'000'000, '\x91');
    CHECK_FALSE(impl::decode_ping(list_of_one).has_value());
    CHECK_FALSE(impl::decode_probe(list_of_one).has_value());
    CHECK_FALSE(impl::decode_sync_request(list_of_one).has_value());
    CHECK_FALSE(impl::decode_sync_reply(list_of_one).has_value());
}
