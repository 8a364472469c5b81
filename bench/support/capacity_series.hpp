#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace acaciastile::bench
{

/// One measured point.
struct capacity_point
{
    double size = 0;
    double value = 0;
};

/// A straight line through points by least squares.
struct fitted_line
{
    double slope = 0;
    double intercept = 0;
    /// Part of the variance that the line explains; one where there is none.
    double r_squared = 1;

    [[nodiscard]] double at(double size) const noexcept
    {
        return intercept + slope * size;
    }
};

[[nodiscard]] fitted_line fit(const std::vector<capacity_point>& points);

/// How one cost grows with one size.
struct capacity_series
{
    std::string role;
    std::string cost;
    std::string unit;       ///< Of the cost.
    std::string per;        ///< What the size counts.
    double letter_size = 0; ///< At which the line is read off.
    std::vector<capacity_point> points;

    [[nodiscard]] double at_letter_size() const;
};

/// One line of text; the points follow the line's values.
void print(const capacity_series& series);
void print_heading();
[[nodiscard]] nlohmann::json to_json(const capacity_series& series);

} // namespace acaciastile::bench
