#include "cli/config/config_report.hpp"

#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"

#include <algorithm>

namespace acaciastile
{

using json = nlohmann::json;

namespace
{

std::string severity_of(const config_finding& finding)
{
    return is_error(finding.kind) ? "error" : "warning";
}

json finding_json(const config_finding& finding)
{
    return {
        {"severity", severity_of(finding)},
        {"kind", to_string(finding.kind)},
        {"path", finding.path},
        {"line", finding.position.line},
        {"column", finding.position.column},
        {"message", finding.message}};
}

json difference_json(const config_difference& difference)
{
    return {
        {"change", difference.change},
        {"list", difference.list},
        {"name", difference.name},
        {"field", difference.field},
        {"before", difference.before},
        {"after", difference.after}};
}

std::string finding_line(const std::string& file, const config_finding& finding)
{
    std::string line = file;
    if (finding.position.line > 0)
    {
        line += ":" + std::to_string(finding.position.line) + ":" +
                std::to_string(finding.position.column);
    }
    line += ": " + severity_of(finding) + ": ";
    if (!finding.path.empty())
    {
        line += finding.path + ": ";
    }
    return line + finding.message + " [" +
           std::string(to_string(finding.kind)) + "]\n";
}

std::string difference_line(const config_difference& difference)
{
    std::string line = difference.change + " " + difference.list + " '" +
                       difference.name + "'";
    if (!difference.field.empty())
    {
        line += " " + difference.field + ": " +
                to_json_text(difference.before) + " -> " +
                to_json_text(difference.after);
    }
    return line + "\n";
}

std::size_t count_errors(const config_check& check)
{
    return static_cast<std::size_t>(std::count_if(
        check.findings().begin(),
        check.findings().end(),
        [](const config_finding& each) { return is_error(each.kind); }));
}

} // namespace

void compare(config_report& report, const config_check& other)
{
    config_check& own = report.check;
    const inventory* own_workers = own.as_inventory();
    const inventory* other_workers = other.as_inventory();
    const rules* own_rules = own.as_rules();
    const rules* other_rules = other.as_rules();
    if (own_rules != nullptr && other_workers != nullptr)
    {
        own.check_together(*own_rules, *other_workers);
    }
    else if (own_workers != nullptr && other_rules != nullptr)
    {
        own.check_together(*other_rules, *own_workers);
    }
    else if (own_workers != nullptr && other_workers != nullptr)
    {
        report.differences =
            compare_configs(to_json(*other_workers), to_json(*own_workers));
        report.compared = true;
    }
    else if (own_rules != nullptr && other_rules != nullptr)
    {
        report.differences =
            compare_configs(to_json(*other_rules), to_json(*own_rules));
        report.compared = true;
    }
}

json to_json(const config_report& report)
{
    json findings = json::array();
    for (const config_finding& each : report.check.findings())
    {
        findings.push_back(finding_json(each));
    }
    json written{
        {"file", report.file},
        {"document", report.check.kind_name()},
        {"findings", std::move(findings)}};
    if (!report.against.empty())
    {
        written["against"] = report.against;
    }
    if (report.revision > 0)
    {
        written["revision"] = report.revision;
    }
    if (report.compared)
    {
        json differences = json::array();
        for (const config_difference& each : report.differences)
        {
            differences.push_back(difference_json(each));
        }
        written["differences"] = std::move(differences);
    }
    return written;
}

std::string to_text(const config_report& report)
{
    std::string text;
    for (const config_finding& each : report.check.findings())
    {
        text += finding_line(report.file, each);
    }
    for (const config_difference& each : report.differences)
    {
        text += difference_line(each);
    }
    const std::size_t errors = count_errors(report.check);
    text +=
        report.check.kind_name() + ": " + std::to_string(errors) + " errors, " +
        std::to_string(report.check.findings().size() - errors) + " warnings";
    if (report.compared)
    {
        text += ", " + std::to_string(report.differences.size()) +
                " differences from " + report.against;
        if (report.revision > 0)
        {
            text += " (revision " + std::to_string(report.revision) + ")";
        }
    }
    return text + "\n";
}

exit_status status_of(const config_check& check)
{
    if (check.has_errors())
    {
        return exit_status::check_failed;
    }
    return check.findings().empty() ? exit_status::done
                                    : exit_status::check_warned;
}

} // namespace acaciastile
