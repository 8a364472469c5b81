#include "domain/rules.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

using namespace acaciastile;

namespace
{

nlohmann::json read_sample(const std::string& name)
{
    std::ifstream file(
        std::string(ACACIASTILE_SOURCE_DIR) + "/samples/" + name);
    return nlohmann::json::parse(file, nullptr, true, true);
}

std::vector<team_rule> teams_of(const nlohmann::json& sample)
{
    std::vector<team_rule> teams;
    for (const nlohmann::json& entry : sample.at("teams"))
    {
        const nlohmann::json& limit = entry.at("upper_limit");
        team_rule team;
        team.name = team_name(entry.at("name").get<std::string>());
        team.share = entry.at("share").get<std::uint32_t>();
        team.upper_limit = {
            limit.at("milli_processors").get<std::int64_t>(),
            limit.at("memory_mib").get<std::int64_t>(),
            limit.at("accelerators").get<std::int64_t>()};
        teams.push_back(team);
    }
    return teams;
}

std::vector<queue_rule> queues_of(const nlohmann::json& sample)
{
    std::vector<queue_rule> queues;
    for (const nlohmann::json& entry : sample.at("queues"))
    {
        queue_rule queue;
        queue.name = queue_name(entry.at("name").get<std::string>());
        std::string policy = entry.at("policy").get<std::string>();
        bool known = false;
        for (const auto& [value, name] : work_class_names)
        {
            if (name == policy)
            {
                queue.policy = value;
                known = true;
            }
        }
        CHECK(known);
        queue.open_to_all = entry.at("open_to_all").get<bool>();
        for (const nlohmann::json& team : entry.at("teams"))
        {
            queue.teams.emplace_back(team.get<std::string>());
        }
        queue.charged_team =
            team_name(entry.at("charged_team").get<std::string>());
        queues.push_back(queue);
    }
    return queues;
}

} // namespace

TEST_CASE("the sample rules are accepted", "[samples]")
{
    std::string name = GENERATE(
        as<std::string>(),
        "almaty-rules.json",
        "luz-andina-rules.json",
        "cell-rules.json");
    nlohmann::json sample = read_sample(name);
    auto made = rules::create(teams_of(sample), queues_of(sample));
    INFO(name);
    REQUIRE(made.has_value());
    CHECK(made->teams().size() >= 6);
    CHECK(made->queues().size() >= 6);
}
