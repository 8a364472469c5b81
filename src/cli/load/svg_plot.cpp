#include "cli/load/svg_plot.hpp"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace acaciastile
{

namespace
{

constexpr double width = 800;
constexpr double height = 420;
constexpr double margin = 60;
constexpr int ticks = 5;
constexpr double legend_step = 18;

/// The largest values of both axes; never zero.
struct plot_range
{
    double x = 0;
    double y = 0;
};

plot_range range_of(const plot& content)
{
    plot_range found;
    for (const plot_series& each : content.series)
    {
        for (const auto& [x, y] : each.points)
        {
            found.x = std::max(found.x, x);
            found.y = std::max(found.y, y);
        }
    }
    found.x = found.x > 0 ? found.x : 1;
    found.y = found.y > 0 ? found.y : 1;
    return found;
}

double place_x(const plot_range& range, double x)
{
    return margin + x / range.x * (width - 2 * margin);
}

double place_y(const plot_range& range, double y)
{
    return height - margin - y / range.y * (height - 2 * margin);
}

std::string escape(const std::string& text)
{
    std::string out;
    for (const char next : text)
    {
        out += next == '<'   ? std::string("&lt;")
               : next == '&' ? std::string("&amp;")
                             : std::string(1, next);
    }
    return out;
}

std::string draw_text(
    double x, double y, const std::string& text, const char* anchor = "middle")
{
    return absl::StrFormat(
        "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n",
        x,
        y,
        anchor,
        escape(text));
}

std::string draw_axes(const plot& content, const plot_range& range)
{
    constexpr double label_gap = 18;
    std::string out = absl::StrFormat(
        "<path d=\"M%.0f %.0f V%.0f H%.0f\" fill=\"none\" "
        "stroke=\"black\"/>\n",
        margin,
        margin,
        height - margin,
        width - margin);
    for (int tick = 0; tick <= ticks; ++tick)
    {
        const double x = range.x * tick / ticks;
        const double y = range.y * tick / ticks;
        out += draw_text(
            place_x(range, x),
            height - margin + label_gap,
            absl::StrFormat("%.4g", x));
        out += draw_text(
            margin - 6, place_y(range, y), absl::StrFormat("%.4g", y), "end");
    }
    out += draw_text(width / 2, height - label_gap, content.x_label);
    out += draw_text(margin, margin - label_gap, content.y_label);
    out += draw_text(width / 2, label_gap, content.title);
    return out;
}

std::string draw_series(const plot_series& series, const plot_range& range)
{
    std::string points;
    for (const auto& [x, y] : series.points)
    {
        points +=
            absl::StrFormat("%.1f,%.1f ", place_x(range, x), place_y(range, y));
    }
    return absl::StrFormat(
        "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" "
        "stroke-width=\"2\"/>\n",
        points,
        series.colour);
}

std::string draw_legend(const plot& content)
{
    std::string out;
    double y = margin;
    for (const plot_series& each : content.series)
    {
        out += absl::StrFormat(
            "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\" "
            "fill=\"%s\">%s</text>\n",
            width - margin,
            y,
            each.colour,
            escape(each.name));
        y += legend_step;
    }
    return out;
}

} // namespace

std::string draw_svg(const plot& content)
{
    const plot_range range = range_of(content);
    std::string out = absl::StrFormat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
        "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
        width,
        height);
    out += draw_axes(content, range);
    for (const plot_series& each : content.series)
    {
        out += draw_series(each, range);
    }
    return out + draw_legend(content) + "</svg>\n";
}

} // namespace acaciastile
