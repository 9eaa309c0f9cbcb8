#include "core/duration_text.h"
#include "process/burn_report.h"
#include "version/number_text.h"

#include <algorithm>

namespace ebonyway {

namespace {

/** Sizes in SVG user units. */
constexpr int Width = 900;
constexpr int Margin = 24;
constexpr int HeaderHeight = 96;
constexpr int RowHeight = 112;
constexpr int BarLeft = 250;
constexpr int BarWidth = 400; ///< 100 % of the budget; an overspent budget is cut off here.
constexpr int BarHeight = 22;
constexpr int RateColumn = 84;

/** Colours that stay apart for readers with red-green colour blindness; words repeat their meaning.
 */
const char *colourOf(burn_state state)
{
    constexpr std::array<const char *, 4> Colours{"#0072b2", "#e69f00", "#d55e00", "#a00000"};
    return Colours[static_cast<std::size_t>(state)];
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += letter;
        }
    }
    return safe;
}

std::string textAt(int x, int y, const std::string &style, const std::string &content)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" " + style + ">"
           + escaped(content) + "</text>\n";
}

std::string rectangle(int x, int y, int width, int height, const std::string &style)
{
    return "<rect x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" width=\""
           + std::to_string(width) + "\" height=\"" + std::to_string(height) + "\" " + style
           + "/>\n";
}

std::string budgetBar(const service_burn &burn, int top)
{
    const double share = burn.windows.back().budgetShare;
    const int length = static_cast<int>(std::min(share * BarWidth, static_cast<double>(BarWidth)));
    const std::string colour = colourOf(burn.state);
    std::string svg = rectangle(BarLeft, top, BarWidth, BarHeight, "fill=\"#e8e8e8\"");
    svg += rectangle(BarLeft, top, length, BarHeight, "fill=\"" + colour + "\"");
    svg += rectangle(BarLeft + BarWidth, top - 4, 2, BarHeight + 8, "fill=\"#222222\"");
    svg += textAt(BarLeft + BarWidth + 10, top + 16, "font-size=\"14\"",
                  decimalText(share * 100.0, 1) + "% of the budget used");
    return svg;
}

std::string rateCells(const service_burn &burn, int baseline)
{
    std::string svg;
    int x = BarLeft;
    for (const burn_window &window : burn.windows) {
        const bool quiet = window.good + window.bad == 0;
        const std::string rate = quiet ? "-" : decimalText(window.burnRate, 1);
        const bool fast = window.burnRate >= 1.0;
        svg += textAt(x, baseline,
                      fast ? "font-size=\"13\" font-weight=\"bold\"" : "font-size=\"13\"",
                      durationText(window.length) + ": " + rate);
        x += RateColumn;
    }
    return svg;
}

std::string causeLine(const service_burn &burn)
{
    if (burn.causes.empty()) {
        return "no bad flows";
    }
    const burn_cause &largest = burn.causes.front();
    return "largest cause: " + decimalText(largest.share * 100.0, 0) + "% " + largest.text;
}

std::string serviceRow(const service_burn &burn, int top)
{
    const std::string colour = colourOf(burn.state);
    const std::string stateStyle = "font-size=\"14\" font-weight=\"bold\" fill=\"" + colour + "\"";
    const std::string objective = "objective " + percentText(burn.goodFlowRatio) + " good flows in "
                                  + durationText(burn.period);
    std::string svg = textAt(Margin, top + 16, "font-size=\"18\" font-weight=\"bold\"", burn.name);
    svg += textAt(Margin, top + 38, stateStyle, burnStateText(burn.state));
    svg += textAt(Margin, top + 58, "font-size=\"12\"", objective);
    svg += budgetBar(burn, top);
    svg += rateCells(burn, top + 44);
    svg += textAt(BarLeft, top + 66, "font-size=\"13\"", causeLine(burn));
    return svg;
}

std::string header()
{
    std::string svg =
            textAt(Margin, 34, "font-size=\"22\" font-weight=\"bold\"", "Error budget burn");
    svg += textAt(
            Margin, 58, "font-size=\"13\"",
            "Bar: share of the budget of bad flows that the last 30 days have used; the black "
            "line is the whole budget.");
    svg += textAt(
            Margin, 76, "font-size=\"13\"",
            "Numbers: burn rate in each window. 1.0 uses up the budget exactly at the end of its "
            "period; bold is faster.");
    return svg;
}

} // namespace

std::string burnSvg(const std::vector<service_burn> &report)
{
    const int height = HeaderHeight + RowHeight * static_cast<int>(report.size()) + Margin;
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(Width)
                      + "\" height=\"" + std::to_string(height)
                      + "\" font-family=\"sans-serif\" fill=\"#222222\">\n";
    svg += rectangle(0, 0, Width, height, "fill=\"#ffffff\"");
    svg += header();
    int top = HeaderHeight + 8;
    for (const service_burn &burn : report) {
        svg += serviceRow(burn, top);
        top += RowHeight;
    }
    return svg + "</svg>\n";
}

} // namespace ebonyway
