#include "version/text_table.h"

#include <algorithm>

namespace ebonyway {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

void text_table::addColumn(const std::string &title, alignment side)
{
    m_titles.push_back(title);
    m_sides.push_back(side);
}

void text_table::addRow(std::vector<std::string> cells)
{
    cells.resize(m_titles.size());
    m_rows.push_back(std::move(cells));
}

std::string text_table::toString() const
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < m_titles.size(); ++column) {
        std::size_t width = m_titles[column].size();
        for (const std::vector<std::string> &row : m_rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    std::string text = line(m_titles, widths);
    for (const std::vector<std::string> &row : m_rows) {
        text += line(row, widths);
    }
    return text;
}

std::string text_table::line(const std::vector<std::string> &cells,
                             const std::vector<std::size_t> &widths) const
{
    std::string text;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const std::string padding(widths[column] - cells[column].size(), ' ');
        text += column == 0 ? "" : std::string(ColumnGap, ' ');
        text += m_sides[column] == alignment::Right ? padding + cells[column]
                                                    : cells[column] + padding;
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text + "\n";
}

} // namespace ebonyway
