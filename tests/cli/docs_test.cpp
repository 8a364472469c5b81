#include "cli/command_table.hpp"
#include "domain/event_number.hpp"
#include "domain/refusal_code.hpp"
#include "entry/error_reply.hpp"
#include "observe/metric_kind.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

using namespace acaciastile;
using Catch::Matchers::Contains;

namespace
{

const std::filesystem::path root = ACACIASTILE_SOURCE_DIR;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    INFO(path);
    REQUIRE(in);
    return text.str();
}

std::string level_name(event_level level)
{
    return level == event_level::info   ? "info"
           : level == event_level::warn ? "warn"
                                        : "fault";
}

/// The first two cells of each row of the tables of a page.
std::map<std::string, std::string>
read_rows(const std::string& page, const std::string& first_cell)
{
    const std::regex row("\\| " + first_cell + " \\| ([^|]*) \\|");
    std::map<std::string, std::string> rows;
    for (std::sregex_iterator at(page.begin(), page.end(), row), end; at != end;
         ++at)
    {
        INFO((*at)[1].str());
        CHECK(rows.emplace((*at)[1], (*at)[2]).second);
    }
    return rows;
}

/// Every match of a pattern's first group in the sources of a room, or of all.
std::set<std::string>
find_in_sources(const std::string& pattern, const std::string& room = "")
{
    const std::regex wanted(pattern);
    std::set<std::string> found;
    const auto src = root / "src" / room;
    for (const auto& each : std::filesystem::recursive_directory_iterator(src))
    {
        if (!each.is_regular_file())
        {
            continue;
        }
        const std::string text = read_file(each.path());
        for (std::sregex_iterator at(text.begin(), text.end(), wanted), end;
             at != end;
             ++at)
        {
            found.insert((*at)[1]);
        }
    }
    return found;
}

std::string type_name(metric_type type)
{
    return type == metric_type::counter        ? "counter"
           : type == metric_type::distribution ? "summary"
                                               : "gauge";
}

} // namespace

TEST_CASE("docs/EVENTS.md lists every event and no other", "[docs]")
{
    const auto rows = read_rows(read_file(root / "docs/EVENTS.md"), "(\\d+)");
    CHECK(rows.size() == event_kinds.size());
    const std::string page = read_file(root / "docs/EVENTS.md");
    for (const event_kind& kind : event_kinds)
    {
        const std::string start =
            "| " + std::to_string(static_cast<int>(kind.number)) + " | " +
            std::string(kind.name) + " | " + level_name(kind.level) + " | ";
        CHECK_THAT(page, Contains(start));
    }
}

TEST_CASE("docs/API.md lists every refusal with its status", "[docs]")
{
    const std::string page = read_file(root / "docs/API.md");
    const auto rows = read_rows(page, "`([a-z_]+)`");
    std::size_t codes = 0;
    for (const auto& [name, second] : rows)
    {
        codes += std::regex_match(second, std::regex("\\d+")) ? 1 : 0;
    }
    CHECK(codes == refusal_code_names.size());
    for (const auto& [code, name] : refusal_code_names)
    {
        INFO(name);
        REQUIRE(rows.count(std::string(name)) == 1);
        CHECK(
            rows.at(std::string(name)) == std::to_string(http_status_of(code)));
    }
}

TEST_CASE("docs/API.md lists every metric and no other", "[docs]")
{
    const std::string page = read_file(root / "docs/API.md");
    const auto rows = read_rows(page, "`acaciastile_([a-z_]+)`");
    CHECK(rows.size() == metric_kinds.size());
    for (const metric_kind& kind : metric_kinds)
    {
        INFO(kind.name);
        REQUIRE(rows.count(std::string(kind.name)) == 1);
        CHECK(rows.at(std::string(kind.name)) == type_name(kind.type));
    }
}

TEST_CASE("the metrics that the code measures are those listed", "[docs]")
{
    std::set<std::string> listed;
    for (const metric_kind& kind : metric_kinds)
    {
        listed.insert(std::string(kind.name));
    }
    const auto measured =
        find_in_sources("[.>](?:count|sample|gauge)\\(\\s*\"([a-z_]+)\"\\s*,");
    CHECK(measured == listed);
}

TEST_CASE("every event of the entry and command line is emitted", "[docs]")
{
    const auto emitted = find_in_sources("\\{\\s*event_number::([a-z_]+),");
    for (const event_kind& kind : event_kinds)
    {
        constexpr int first_of_entry = 4000;
        if (static_cast<int>(kind.number) >= first_of_entry)
        {
            INFO(kind.name);
            CHECK(emitted.count(std::string(kind.name)) == 1);
        }
    }
}

TEST_CASE("docs/API.md has a curl line for every route", "[docs]")
{
    const std::string page = read_file(root / "docs/API.md");
    const auto paths = find_in_sources(
        "\"(?:GET|POST|PUT|DELETE)\",\\s*\"(/[a-z0-9/]*)", "entry");
    CHECK(paths.size() >= 15);
    for (const std::string& path : paths)
    {
        INFO(path);
        const bool internal =
            path.rfind("/v1/peer", 0) == 0 || path.rfind("/v1/notice", 0) == 0;
        CHECK_THAT(page, Contains(internal ? path : "127.0.0.1:7080" + path));
    }
}

TEST_CASE("the page of the command line lists all exit statuses", "[docs]")
{
    const auto rows =
        read_rows(read_file(root / "docs/operators/command-line.md"), "(\\d)");
    CHECK(rows.size() == 7);
}

TEST_CASE("every subcommand has a summary and an example", "[docs]")
{
    for (const command& each : command_table())
    {
        INFO(each.name);
        CHECK_FALSE(each.summary.empty());
        CHECK_THAT(each.example, Contains("acaciastile " + each.name));
        CHECK_THAT(help_text(each), Contains(each.example));
        CHECK(find_command(each.name) == &each);
        const bool listed =
            help_text().find("  " + each.name + " ") != std::string::npos;
        CHECK(listed != each.hidden);
    }
    CHECK(find_command("nothing") == nullptr);
}
