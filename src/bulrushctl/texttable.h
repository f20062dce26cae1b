#pragma once

#include <string>
#include <vector>

namespace bulrush::ctl {

/**
 * Formats rows of cells as text, with each column as wide as its widest cell.
 */
class TextTable
{
public:
    using Cells = std::vector<std::string>;

    explicit TextTable(Cells header);

    /** Adds a row. \pre \a cells has as many cells as the header. */
    void addRow(Cells cells);

    bool isEmpty() const;

    /** \returns the header and all rows, one line each, without trailing blanks. */
    std::string text() const;

private:
    std::vector<Cells> m_rows;
};

inline bool TextTable::isEmpty() const
{
    return m_rows.size() <= 1;
}

} // namespace bulrush::ctl
