#include "cli/command_table.hpp"
#include "cli/config/config_report.hpp"
#include "cli/config/live_documents.hpp"
#include "cli/sample_site.hpp"
#include "codec/document_codec.hpp"
#include "entry/listen_socket.hpp"
#include "support/entry_fixture.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

ABSL_DECLARE_FLAG(std::string, against);
ABSL_DECLARE_FLAG(std::string, address);

using namespace acaciastile;
using Catch::Matchers::Contains;
using trompeloeil::_;
using kind = config_finding_kind;

namespace
{

const char* const good_inventory = R"({"workers":[
 {"id":"w1","data_centre":"dc1","rack":"r1","address":"10.0.0.1:7000",
  "capacity":{"milli_processors":32000,"memory_mib":65536}},
 {"id":"w2","data_centre":"dc2","rack":"r2","address":"10.0.0.2:7000",
  "capacity":{"milli_processors":32000,"memory_mib":65536}}
]})";

const char* const good_rules = R"({
"teams":[
 {"name":"orders","share":3,
  "upper_limit":{"milli_processors":64000,"memory_mib":131072}},
 {"name":"archive","share":1,
  "upper_limit":{"milli_processors":64000,"memory_mib":131072}}
],
"queues":[
 {"name":"materials","policy":"urgent","teams":["orders"]},
 {"name":"scans","policy":"batch","teams":["archive"],"queue_bound":10}
]})";

