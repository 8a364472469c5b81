#include "cell/cell_state.hpp"
#include "support/cell_samples.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::samples;

namespace
{

/// Applies changes at consecutive offsets, each under a unique record id.
class folding
{
public:
    fold_outcome operator()(cell_change change)
    {
        ++offset_;
        std::string id = "r-" + std::to_string(offset_);
        return state.apply(offset_, {id, std::move(change)});
    }

    cell_state state;

private:
    log_offset offset_ = 0;
};

refusal_code code_of(const fold_outcome& outcome)
{
    REQUIRE(outcome.refusal.has_value());
    CHECK(outcome.refusal->effect == verdict::not_run);
    return outcome.refusal->code;
}

const shard_id shard_0("s/0");
const team_name planning("planning");

} // namespace

TEST_CASE("one of two conflicting publications is refused", "[fold]")
{
    folding fold;
    auto first = fold(inventory_published{0, workers({worker("w1")})});
    CHECK(first.accepted());
    CHECK(first.in_force == 1);
    auto second = fold(inventory_published{0, workers({worker("w2")})});
    CHECK(code_of(second) == refusal_code::revision_conflict);
    CHECK(second.in_force == 1);
    CHECK(second.refusal->message.find("in force, 1") != std::string::npos);
    CHECK(fold.state.inventory_in_force().find(worker_id("w1")) != nullptr);
    CHECK(fold(inventory_published{1, workers({})}).in_force == 3);

    CHECK(fold(rules_published{0, one_team("a", {})}).in_force == 4);
    auto stale = fold(rules_published{0, one_team("b", {})});
    CHECK(code_of(stale) == refusal_code::revision_conflict);
    CHECK(stale.in_force == 4);
}

TEST_CASE("a repeated id has no effect and gives the first outcome", "[fold]")
{
    folding fold;
    fold(inventory_published{0, workers({worker("w1")})});
    cell_record record{"twice", workers_drained{{worker_id("w1")}, true}};
    CHECK(fold.state.apply(10, record).accepted());
    fold.state.apply(
        11, {"undrain", workers_drained{{worker_id("w1")}, false}});
    auto again = fold.state.apply(12, record);
    CHECK(again.duplicate);
    CHECK_FALSE(again.refusal);
    CHECK(again.offset == 10);
    CHECK(again.in_force == 10);
    CHECK_FALSE(fold.state.is_drained(worker_id("w1")));
    CHECK(fold.state.applied_through() == 12);

    cell_record refused{"bad", workers_drained{{worker_id("w9")}, true}};
    fold.state.apply(13, refused);
    auto repeated = fold.state.apply(14, refused);
    CHECK(repeated.duplicate);
    CHECK(code_of(repeated) == refusal_code::unknown_worker);
    CHECK(fold.state.outcome_of("bad")->offset == 13);
    CHECK_FALSE(fold.state.outcome_of("never").has_value());
}

TEST_CASE("an offset that was already applied has no effect", "[fold]")
{
    folding fold;
    fold(key_granted{caller_key("k1")});
    fold(key_withdrawn{key_id("k1")});
    auto before = fold.state;
    auto late = fold.state.apply(1, {"new", key_granted{caller_key("k2")}});
    CHECK(late.duplicate);
    CHECK(fold.state == before);
}

TEST_CASE("the record id window is bounded and evicts the oldest", "[fold]")
{
    record_id_window window;
    for (std::size_t at = 0; at <= record_id_window::capacity; ++at)
    {
        window.add(std::to_string(at), {});
    }
    CHECK(window.size() == record_id_window::capacity);
    CHECK_FALSE(window.find("0").has_value());
    CHECK(window.find("1").has_value());
    CHECK(record_id_window::decode(window.encode()).value() == window);
    CHECK_FALSE(record_id_window::decode("short").has_value());
}

