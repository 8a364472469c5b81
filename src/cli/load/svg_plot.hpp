#pragma once

#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

/// One line of a plot.
struct plot_series
{
    std::string name;
    std::string colour;
    std::vector<std::pair<double, double>> points; ///< Rising in x.
};

struct plot
{
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_series> series;
};

/// Draws the lines with axes from zero and a legend, as an SVG document.
[[nodiscard]] std::string draw_svg(const plot& content);

} // namespace acaciastile
