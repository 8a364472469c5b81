#include "codec/json_text.hpp"
#include "codec/record_codec.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace acaciastile;

namespace
{

worker_entry worker(const std::string& id, const std::string& rack)
{
    return {
        worker_id(id),
        data_centre_name("almaty-1"),
        rack_name(rack),
        "127.0.0.1:9000",
        {32'000, 64'000, 2}};
}

rules sample_rules()
{
    team_rule planning{team_name("planning"), 3, {64'000, 128'000, 1}};
    queue_rule queue;
    queue.name = queue_name("plans");
    queue.policy = work_class::urgent;
    queue.teams = {team_name("planning")};
    return rules::create({planning}, {queue}).value();
}

std::vector<cell_record> cell_records()
{
    auto sample_inventory =
        inventory::create({worker("w2", "r1"), worker("w1", "r2")}).value();
    key_entry key{
        key_id("k1"), team_name("planning"), key_right::operate, "00ff", "aa"};
    shard_id shard("almaty-1/0");
    team_name team("planning");
    std::vector<worker_id> workers{worker_id("w1"), worker_id("w2")};
    return {
        {"a-1", inventory_published{7, sample_inventory}},
        {"a-2", rules_published{8, sample_rules()}},
        {"a-3", key_granted{key}},
        {"a-4", key_withdrawn{key.id}},
        {"a-5", workers_drained{workers, false}},
        {"a-6", workers_declared_dead{workers}},
        {"a-7", shard_claimed{shard, instance_id("e1"), "127.0.0.1:1", 9}},
        {"a-8", shard_released{shard, 10, instance_id("e2")}},
        {"a-9", allowance_set{shard, 10, team, {1, 2, 3}}},
        {"a-10", allowance_wanted{shard, 10, team, {0, 0, 0}}},
        {"a-11", inventory_changed{7, {worker("w3", "r1")}, workers}},
        {"a-12",
         rules_changed{
             8,
             sample_rules().teams(),
             {team_name("gone")},
             sample_rules().queues(),
             {queue_name("old")}}},
    };
}

std::vector<shard_record> shard_records()
{
    job_spec spec;
    spec.id = job_id("order/1");
    spec.team = team_name("planning");
    spec.queue = queue_name("plans");
    spec.kind = job_kind::request;
    spec.repeatable = false;
    spec.deadline = milliseconds(1'500);
    spec.payload = std::string("\x00\xff\x80", 3);
    attempt_id attempt{{spec.id, 4}, 2};
    return {
        {"b-1", 12, epoch_opened{}},
        {"b-2", 12, job_accepted{spec}},
        {"b-3", 12, job_cancelled{spec.id}},
        {"b-4", 12, attempt_assigned{attempt, worker_id("w1")}},
        {"b-5", 12, attempt_ended{attempt, task_state::failed, "x", "y"}},
        {"b-6", 12, job_moved{spec.id, shard_id("almaty-2/0")}},
        {"b-7",
         12,
         job_restated{
             9,
             spec,
             true,
             shard_id(),
             {{task_state::starting, 2, worker_id("w1")}},
             "x",
             "y"}},
    };
}

} // namespace

TEST_CASE("every kind of cell record round-trips", "[codec]")
{
    for (const cell_record& record : cell_records())
    {
        auto decoded = decode_cell_record(encode(record));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == record);
    }
    CHECK(cell_records().size() == std::variant_size_v<cell_change>);
}

TEST_CASE("every kind of shard record round-trips", "[codec]")
{
    for (const shard_record& record : shard_records())
    {
        auto decoded = decode_shard_record(encode(record));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == record);
    }
    CHECK(shard_records().size() == std::variant_size_v<shard_change>);
}

TEST_CASE("kind numbers match the log format", "[codec]")
{
    std::vector<unsigned> kinds;
    for (const cell_record& record : cell_records())
    {
        kinds.push_back(parse_msgpack(encode(record)).value()[1]);
    }
    CHECK(
        kinds == std::vector<unsigned>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    kinds.clear();
    for (const shard_record& record : shard_records())
    {
        kinds.push_back(parse_msgpack(encode(record)).value()[2]);
    }
    CHECK(kinds == std::vector<unsigned>{1, 2, 3, 4, 5, 6, 7});
}

TEST_CASE("truncated records are rejected as malformed", "[codec]")
{
    for (const cell_record& record : cell_records())
    {
        std::string encoded = encode(record);
        for (std::size_t size = 0; size < encoded.size(); ++size)
        {
            auto decoded = decode_cell_record(encoded.substr(0, size));
            REQUIRE_FALSE(decoded.has_value());
            CHECK(decoded.error().code == refusal_code::malformed);
        }
    }
}

TEST_CASE("records with trailing items or bytes are rejected", "[codec]")
{
    auto value = parse_msgpack(encode(cell_records()[3])).value();
    value.push_back(1);
    CHECK_FALSE(decode_cell_record(to_msgpack_text(value)).has_value());
    CHECK_FALSE(decode_cell_record(encode(cell_records()[3]) + "x"));
}

TEST_CASE("corrupted records never cause an exception", "[codec]")
{
    constexpr unsigned seed = 20'261;
    std::mt19937 random(seed);
    std::size_t rejected = 0;
    for (const shard_record& record : shard_records())
    {
        std::string encoded = encode(record);
        for (int round = 0; round < 2'000; ++round)
        {
            std::string changed = encoded;
            changed[random() % changed.size()] = static_cast<char>(random());
            rejected += decode_shard_record(changed).has_value() ? 0 : 1;
        }
    }
    INFO("seed " << seed);
    CHECK(rejected > 0);
}

TEST_CASE("deep nesting is rejected without stack overflow", "[codec]")
{
    const std::string nested(1'000'000, '\x91');
    auto decoded = decode_cell_record(nested);
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().code == refusal_code::malformed);
}

TEST_CASE("an inventory that violates its invariants is rejected", "[codec]")
{
    auto value = parse_msgpack(encode(cell_records()[0])).value();
    auto& rack = value[3][0][1][0][1];
    rack.push_back(rack[0]);
    auto decoded = decode_cell_record(to_msgpack_text(value));
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().code == refusal_code::invalid_value);
}