TEST_CASE("key ids are never reused, even after withdrawal", "[fold]")
{
    folding fold;
    CHECK_FALSE(fold.state.has_operator_key());
    CHECK(fold(key_granted{operator_key("op")}).accepted());
    CHECK(fold(key_granted{caller_key("k1")}).accepted());
    CHECK(fold.state.find_key(key_id("k1")) != nullptr);
    CHECK(
        code_of(fold(key_granted{caller_key("k1")})) ==
        refusal_code::conflicting_id);
    CHECK(fold(key_withdrawn{key_id("k1")}).accepted());
    CHECK(fold.state.find_key(key_id("k1")) == nullptr);
    CHECK(
        code_of(fold(key_granted{caller_key("k1", "other")})) ==
        refusal_code::conflicting_id);
    CHECK(fold(key_withdrawn{key_id("k1")}).accepted());
    CHECK(
        code_of(fold(key_withdrawn{key_id("k7")})) ==
        refusal_code::invalid_value);
    CHECK(
        code_of(fold(key_granted{caller_key("k2", "")})) ==
        refusal_code::invalid_value);
}

TEST_CASE("the last operator key cannot be withdrawn", "[fold]")
{
    folding fold;
    fold(key_granted{operator_key("op1")});
    CHECK(
        code_of(fold(key_withdrawn{key_id("op1")})) ==
        refusal_code::invalid_value);
    fold(key_granted{operator_key("op2")});
    CHECK(fold(key_withdrawn{key_id("op1")}).accepted());
    CHECK(
        code_of(fold(key_withdrawn{key_id("op2")})) ==
        refusal_code::invalid_value);
    CHECK(fold.state.has_operator_key());
}

TEST_CASE("a claim must name the current epoch as its base", "[fold]")
{
    folding fold;
    CHECK(fold(claim("s/0", 0, "e1")).in_force == 1);
    auto late = fold(claim("s/0", 0, "e2"));
    CHECK(code_of(late) == refusal_code::stale_epoch);
    CHECK(late.in_force == 1);
    CHECK(fold.state.claim(shard_0)->owner == instance_id("e1"));
    CHECK(fold(claim("s/0", 1, "e2")).accepted());
    CHECK(fold.state.claim(shard_0)->epoch == 3);
    CHECK(fold.state.claim(shard_id("s/1")) == nullptr);
}

TEST_CASE("only the current epoch can release a shard, once", "[fold]")
{
    folding fold;
    fold(claim("s/0", 0, "e1"));
    fold(claim("s/0", 1, "e2"));
    shard_released by_old{shard_0, 1, instance_id("e1")};
    CHECK(code_of(fold(by_old)) == refusal_code::stale_epoch);
    shard_released by_owner{shard_0, 2, instance_id("e3")};
    CHECK(fold(by_owner).accepted());
    CHECK(fold.state.claim(shard_0)->released);
    CHECK(fold.state.claim(shard_0)->successor == instance_id("e3"));
    CHECK(code_of(fold(by_owner)) == refusal_code::stale_epoch);
    CHECK(
        code_of(fold(allow("s/0", 2, "planning", {}))) ==
        refusal_code::stale_epoch);
    CHECK(fold(claim("s/0", 2, "e3")).accepted());
    CHECK_FALSE(fold.state.claim(shard_0)->released);
}

TEST_CASE("the sum of allowances stays within the upper limit", "[fold]")
{
    folding fold;
    fold(rules_published{0, one_team("planning", {10, 10, 1})});
    auto first = fold(claim("s/0", 0, "e1")).in_force;
    auto second = fold(claim("s/1", 0, "e2")).in_force;
    CHECK(fold(allow("s/0", first, "planning", {6, 6, 1})).accepted());
    CHECK(
        code_of(fold(allow("s/1", second, "planning", {5, 1, 0}))) ==
        refusal_code::limit_exceeded);
    CHECK(
        code_of(fold(allow("s/1", second, "planning", {1, 1, 1}))) ==
        refusal_code::limit_exceeded);
    CHECK(fold(allow("s/1", second, "planning", {4, 4, 0})).accepted());
    CHECK(fold.state.allowance_sum(planning) == resources{10, 10, 1});
    CHECK(
        code_of(fold(allow("s/1", first, "planning", {1, 1, 0}))) ==
        refusal_code::stale_epoch);
    CHECK(
        code_of(fold(allow("s/1", second, "nobody", {1, 1, 0}))) ==
        refusal_code::unknown_team);
    CHECK(
        code_of(fold(allow("s/1", second, "planning", {-1, 0, 0}))) ==
        refusal_code::invalid_value);
}

