#include "store/rowhistory.h"

#include <algorithm>

namespace bulrush::standins {

std::vector<VersionedRow>
RowHistory::conflictingRows(const std::vector<RowCondition> &conditions) const
{
    std::vector<VersionedRow> conflicts;
    for (const RowCondition &condition : conditions) {
        const auto row = m_rows.find({condition.table, condition.key});
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        if (version == condition.version)
            continue;
        conflicts.push_back(row == m_rows.end()
                                ? VersionedRow{condition.table, condition.key, {}, 0, true}
                                : row->second);
    }
    return conflicts;
}

std::uint64_t RowHistory::apply(const std::vector<VersionedRow> &rows)
{
    ++m_version;
    for (VersionedRow row : rows) {
        row.version = m_version;
        const std::pair id{row.table, row.key};
        if (row.isRemoved)
            m_rows.erase(id);
        else
            m_rows[id] = row;
        m_changes.push_back(std::move(row));
    }
    return m_version;
}

std::vector<VersionedRow> RowHistory::rows(std::string_view table, std::string_view from) const
{
    std::vector<VersionedRow> result;
    for (auto row = m_rows.lower_bound({std::string{table}, std::string{from}});
         row != m_rows.end() && row->first.first == table; ++row)
        result.push_back(row->second);
    return result;
}

std::optional<std::vector<VersionedRow>> RowHistory::changes(std::string_view table,
                                                             std::uint64_t version) const
{
    if (version < m_historyStartVersion || version > m_version)
        return std::nullopt;
    std::vector<VersionedRow> result;
    for (const VersionedRow &row : m_changes) {
        if (row.version > version && row.table == table)
            result.push_back(row);
    }
    return result;
}

void RowHistory::dropHistory()
{
    m_changes.clear();
    m_historyStartVersion = m_version;
}

std::uint64_t RowHistory::version() const
{
    return m_version;
}

} // namespace bulrush::standins
