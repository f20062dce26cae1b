#include "rowsserved.h"

#include "process/logging.h"

#include <utility>

namespace bulrush {

namespace {

/** Of all answers between two log lines; fewer are not worth a line. */
constexpr std::uint64_t loggedBytes = 100'000;

} // namespace

void RowsServed::add(const std::string &table, std::size_t bytes)
{
    for (auto *counts : {&m_counts, &m_unlogged}) {
        Count &count = (*counts)[table];
        ++count.answers;
        count.bytes += bytes;
    }
}

std::string RowsServed::text() const
{
    std::string text;
    for (const auto &[table, count] : m_counts) {
        const std::string labels = "{table=\"" + table + "\"} ";
        text += "bulrush_rows_served_total" + labels + std::to_string(count.answers) + '\n';
        text += "bulrush_rows_served_bytes_total" + labels + std::to_string(count.bytes) + '\n';
    }
    return text;
}

void RowsServed::log()
{
    std::uint64_t bytes = 0;
    std::string tables;
    for (const auto &[table, count] : std::exchange(m_unlogged, {})) {
        bytes += count.bytes;
        tables += (tables.empty() ? "" : ",") + table + '=' + std::to_string(count.answers) + '/'
            + std::to_string(count.bytes);
    }
    if (bytes >= loggedBytes)
        io::logEvent(LogLevel::Info, "rows-served", {{"answers-and-bytes", std::move(tables)}});
}

} // namespace bulrush
