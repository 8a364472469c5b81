#include "cli/register_import.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <cmath>
#include <map>
#include <optional>

namespace acaciastile
{

namespace
{

constexpr double milli = 1'000;
constexpr double mebibytes_in_gibibyte = 1'024;
constexpr double most_amount = 1e9;
constexpr const char* needed_columns[] = {
    "id", "data_centre", "rack", "address", "processors", "memory_gib"};

using row = std::vector<std::string>;

row split_line(absl::string_view line)
{
    row fields;
    for (const absl::string_view field : absl::StrSplit(line, ','))
    {
        fields.emplace_back(absl::StripAsciiWhitespace(field));
    }
    return fields;
}

/// Reads the fields of one line by their columns' names.
class row_reader
{
public:
    row_reader(
        const std::map<std::string, std::size_t>& columns,
        const row& fields,
        source_position position)
        : columns_(columns), fields_(fields), position_(std::move(position))
    {
    }

    [[nodiscard]] std::string text(const std::string& column)
    {
        auto at = columns_.find(column);
        if (at == columns_.end() || at->second >= fields_.size())
        {
            return {};
        }
        position_.column = static_cast<std::uint32_t>(at->second + 1);
        return fields_[at->second];
    }

    /// In units of `unit`, rounded. Remembers the first error.
    [[nodiscard]] std::int64_t amount(const std::string& column, double unit)
    {
        const std::string written = text(column);
        double value = 0;
        if (written.empty() && column == "accelerators")
        {
            return 0;
        }
        if (!absl::SimpleAtod(written, &value) || !(value >= 0) ||
            value > most_amount)
        {
            fail(
                "field " + column + ": found '" + written +
                "', allowed is a number from 0 to 1e9");
            return 0;
        }
        return std::llround(value * unit);
    }

    void fail(const std::string& message)
    {
        if (!failed_)
        {
            failed_ = error{
                refusal_code::invalid_value,
                verdict::not_run,
                message,
                position_};
        }
    }

    [[nodiscard]] const std::optional<error>& failed() const { return failed_; }

private:
    const std::map<std::string, std::size_t>& columns_;
    const row& fields_;
    source_position position_;
    std::optional<error> failed_;
};

result<std::map<std::string, std::size_t>>
read_head(const row& names, const source_position& position)
{
    std::map<std::string, std::size_t> columns;
    for (std::size_t at = 0; at < names.size(); ++at)
    {
        columns.emplace(names[at], at);
    }
    for (const char* needed : needed_columns)
    {
        if (columns.count(needed) == 0)
        {
            return tl::unexpected(error{
                refusal_code::invalid_value,
                verdict::not_run,
                std::string("the first line names no column '") + needed + "'",
                position});
        }
    }
    return columns;
}

result<worker_entry> read_worker(row_reader fields)
{
    worker_entry made;
    made.id = worker_id(fields.text("id"));
    made.data_centre = data_centre_name(fields.text("data_centre"));
    made.rack = rack_name(fields.text("rack"));
    made.address = fields.text("address");
    made.capacity.milli_processors = fields.amount("processors", milli);
    made.capacity.memory_mib =
        fields.amount("memory_gib", mebibytes_in_gibibyte);
    made.capacity.accelerators = fields.amount("accelerators", 1);
    if (fields.failed())
    {
        return tl::unexpected(*fields.failed());
    }
    return made;
}

} // namespace

result<inventory>
import_register(const std::string& text, const std::string& file)
{
    const std::vector<std::string> lines = absl::StrSplit(text, '\n');
    source_position position{file, 1, 1};
    auto columns = read_head(split_line(lines.front()), position);
    if (!columns)
    {
        return tl::unexpected(columns.error());
    }
    std::vector<worker_entry> workers;
    for (std::size_t at = 1; at < lines.size(); ++at)
    {
        if (absl::StripAsciiWhitespace(lines[at]).empty())
        {
            continue;
        }
        position.line = static_cast<std::uint32_t>(at + 1);
        const row fields = split_line(lines[at]);
        auto worker = read_worker(row_reader(*columns, fields, position));
        if (!worker)
        {
            return tl::unexpected(worker.error());
        }
        workers.push_back(*std::move(worker));
    }
    return inventory::create(std::move(workers));
}

} // namespace acaciastile
