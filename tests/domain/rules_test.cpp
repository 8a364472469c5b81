#include "domain/rules.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

TEST_CASE("rules with a duplicate team are rejected", "[rules]")
{
    team_rule team;
    team.name = team_name("planning");
    auto created = rules::create({team, team}, {});
    REQUIRE_FALSE(created.has_value());
    CHECK(created.error().code == refusal_code::invalid_value);
    CHECK(created.error().effect == verdict::not_run);
}

TEST_CASE("rules with a queue of an unknown team are rejected", "[rules]")
{
    queue_rule queue;
    queue.name = queue_name("orders");
    queue.teams = {team_name("nobody")};
    auto created = rules::create({}, {queue});
    REQUIRE_FALSE(created.has_value());
    CHECK(created.error().code == refusal_code::unknown_team);
}