TEST_CASE("above a lowered limit allowances can only shrink", "[fold]")
{
    folding fold;
    fold(rules_published{0, one_team("planning", {10, 10, 1})});
    auto epoch = fold(claim("s/0", 0, "e1")).in_force;
    fold(allow("s/0", epoch, "planning", {8, 8, 1}));
    CHECK(
        fold(rules_published{1, one_team("planning", {4, 10, 1})}).accepted());
    CHECK(fold.state.allowance_sum(planning) == resources{8, 8, 1});
    CHECK(fold(allow("s/0", epoch, "planning", {6, 8, 1})).accepted());
    CHECK(
        code_of(fold(allow("s/0", epoch, "planning", {7, 8, 1}))) ==
        refusal_code::limit_exceeded);
    // Each resource is checked separately: one may grow as another shrinks.
    CHECK(fold(allow("s/0", epoch, "planning", {5, 9, 1})).accepted());
}

TEST_CASE("a team without a rule can only reduce its allowance", "[fold]")
{
    folding fold;
    fold(rules_published{0, one_team("planning", {10, 10, 1})});
    auto epoch = fold(claim("s/0", 0, "e1")).in_force;
    fold(allow("s/0", epoch, "planning", {8, 8, 1}));
    fold(rules_published{1, one_team("other", {1, 1, 1})});
    CHECK(fold.state.allowance(shard_0, planning) == resources{8, 8, 1});
    CHECK(
        code_of(fold(allow("s/0", epoch, "planning", {9, 8, 1}))) ==
        refusal_code::unknown_team);
    CHECK(fold(allow("s/0", epoch, "planning", {2, 0, 0})).accepted());
    CHECK(fold(allow("s/0", epoch, "planning", {})).accepted());
    CHECK(fold.state.allowance_sum(planning).is_zero());
}

TEST_CASE("an allowance stays with the shard when its owner is lost", "[fold]")
{
    folding fold;
    fold(rules_published{0, one_team("planning", {10, 10, 0})});
    auto lost = fold(claim("s/0", 0, "e1")).in_force;
    fold(allow("s/0", lost, "planning", {10, 10, 0}));
    auto next = fold(claim("s/0", lost, "e2")).in_force;
    CHECK(fold.state.allowance(shard_0, planning) == resources{10, 10, 0});
    auto other = fold(claim("s/1", 0, "e3")).in_force;
    CHECK(
        code_of(fold(allow("s/1", other, "planning", {1, 0, 0}))) ==
        refusal_code::limit_exceeded);
    CHECK(fold(allow("s/0", next, "planning", {})).accepted());
    CHECK(fold(allow("s/1", other, "planning", {1, 0, 0})).accepted());
}

TEST_CASE("allowance requests are summed and end with the owner", "[fold]")
{
    folding fold;
    fold(rules_published{0, one_team("planning", {10, 10, 0})});
    auto first = fold(claim("s/0", 0, "e1")).in_force;
    auto second = fold(claim("s/1", 0, "e2")).in_force;
    allowance_wanted wish{shard_0, first, planning, {3, 3, 0}};
    allowance_wanted other{shard_id("s/1"), second, planning, {4, 4, 0}};
    CHECK(fold(wish).accepted());
    CHECK(fold(other).accepted());
    CHECK(fold.state.wanted_by_others(shard_0, planning) == resources{4, 4, 0});
    CHECK(
        fold.state.allowance_wanted_by(shard_0, planning) ==
        resources{3, 3, 0});
    fold(claim("s/1", second, "e3"));
    CHECK(fold.state.wanted_by_others(shard_0, planning).is_zero());
    CHECK(code_of(fold(other)) == refusal_code::stale_epoch);
}

