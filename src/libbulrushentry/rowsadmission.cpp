#include "rowsadmission.h"

#include "process/logging.h"

#include <utility>

namespace bulrush {

namespace {

/** A line is logged if a table served this many bytes since the last one, or declined an answer. */
constexpr std::uint64_t loggedBytes = 100'000;

} // namespace

RowsAdmission::RowsAdmission(const LinkBudget &link)
    : m_link(link)
{ }

bool RowsAdmission::admits(const std::string &table, std::size_t bytes, Instant now)
{
    const bool isAdmitted = m_link.tryReserve(bytes, now);
    for (auto *counts : {&m_counts, &m_unlogged}) {
        Count &count = (*counts)[table];
        if (isAdmitted) {
            ++count.answers;
            count.bytes += bytes;
        } else {
            ++count.declined;
        }
    }
    return isAdmitted;
}

std::string RowsAdmission::text() const
{
    std::string text;
    for (const auto &[table, count] : m_counts) {
        const std::string labels = "{table=\"" + table + "\"} ";
        text += "bulrush_rows_served_total" + labels + std::to_string(count.answers) + '\n';
        text += "bulrush_rows_served_bytes_total" + labels + std::to_string(count.bytes) + '\n';
        text += "bulrush_rows_declined_total" + labels + std::to_string(count.declined) + '\n';
    }
    return text;
}

void RowsAdmission::log()
{
    bool isLogWorthy = false;
    std::string tables;
    for (const auto &[table, count] : std::exchange(m_unlogged, {})) {
        isLogWorthy = isLogWorthy || count.bytes >= loggedBytes || count.declined > 0;
        tables += (tables.empty() ? "" : ",") + table + '=' + std::to_string(count.answers) + '/'
            + std::to_string(count.bytes) + '/' + std::to_string(count.declined);
    }
    if (isLogWorthy)
        io::logEvent(LogLevel::Info, "rows-served",
                     {{"answers-bytes-declined", std::move(tables)}});
}

} // namespace bulrush
