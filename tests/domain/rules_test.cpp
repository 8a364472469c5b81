#include "domain/rules.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

TEST_CASE("rules refuse a team listed twice", "[rules]")
{
    team_rule team;
    team.name = team_name("planning");
    auto made = rules::create({team, team}, {});
    REQUIRE_FALSE(made.has_value());
    CHECK(made.error().code == refusal_code::invalid_value);
    CHECK(made.error().effect == verdict::not_run);
}

TEST_CASE("rules refuse a queue that names an unknown team", "[rules]")
{
    queue_rule queue;
    queue.name = queue_name("orders");
    queue.teams = {team_name("nobody")};
    auto made = rules::create({}, {queue});
    REQUIRE_FALSE(made.has_value());
    CHECK(made.error().code == refusal_code::unknown_team);
}
