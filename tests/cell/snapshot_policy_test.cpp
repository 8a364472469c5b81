#include "cell/snapshot_policy.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

snapshot_need quiet()
{
    snapshot_need need;
    need.covered = 500;
    need.applied = 500;
    need.at_head = true;
    need.age_known = true;
    return need;
}

} // namespace

TEST_CASE("a snapshot is due after enough records", "[snapshot]")
{
    const snapshot_policy policy;
    snapshot_need need = quiet();
    CHECK_FALSE(due(need, policy));
    need.applied = need.covered + policy.records;
    CHECK(due(need, policy));
    need.at_head = false;
    CHECK_FALSE(due(need, policy));
    CHECK_FALSE(due(snapshot_need{0, 0, true}, policy));
}

TEST_CASE("an idle cell's snapshot is rewritten by age", "[snapshot]")
{
    const snapshot_policy policy;
    snapshot_need need = quiet();
    need.age = policy.age - milliseconds(1);
    CHECK_FALSE(due(need, policy));
    need.age = policy.age;
    CHECK(due(need, policy));
}

TEST_CASE("a snapshot of unknown age is rewritten early", "[snapshot]")
{
    const snapshot_policy policy;
    snapshot_need need = quiet();
    need.age_known = false;
    need.age = policy.unknown_age;
    CHECK(due(need, policy));
}

TEST_CASE("later instances wait longer, but less than twice", "[snapshot]")
{
    const snapshot_policy policy;
    snapshot_need need = quiet();
    need.age = policy.age;
    need.rank = 1;
    CHECK_FALSE(due(need, policy));
    need.age = policy.age * 3 / 2;
    CHECK(due(need, policy));
    need.rank = 1'000;
    CHECK_FALSE(due(need, policy));
    need.age = policy.age * 2;
    CHECK(due(need, policy));
}
