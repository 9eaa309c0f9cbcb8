#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Plain text table with a header line; every column is as wide as its longest cell. */
class text_table
{
public:
    enum class alignment : std::uint8_t {
        Left,
        Right,
    };

    void addColumn(const std::string &title, alignment side = alignment::Left);
    /** Adds a row; missing cells are empty. */
    void addRow(std::vector<std::string> cells);

    /** Returns the lines, each with a line break and without trailing blanks. */
    std::string toString() const;

private:
    std::string line(const std::vector<std::string> &cells,
                     const std::vector<std::size_t> &widths) const;

    std::vector<std::string> m_titles;
    std::vector<alignment> m_sides;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace ebonyway
