#include "observe/metrics.hpp"

#include "observe/distribution.hpp"
#include "observe/metric_kind.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::string_view prefix = "acaciastile_";

/// Identifies a time series.
struct series_key
{
    std::string name;
    std::string label;

    [[nodiscard]] auto operator<=>(const series_key&) const = default;
};

using counter = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::sum>>;

std::string_view label_name(std::string_view metric) noexcept
{
    auto found = std::find_if(
        metric_kinds.begin(),
        metric_kinds.end(),
        [&](const metric_kind& kind) { return kind.name == metric; });
    if (found == metric_kinds.end() || found->label.empty())
    {
        return "label";
    }
    return found->label;
}

std::string escape(std::string_view value)
{
    std::string out;
    for (const char character : value)
    {
        if (character == '\\' || character == '"')
        {
            out += '\\';
        }
        out += character == '\n' ? ' ' : character;
    }
    return out;
}

/// Formats the labels in braces; empty if there are none.
std::string write_labels(const series_key& key, std::string_view quantile = {})
{
    std::string labels;
    if (!key.label.empty())
    {
        labels += label_name(key.name);
        labels += "=\"" + escape(key.label) + "\"";
    }
    if (!quantile.empty())
    {
        labels += labels.empty() ? "" : ",";
        labels += "quantile=\"";
        labels += quantile;
        labels += '"';
    }
    return labels.empty() ? labels : "{" + labels + "}";
}

void write_line(
    std::string& out,
    const series_key& key,
    std::string_view suffix,
    const std::string& labels,
    double value)
{
    out += prefix;
    out += key.name;
    out += suffix;
    out += labels;
    std::array<char, 32> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    out += ' ';
    out.append(digits.data(), written.ptr);
    out += '\n';
}

/// Writes one TYPE line for each metric name.
class type_line_writer
{
public:
    void
    write_type(std::string& out, const std::string& name, std::string_view type)
    {
        if (name == last_)
        {
            return;
        }
        last_ = name;
        out += "# TYPE ";
        out += prefix;
        out += name;
        out += type == "counter" ? "_total " : " ";
        out += type;
        out += '\n';
    }

private:
    std::string last_;
};

} // namespace

struct metrics::series_store
{
    mutable std::mutex mutex;
    std::map<series_key, counter> counters;
    std::map<series_key, distribution> distributions;
    std::map<series_key, double> gauges;
};

std::unique_ptr<metrics> metrics::create()
{
    return std::unique_ptr<metrics>(
        new metrics(std::make_unique<series_store>()));
}

metrics::metrics(std::unique_ptr<series_store> series)
    : series_(std::move(series))
{
}

metrics::~metrics() = default;

void metrics::count(
    std::string_view name, std::string_view label, double amount)
{
    const std::lock_guard lock(series_->mutex);
    series_->counters[{std::string(name), std::string(label)}](amount);
}

void metrics::sample(
    std::string_view name, std::string_view label, double value)
{
    const std::lock_guard lock(series_->mutex);
    series_->distributions[{std::string(name), std::string(label)}].add(value);
}

void metrics::gauge(std::string_view name, std::string_view label, double value)
{
    const std::lock_guard lock(series_->mutex);
    series_->gauges[{std::string(name), std::string(label)}] = value;
}

std::string metrics::expose() const
{
    const std::lock_guard lock(series_->mutex);
    std::string out;
    type_line_writer type_lines;
    for (const auto& [key, value] : series_->counters)
    {
        type_lines.write_type(out, key.name, "counter");
        const double sum = boost::accumulators::sum(value);
        write_line(out, key, "_total", write_labels(key), sum);
    }
    for (const auto& [key, value] : series_->distributions)
    {
        type_lines.write_type(out, key.name, "summary");
        write_line(out, key, "", write_labels(key, "0.5"), value.p50());
        write_line(out, key, "", write_labels(key, "0.99"), value.p99());
        write_line(out, key, "_sum", write_labels(key), value.sum());
        write_line(
            out,
            key,
            "_count",
            write_labels(key),
            static_cast<double>(value.count()));
    }
    for (const auto& [key, value] : series_->gauges)
    {
        type_lines.write_type(out, key.name, "gauge");
        write_line(out, key, "", write_labels(key), value);
    }
    return out;
}

double metrics::total(std::string_view name) const
{
    const std::lock_guard lock(series_->mutex);
    double sum = 0;
    for (const auto& [key, value] : series_->counters)
    {
        sum += key.name == name ? boost::accumulators::sum(value) : 0.0;
    }
    return sum;
}

} // namespace acaciastile
