#include "observe/metrics.hpp"

#include "observe/distribution.hpp"
#include "observe/metric_kind.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::string_view prefix = "acaciastile_";

/// Which series a value belongs to.
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
    auto at = std::find_if(
        metric_kinds.begin(),
        metric_kinds.end(),
        [&](const metric_kind& kind) { return kind.name == metric; });
    if (at == metric_kinds.end() || at->label.empty())
    {
        return "label";
    }
    return at->label;
}

std::string escape(std::string_view value)
{
    std::string out;
    for (const char next : value)
    {
        if (next == '\\' || next == '"')
        {
            out += '\\';
        }
        out += next == '\n' ? ' ' : next;
    }
    return out;
}

/// Labels in braces, or nothing where there is none.
std::string write_labels(const series_key& key, std::string_view quantile = {})
{
    std::string inside;
    if (!key.label.empty())
    {
        inside += label_name(key.name);
        inside += "=\"" + escape(key.label) + "\"";
    }
    if (!quantile.empty())
    {
        inside += inside.empty() ? "" : ",";
        inside += "quantile=\"";
        inside += quantile;
        inside += '"';
    }
    return inside.empty() ? inside : "{" + inside + "}";
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
    absl::StrAppend(&out, " ", value, "\n");
}

/// Writes the TYPE line once for each metric name.
class type_writer
{
public:
    void
    announce(std::string& out, const std::string& name, std::string_view type)
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

struct metrics::store
{
    mutable std::mutex guard;
    std::map<series_key, counter> counters;
    std::map<series_key, distribution> distributions;
    std::map<series_key, double> gauges;
};

std::unique_ptr<metrics> metrics::create()
{
    return std::unique_ptr<metrics>(new metrics(std::make_unique<store>()));
}

metrics::metrics(std::unique_ptr<store> content) : store_(std::move(content)) {}

metrics::~metrics() = default;

void metrics::count(
    std::string_view name, std::string_view label, double amount)
{
    const std::lock_guard lock(store_->guard);
    store_->counters[{std::string(name), std::string(label)}](amount);
}

void metrics::sample(
    std::string_view name, std::string_view label, double value)
{
    const std::lock_guard lock(store_->guard);
    store_->distributions[{std::string(name), std::string(label)}].add(value);
}

void metrics::gauge(std::string_view name, std::string_view label, double value)
{
    const std::lock_guard lock(store_->guard);
    store_->gauges[{std::string(name), std::string(label)}] = value;
}

std::string metrics::expose() const
{
    const std::lock_guard lock(store_->guard);
    std::string out;
    type_writer types;
    for (const auto& [key, value] : store_->counters)
    {
        types.announce(out, key.name, "counter");
        const double sum = boost::accumulators::sum(value);
        write_line(out, key, "_total", write_labels(key), sum);
    }
    for (const auto& [key, value] : store_->distributions)
    {
        types.announce(out, key.name, "summary");
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
    for (const auto& [key, value] : store_->gauges)
    {
        types.announce(out, key.name, "gauge");
        write_line(out, key, "", write_labels(key), value);
    }
    return out;
}

double metrics::total(std::string_view name) const
{
    const std::lock_guard lock(store_->guard);
    double sum = 0;
    for (const auto& [key, value] : store_->counters)
    {
        sum += key.name == name ? boost::accumulators::sum(value) : 0.0;
    }
    return sum;
}

} // namespace acaciastile