/// The text with the first `from` replaced.
std::string
with(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// The only finding of a text.
config_finding only_finding(const std::string& text)
{
    const config_check check = config_check::of_text(text);
    INFO(text);
    for (const config_finding& each : check.findings())
    {
        UNSCOPED_INFO(each.path << ": " << each.message);
    }
    REQUIRE(check.findings().size() == 1);
    return check.findings().front();
}

/// Checks kind, path and line of the only finding, and what it makes of the
/// exit status.
void check_finding(
    const std::string& text, kind of, const std::string& path, unsigned line)
{
    const config_finding found = only_finding(text);
    INFO(found.message);
    CHECK(to_string(found.kind) == to_string(of));
    CHECK(found.path == path);
    CHECK(found.position.line == line);
    CHECK(found.position.column > 0);
    CHECK_FALSE(found.message.empty());
    CHECK(
        status_of(config_check::of_text(text)) ==
        (is_error(of) ? exit_status::check_failed : exit_status::check_warned));
}

config_report report_of(const std::string& text)
{
    config_report made;
    made.file = "rules.json";
    made.check = config_check::of_text(text);
    return made;
}

/// A file that is removed with it.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
    {
        static int count = 0;
        path_ = std::filesystem::temp_directory_path() /
                ("check-config-" + std::to_string(getpid()) + "-" +
                 std::to_string(++count) + ".json");
        std::ofstream(path_) << text;
    }
    ~temporary_file() { std::filesystem::remove(path_); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

exit_status run(const std::string& file, const std::string& against = "")
{
    absl::SetFlag(&FLAGS_against, against);
    return find_command("check-config")->run({file});
}

} // namespace

TEST_CASE("valid documents and all samples have no findings", "[check-config]")
{
    CHECK(config_check::of_text(good_inventory).findings().empty());
    CHECK(config_check::of_text(good_rules).findings().empty());
    for (const char* name : {"almaty", "lima", "both", "letter"})
    {
        INFO(name);
        const auto site = parse_sample_site(name).value();
        const inventory workers = make_sample_inventory(site, "10.0.0.1:7000");
        const rules limits = make_sample_rules(site);
        config_check check = config_check::of_text(to_json_text(limits));
        check.check_together(limits, workers);
        CHECK(check.findings().empty());
        CHECK(check.kind_name() == "rules");
        CHECK(status_of(check) == exit_status::done);
        const config_check listed =
            config_check::of_text(to_json_text(workers));
        CHECK(listed.findings().empty());
        CHECK(listed.kind_name() == "inventory");
    }
}

TEST_CASE("a text that is not JSON is told with its place", "[check-config]")
{
    check_finding("{\n \"teams\": [,", kind::malformed, "", 2);
    CHECK(only_finding("").kind == kind::malformed);
    CHECK(only_finding(std::string(40, '[')).kind == kind::malformed);
}

TEST_CASE("a repeated field is told with its place", "[check-config]")
{
    const std::string text =
        with(good_rules, "\"share\":3", "\n\"share\":3,\n \"share\":4");
    check_finding(text, kind::repeated_field, "teams[0].share", 5);
}

TEST_CASE("a document of unknown kind is told", "[check-config]")
{
    check_finding("[]", kind::unknown_kind, "", 1);
    check_finding("{}", kind::unknown_kind, "", 1);
    check_finding(R"({"workers":[],"teams":[]})", kind::unknown_kind, "", 1);
}

TEST_CASE("an invalid value is told with path and place", "[check-config]")
{
    check_finding(
        with(good_rules, "\"share\":1", "\"share\":0"),
        kind::invalid_value,
        "teams[1].share",
        5);
    check_finding(
        with(good_inventory, "\"memory_mib\":65536", "\"memory_mib\":\"x\""),
        kind::invalid_value,
        "workers[0].capacity.memory_mib",
        3);
    // Accepted by the codec, refused by the inventory.
    check_finding(
        with(good_inventory, "\"memory_mib\":65536", "\"memory_mib\":0"),
        kind::invalid_value,
        "workers[0]",
        2);
    check_finding(
        with(good_rules, "\"queue_bound\":10", "\"bound\":10"),
        kind::invalid_value,
        "queues[1].bound",
        10);
    // A field that is missing is told at the entry that lacks it.
    check_finding(
        with(good_rules, "\"policy\":\"urgent\",", ""),
        kind::invalid_value,
        "queues[0].policy",
        9);
    check_finding(R"({"teams":[]})", kind::invalid_value, "queues", 1);
}

TEST_CASE("every entry with an error is told", "[check-config]")
{
    std::string text = with(good_rules, "\"share\":3", "\"share\":0");
    text = with(text, "\"share\":1", "\"share\":-1");
    text = with(text, "\"batch\"", "\"night\"");
    text = with(text, "{\n", "{\"colour\":1,\n");
    const config_check check = config_check::of_text(text);
    std::vector<std::string> paths;
    for (const config_finding& each : check.findings())
    {
        CHECK(is_error(each.kind));
        paths.push_back(each.path);
    }
    CHECK_THAT(
        paths,
        Catch::Matchers::VectorContains(std::string("teams[0].share")) &&
            Catch::Matchers::VectorContains(std::string("teams[1].share")) &&
            Catch::Matchers::VectorContains(std::string("queues[1].policy")));
}

TEST_CASE("an entry that is listed twice is told", "[check-config]")
{
    check_finding(
        with(good_inventory, "\"id\":\"w2\"", "\"id\":\"w1\""),
        kind::listed_twice,
        "workers[1]",
        4);
    check_finding(
        with(good_rules, "\"name\":\"scans\"", "\"name\":\"materials\""),
        kind::listed_twice,
        "queues[1]",
        10);
    std::string text =
        with(good_rules, "\"name\":\"archive\"", "\"name\":\"orders\"");
    text = with(text, "[\"archive\"]", "[\"orders\"]");
    check_finding(text, kind::listed_twice, "teams[1]", 5);
}

TEST_CASE("a team that is not listed is told", "[check-config]")
{
    check_finding(
        with(good_rules, "[\"orders\"]", "[\"orders\",\"nobody\"]"),
        kind::unknown_team,
        "queues[0].teams[1]",
        9);
    check_finding(
        with(
            good_rules,
            "\"queue_bound\":10",
            "\"open_to_all\":true,\"charged_team\":\"nobody\""),
        kind::unknown_team,
        "queues[1].charged_team",
        10);
}

TEST_CASE("entries that can never match are told", "[check-config]")
{
    check_finding(
        with(good_rules, "[\"archive\"]", "[\"orders\"]"),
        kind::unused_team,
        "teams[1]",
        5);
    check_finding(
        with(good_rules, "\"queue_bound\":10", "\"charged_team\":\"archive\""),
        kind::unused_charged_team,
        "queues[1].charged_team",
        10);
    check_finding(
        with(good_rules, "[\"orders\"]", "[\"orders\",\"orders\"]"),
        kind::team_repeated,
        "queues[0].teams[1]",
        9);
    check_finding(
        with(good_rules, "\"urgent\"", "\"urgent\",\"preemptible\":true"),
        kind::preemptible_unused,
        "queues[0].preemptible",
        9);
    for (const char* address : {"w1:7000", "10.0.0.1", "10.0.0.1:0", ""})
    {
        check_finding(
            with(good_inventory, "10.0.0.1:7000", address),
            kind::address_unusable,
            "workers[0].address",
            2);
    }
}

TEST_CASE("a team of a queue that is open is used", "[check-config]")
{
    std::string text = with(good_rules, "[\"archive\"]", "[]");
    CHECK(config_check::of_text(text).findings().empty());
    text = with(good_rules, "[\"archive\"]", "[\"orders\"]");
    text = with(
        text,
        "\"queue_bound\":10",
        "\"open_to_all\":true,\"charged_team\":\"archive\"");
    CHECK(config_check::of_text(text).findings().empty());
}

TEST_CASE("limits that contradict each other are told", "[check-config]")
{
    check_finding(
        with(good_rules, "\"memory_mib\":131072", "\"memory_mib\":0"),
        kind::limit_of_nothing,
        "teams[0].upper_limit",
        4);
    check_finding(
        with(
            good_rules, "\"milli_processors\":64000", "\"milli_processors\":0"),
        kind::limit_of_nothing,
        "teams[0].upper_limit",
        4);
    check_finding(
        with(good_rules, "\"queue_bound\":10", "\"queue_bound\":0"),
        kind::queue_of_nothing,
        "queues[1].queue_bound",
        10);
    std::string text = with(good_rules, "\"batch\"", "\"gang\"");
    text = with(text, "\"queue_bound\":10", "\"queue_bound\":1");
    check_finding(text, kind::queue_too_short, "queues[1].queue_bound", 10);
    check_finding(
        with(good_inventory, "\"rack\":\"r2\"", "\"rack\":\"r1\""),
        kind::rack_in_two_centres,
        "workers[1].rack",
        4);
}

TEST_CASE("a share above the limit is told with an inventory", "[check-config]")
{
    // A share of 3 of 4 is 48,000 of the 64,000 thousandths, and 98,304 of the
    // 131,072 MiB.
    const auto limited =
        [](const std::string& processors, const std::string& memory)
    {
        std::string text = with(
            good_rules,
            "\"milli_processors\":64000",
            "\"milli_processors\":" + processors);
        return with(text, "\"memory_mib\":131072", "\"memory_mib\":" + memory);
    };
    const config_check workers = config_check::of_text(good_inventory);
    config_report below = report_of(limited("47999", "98303"));
    compare(below, workers);
    REQUIRE(below.check.findings().size() == 1);
    const config_finding found = below.check.findings().front();
    CHECK(found.kind == kind::share_above_limit);
    CHECK(found.path == "teams[0].upper_limit");
    CHECK(found.position.line == 4);
    CHECK_THAT(found.message, Contains("75.0%"));
    CHECK(status_of(below.check) == exit_status::check_warned);
    CHECK_FALSE(below.compared);

    // One resource of which the team can have its share is enough.
    for (const auto& text : {limited("48000", "1"), limited("1", "98304")})
    {
        config_report enough = report_of(text);
        compare(enough, workers);
        CHECK(enough.check.findings().empty());
    }
    config_report other_way = report_of(good_inventory);
    compare(other_way, config_check::of_text(limited("47999", "98303")));
    REQUIRE(other_way.check.findings().size() == 1);
    CHECK(other_way.check.findings().front().path == "workers");
}

TEST_CASE("differences from another version are told", "[check-config]")
{
    std::string text = with(good_rules, "\"share\":3", "\"share\":5");
    text = with(text, "\"memory_mib\":131072", "\"memory_mib\":9");
    text = with(text, "\"name\":\"scans\"", "\"name\":\"films\"");
    config_report report = report_of(text);
    compare(report, config_check::of_text(good_rules));
    REQUIRE(report.compared);
    REQUIRE(report.differences.size() == 4);
    CHECK(report.differences[0].field == "share");
    CHECK(report.differences[0].before == 3);
    CHECK(report.differences[0].after == 5);
    CHECK(report.differences[1].field == "upper_limit.memory_mib");
    CHECK(report.differences[2].change == "added");
    CHECK(report.differences[2].name == "films");
    CHECK(report.differences[3].change == "removed");
    CHECK(report.differences[3].name == "scans");
    CHECK(status_of(report.check) == exit_status::done);

    config_report same = report_of(good_rules);
    compare(same, config_check::of_text(good_rules));
    CHECK(same.compared);
    CHECK(same.differences.empty());

    config_report moved =
        report_of(with(good_inventory, "\"rack\":\"r2\"", "\"rack\":\"r9\""));
    compare(moved, config_check::of_text(good_inventory));
    REQUIRE(moved.differences.size() == 1);
    CHECK(moved.differences[0].list == "workers");
    CHECK(moved.differences[0].name == "w2");
}

TEST_CASE("the report is written as text and as JSON", "[check-config]")
{
    config_report report = report_of(with(
        with(good_rules, "\"queue_bound\":10", "\"queue_bound\":0"),
        "\"share\":3",
        "\"share\":5"));
    report.against = "LIVE";
    report.revision = 12;
    compare(report, config_check::of_text(good_rules));
    const std::string text = to_text(report);
    CHECK_THAT(
        text,
        Contains("rules.json:10:55: warning: queues[1].queue_bound: queue "
                 "'scans' has a bound of 0"));
    CHECK_THAT(text, Contains("[queue_of_nothing]\n"));
    CHECK_THAT(text, Contains("changed teams 'orders' share: 3 -> 5\n"));
    CHECK_THAT(
        text,
        Contains("rules: 0 errors, 1 warnings, 2 differences from LIVE "
                 "(revision 12)\n"));

    const nlohmann::json written = to_json(report);
    CHECK(written.at("document") == "rules");
    CHECK(written.at("against") == "LIVE");
    CHECK(written.at("revision") == 12);
    CHECK(written.at("differences").size() == 2);
    const nlohmann::json& finding = written.at("findings").at(0);
    CHECK(finding.at("severity") == "warning");
    CHECK(finding.at("kind") == "queue_of_nothing");
    CHECK(finding.at("line") == 10);
    CHECK(finding.at("path") == "queues[1].queue_bound");
}

TEST_CASE("comments and escapes do not move places", "[check-config]")
{
    const std::string text = "\xEF\xBB\xBF// \"teams\": [\n/* { \n */ {\n"
                             "\"te\\u0061ms\": [], // ]\n"
                             "\"queues\": [{\"name\": \"a\\\"]}\\\\\",\n"
                             "  \"policy\": 3}]}";
    check_finding(text, kind::invalid_value, "queues[0].policy", 6);
}

TEST_CASE("no text ends the check without a message", "[check-config]")
{
    for (const std::string& whole :
         {std::string(good_rules), std::string(good_inventory)})
    {
        for (std::size_t length = 0; length < whole.size(); ++length)
        {
            const config_check check =
                config_check::of_text(whole.substr(0, length));
            INFO(length);
            CHECK(check.has_errors());
        }
        for (std::size_t at = 0; at < whole.size(); ++at)
        {
            for (const char put : {'"', '{', ']', ',', '\\', '0', '/', '\xFF'})
            {
                std::string text = whole;
                text[at] = put;
                config_report report = report_of(text);
                compare(report, config_check::of_text(good_inventory));
                INFO(text);
                // Refused by the check wherever `publish` refuses it.
                const bool valid = report.check.is_inventory()
                                       ? parse_inventory(text).has_value()
                                       : parse_rules(text).has_value();
                CHECK(valid != report.check.has_errors());
                CHECK_FALSE(to_text(report).empty());
                CHECK_FALSE(to_json(report)
                                .dump(
                                    -1,
                                    ' ',
                                    false,
                                    nlohmann::json::error_handler_t::replace)
                                .empty());
            }
        }
    }
}

TEST_CASE("the command ends with 0, 1 or 2", "[check-config]")
{
    const temporary_file good(good_rules);
    const temporary_file warned(
        with(good_rules, "\"queue_bound\":10", "\"queue_bound\":0"));
    const temporary_file bad(with(good_rules, "\"batch\"", "\"night\""));
    CHECK(static_cast<int>(run(good.path())) == 0);
    CHECK(static_cast<int>(run(warned.path())) == 1);
    CHECK(static_cast<int>(run(bad.path())) == 2);
    CHECK(static_cast<int>(run(good.path() + ".missing")) == 2);
    CHECK(static_cast<int>(run(good.path(), warned.path())) == 0);
    CHECK(static_cast<int>(run(good.path(), bad.path())) == 2);
    CHECK(static_cast<int>(run(good.path(), good.path() + ".missing")) == 2);
    CHECK(static_cast<int>(find_command("check-config")->run({})) == 2);
}

TEST_CASE("a file that cannot be read is told", "[check-config]")
{
    const config_check check = config_check::unreadable("cannot read 'x'");
    REQUIRE(check.findings().size() == 1);
    CHECK(check.findings().front().kind == kind::unreadable);
    CHECK(status_of(check) == exit_status::check_failed);
    config_check compared = config_check::of_text(good_rules);
    compared.add_not_compared("cannot compare with 'y'");
    CHECK(compared.findings().front().kind == kind::not_compared);
    CHECK(status_of(compared) == exit_status::check_failed);
}

TEST_CASE("LIVE compares with what is in force", "[check-config]")
{
    entry_fixture made;
    documents_in_force live;
    live.inventory_revision = 4;
    live.workers = parse_inventory(good_inventory).value();
    live.rules_revision = 7;
    live.teams_and_queues = parse_rules(good_rules).value();
    client_settings settings;
    settings.address = made.service->external_address();
    settings.key = "k1.secret";
    {
        ALLOW_CALL(made.cell, documents(_, _, _)).LR_SIDE_EFFECT(_3(live));
        const auto found =
            read_live_documents(*api_client::create(settings).value());
        REQUIRE(found.has_value());
        CHECK(found->inventory_revision == 4);
        CHECK(found->rules_revision == 7);
        CHECK(parse_rules(found->rules).value() == live.teams_and_queues);
        CHECK(parse_inventory(found->inventory).value() == live.workers);

        const std::string before = absl::GetFlag(FLAGS_address);
        absl::SetFlag(&FLAGS_address, settings.address);
        const temporary_file good(good_rules);
        CHECK(run(good.path(), "LIVE") == exit_status::done);
        const temporary_file limited(with(
            with(good_rules, "\"memory_mib\":131072", "\"memory_mib\":9"),
            "\"milli_processors\":64000",
            "\"milli_processors\":9"));
        CHECK(run(limited.path(), "LIVE") == exit_status::check_warned);
        absl::SetFlag(&FLAGS_address, before);
    }
    REQUIRE_CALL(made.cell, documents(_, _, _))
        .SIDE_EFFECT(_3(refuse(
            refusal_code::forbidden, verdict::not_run, "an operator's call")));
    const auto refused =
        read_live_documents(*api_client::create(settings).value());
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::forbidden);
}

TEST_CASE("LIVE without an instance to ask ends with 2", "[check-config]")
{
    std::string nobody;
    {
        auto socket = listen_socket::create({"127.0.0.1", 0}).value();
        nobody = "127.0.0.1:" + std::to_string(socket.port());
    }
    const std::string before = absl::GetFlag(FLAGS_address);
    absl::SetFlag(&FLAGS_address, nobody);
    const temporary_file good(good_rules);
    CHECK(run(good.path(), "LIVE") == exit_status::check_failed);
    absl::SetFlag(&FLAGS_address, before);
}

TEST_CASE("docs/operators/publishing.md lists every finding", "[docs]")
{
    std::ifstream in(
        std::filesystem::path(ACACIASTILE_SOURCE_DIR) /
        "docs/operators/publishing.md");
    const std::string page(std::istreambuf_iterator<char>(in), {});
    for (const std::string_view name : config_finding_names)
    {
        CHECK_THAT(page, Contains("| `" + std::string(name) + "` | "));
    }
}
