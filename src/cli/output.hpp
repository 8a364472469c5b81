#pragma once

#include "cli/exit_status.hpp"
#include "domain/error.hpp"
#include "domain/result.hpp"

#include <absl/flags/declare.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::string, output);

namespace acaciastile
{

/// One column of a table for people: a heading and the path of its value in
/// each row, names joined by points.
struct table_column
{
    std::string heading;
    std::string path;
};

[[nodiscard]] bool output_is_json();

/// Writes an object: for people one line a field, else as JSON.
void print_object(const nlohmann::json& object);

/// Writes a list: for people a table of these columns, else as JSON.
void print_table(
    const nlohmann::json& rows, const std::vector<table_column>& columns);

/// The table for people as text.
[[nodiscard]] std::string format_table(
    const nlohmann::json& rows, const std::vector<table_column>& columns);

/// Writes an error to standard error and gives the status for it.
exit_status report(const error& wrong);

/// Tells of a wrong command line.
exit_status report_usage(const std::string& message);

/// Prints what a call answered and gives the status for it.
exit_status print_outcome(const result<nlohmann::json>& outcome);

} // namespace acaciastile