TEST_CASE("a drain persists while the inventory omits the worker", "[fold]")
{
    folding fold;
    const worker_id w1("w1");
    fold(inventory_published{0, workers({worker("w1"), worker("w2")})});
    CHECK(fold(workers_drained{{w1}, true}).accepted());
    fold(inventory_published{1, workers({worker("w2")})});
    fold(inventory_published{3, workers({worker("w1"), worker("w2")})});
    CHECK(fold.state.is_drained(w1));
    CHECK(fold(workers_drained{{w1}, false}).accepted());
    CHECK_FALSE(fold.state.is_drained(w1));
}

TEST_CASE("a new address or an undrain clears a dead worker", "[fold]")
{
    folding fold;
    const worker_id w1("w1");
    const worker_id w2("w2");
    fold(inventory_published{0, workers({worker("w1"), worker("w2")})});
    auto declared = fold(workers_declared_dead{{w1, w2}});
    CHECK(fold.state.declared_dead_at(w1) == declared.offset);
    fold(inventory_published{1, workers({worker("w2")})});
    CHECK(fold.state.declared_dead_at(w1) == declared.offset);
    auto moved = worker("w1", "127.0.0.1:9001");
    fold(inventory_published{3, workers({moved, worker("w2")})});
    CHECK(fold.state.declared_dead_at(w1) == 0);
    CHECK(fold.state.declared_dead_at(w2) == declared.offset);
    fold(workers_drained{{w2}, false});
    CHECK(fold.state.declared_dead_at(w2) == 0);
}

TEST_CASE("marks of unlisted workers are bounded", "[fold]")
{
    worker_marks marks;
    auto listed = workers({worker("w1")});
    marks.declare_dead({worker_id("w1")}, 1, listed);
    for (std::size_t at = 0; at <= worker_marks::max_unlisted_marks; ++at)
    {
        std::string id = "gone-" + std::to_string(at);
        marks.declare_dead({worker_id(id)}, 2 + at, listed);
    }
    CHECK(marks.dead_at(worker_id("w1")) == 1);
    CHECK(marks.dead_at(worker_id("gone-0")) == 0);
    CHECK(marks.dead_at(worker_id("gone-1")) == 3);
}

TEST_CASE("a snapshot round-trips; truncated ones are rejected", "[fold]")
{
    folding fold;
    fold(inventory_published{0, workers({worker("w1")})});
    fold(rules_published{0, one_team("planning", {10, 10, 1})});
    fold(key_granted{operator_key("op")});
    fold(key_granted{caller_key("k1")});
    fold(key_withdrawn{key_id("k1")});
    fold(workers_drained{{worker_id("w1")}, true});
    fold(workers_declared_dead{{worker_id("w1")}});
    auto epoch = fold(claim("s/0", 0, "e1")).in_force;
    fold(allow("s/0", epoch, "planning", {1, 2, 1}));
    fold(allowance_wanted{shard_0, epoch, planning, {1, 1, 0}});
    fold(shard_released{shard_0, epoch, instance_id("e2")});
    std::string encoded = fold.state.to_snapshot();
    auto read = cell_state::from_snapshot(encoded);
    REQUIRE(read.has_value());
    CHECK(*read == fold.state);
    CHECK(read->outcome_of("r-1").has_value());
    for (std::size_t size = 0; size < encoded.size(); size += 7)
    {
        CHECK_FALSE(cell_state::from_snapshot(encoded.substr(0, size)));
    }
}
