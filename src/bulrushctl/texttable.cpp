#include "texttable.h"

#include <algorithm>

namespace bulrush::ctl {

namespace {

constexpr std::size_t columnGap = 2;

/** Counts code points, not bytes: continuation bytes of UTF-8 have no width. */
std::size_t widthOf(const std::string &text)
{
    return std::ranges::count_if(
        text, [](char c) { return (static_cast<unsigned char>(c) & 0xc0u) != 0x80u; });
}

} // namespace

TextTable::TextTable(Cells header)
    : m_rows{std::move(header)}
{ }

void TextTable::addRow(Cells cells)
{
    m_rows.push_back(std::move(cells));
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const Cells &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], widthOf(row[i]));
    }

    std::string text;
    for (const Cells &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - widthOf(row[i]) + columnGap, ' ');
        line.resize(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace bulrush::ctl
