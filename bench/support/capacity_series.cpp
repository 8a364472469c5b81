#include "support/capacity_series.hpp"

#include <absl/strings/str_format.h>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>

namespace acaciastile::bench
{

namespace
{

capacity_point mean_of(const std::vector<capacity_point>& points)
{
    capacity_point mean;
    for (const capacity_point& one : points)
    {
        mean.size += one.size;
        mean.value += one.value;
    }
    const auto count = static_cast<double>(points.size());
    return {mean.size / count, mean.value / count};
}

} // namespace

fitted_line fit(const std::vector<capacity_point>& points)
{
    fitted_line line;
    if (points.empty())
    {
        return line;
    }
    const capacity_point mean = mean_of(points);
    double both = 0;
    double sizes = 0;
    double values = 0;
    for (const capacity_point& one : points)
    {
        const double size = one.size - mean.size;
        const double value = one.value - mean.value;
        both += size * value;
        sizes += size * size;
        values += value * value;
    }
    line.slope = sizes > 0 ? both / sizes : 0;
    line.intercept = mean.value - line.slope * mean.size;
    line.r_squared = values > 0 ? line.slope * both / values : 1;
    return line;
}

double capacity_series::at_letter_size() const
{
    return fit(points).at(letter_size);
}

void print_heading()
{
    std::cout << absl::StrFormat(
        "%-12s %-34s %-9s %-18s %12s %12s %6s %10s %13s  %s\n",
        "role",
        "cost",
        "unit",
        "against",
        "slope",
        "intercept",
        "r2",
        "at size",
        "worked out",
        "points");
}

void print(const capacity_series& series)
{
    const fitted_line line = fit(series.points);
    std::cout << absl::StrFormat(
        "%-12s %-34s %-9s %-18s %12.6g %12.6g %6.3f %10.0f %13.6g ",
        series.role,
        series.cost,
        series.unit,
        series.per,
        line.slope,
        line.intercept,
        line.r_squared,
        series.letter_size,
        series.at_letter_size());
    for (const capacity_point& one : series.points)
    {
        std::cout << absl::StrFormat(" %g:%.5g", one.size, one.value);
    }
    std::cout << std::endl;
}

nlohmann::json to_json(const capacity_series& series)
{
    const fitted_line line = fit(series.points);
    nlohmann::json points = nlohmann::json::array();
    for (const capacity_point& one : series.points)
    {
        points.push_back({{"size", one.size}, {"value", one.value}});
    }
    return {
        {"role", series.role},
        {"cost", series.cost},
        {"unit", series.unit},
        {"against", series.per},
        {"slope", line.slope},
        {"intercept", line.intercept},
        {"r_squared", line.r_squared},
        {"letter_size", series.letter_size},
        {"at_letter_size", series.at_letter_size()},
        {"points", std::move(points)}};
}

} // namespace acaciastile::bench
