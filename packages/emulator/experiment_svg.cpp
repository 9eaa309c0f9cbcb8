#include "emulator/experiment.h"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace ebonyway {

namespace {

constexpr double Width = 720; // pixels
constexpr double Height = 320;
constexpr double Margin = 50;
constexpr std::array<const char *, 6> Colours{"#1f77b4", "#d62728", "#2ca02c",
                                              "#9467bd", "#ff7f0e", "#17becf"};

/** Share answered within the goal by second, over all days of a row. */
std::map<std::int64_t, outcome_counts> bySecond(const experiment_row &row)
{
    std::map<std::int64_t, outcome_counts> sums;
    for (const emulation_report &day : row.days) {
        for (const auto &[second, counts] : day.bySecond) {
            outcome_counts &sum = sums[second];
            sum.inGoal += counts.inGoal;
            sum.late += counts.late;
            sum.failed += counts.failed;
        }
    }
    return sums;
}

double yOf(double share)
{
    return Height - Margin - share * (Height - 2 * Margin);
}

void drawAxes(std::ostringstream &svg)
{
    svg << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (const double share : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        svg << "<line x1=\"" << Margin << "\" x2=\"" << Width - Margin << "\" y1=\"" << yOf(share)
            << "\" y2=\"" << yOf(share) << "\" stroke=\"#ddd\"/>\n<text x=\"10\" y=\""
            << yOf(share) + 4 << "\">" << share << "</text>\n";
    }
    svg << "<text x=\"" << Margin << "\" y=\"" << Height - 12
        << "\">second of the load; share of requests answered within their goal</text>\n";
}

} // namespace

std::string renderSvg(const experiment_report &report)
{
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    drawAxes(svg);
    std::int64_t last = 1;
    for (const experiment_row &row : report.rows) {
        for (const auto &[second, counts] : bySecond(row)) {
            last = std::max(last, second);
        }
    }
    std::size_t index = 0;
    for (const experiment_row &row : report.rows) {
        const char *colour = Colours[index % Colours.size()];
        svg << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (const auto &[second, counts] : bySecond(row)) {
            const double x = Margin
                             + (Width - 2 * Margin) * static_cast<double>(second)
                                       / static_cast<double>(last);
            svg << x << "," << yOf(counts.inGoalShare()) << " ";
        }
        svg << "\"/>\n<text x=\"" << Margin + 110 * static_cast<double>(index)
            << "\" y=\"24\" fill=\"" << colour << "\">"
            << (row.value.empty() ? "as written" : row.value) << "</text>\n";
        ++index;
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace ebonyway
