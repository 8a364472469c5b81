#include "cli/output.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cstdio>

ABSL_FLAG(std::string, output, "text", "how answers are written: text, json");

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr int json_indent = 2;
constexpr std::size_t column_gap = 2;

void put(const std::string& text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
}

std::string write(const json& value)
{
    return value.dump(json_indent, ' ', false, json::error_handler_t::replace);
}

std::string as_text(const json& value)
{
    if (value.is_string())
    {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

const json& value_at(const json& row, const std::string& path)
{
    static const json none;
    const json* at = &row;
    const std::vector<std::string> names = absl::StrSplit(path, '.');
    for (const std::string& name : names)
    {
        if (!at->is_object() || !at->contains(name))
        {
            return none;
        }
        at = &at->at(name);
    }
    return *at;
}

void add_lines(const json& object, const std::string& prefix, std::string& to)
{
    for (const auto& [name, value] : object.items())
    {
        if (value.is_object())
        {
            add_lines(value, prefix + name + ".", to);
        }
        else if (!value.is_string() || !value.get<std::string>().empty())
        {
            to += prefix + name + ": " + as_text(value) + "\n";
        }
    }
}

} // namespace

bool output_is_json()
{
    return absl::GetFlag(FLAGS_output) == "json";
}

void print_object(const json& object)
{
    if (output_is_json())
    {
        put(write(object) + "\n");
        return;
    }
    std::string text;
    add_lines(object, "", text);
    put(text);
}

std::string
format_table(const json& rows, const std::vector<table_column>& columns)
{
    std::vector<std::size_t> widths;
    for (const table_column& column : columns)
    {
        std::size_t width = column.heading.size();
        for (const json& row : rows)
        {
            width = std::max(width, as_text(value_at(row, column.path)).size());
        }
        widths.push_back(width + column_gap);
    }
    std::string text;
    auto add_cell = [&](std::size_t column, std::string cell)
    {
        const bool last = column + 1 == columns.size();
        cell.resize(last ? cell.size() : widths[column], ' ');
        text += cell + (last ? "\n" : "");
    };
    for (std::size_t column = 0; column < columns.size(); ++column)
    {
        add_cell(column, columns[column].heading);
    }
    for (const json& row : rows)
    {
        for (std::size_t column = 0; column < columns.size(); ++column)
        {
            add_cell(column, as_text(value_at(row, columns[column].path)));
        }
    }
    return text;
}

void print_table(const json& rows, const std::vector<table_column>& columns)
{
    put(output_is_json() ? write(rows) + "\n" : format_table(rows, columns));
}

exit_status report(const error& wrong)
{
    if (output_is_json())
    {
        const json whole{
            {"error",
             {{"code", to_string(wrong.code)},
              {"verdict", to_string(wrong.effect)},
              {"message", wrong.message}}}};
        std::fputs((write(whole) + "\n").c_str(), stderr);
        return status_of(wrong.effect);
    }
    std::string text = std::string(to_string(wrong.code)) + ": ";
    if (wrong.position.line > 0)
    {
        text += "line " + std::to_string(wrong.position.line) + ", column " +
                std::to_string(wrong.position.column) + ": ";
    }
    text += wrong.message + " (" + std::string(to_string(wrong.effect)) + ")\n";
    std::fputs(text.c_str(), stderr);
    return status_of(wrong.effect);
}

exit_status report_usage(const std::string& message)
{
    std::fputs((message + "\n").c_str(), stderr);
    return exit_status::wrong_usage;
}

exit_status print_outcome(const result<json>& outcome)
{
    if (!outcome)
    {
        return report(outcome.error());
    }
    print_object(*outcome);
    return exit_status::done;
}

} // namespace acaciastile
