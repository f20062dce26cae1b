#include "knownrows.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void KnownRows::replaceAll(const platform::RowsOutcome &all, bool isAfterOutage)
{
    m_rows.clear();
    m_removed.clear();
    m_removedSince = all.version;
    m_isAfterOutage = isAfterOutage;
    applyChanges(all);
}

void KnownRows::applyChanges(const platform::RowsOutcome &changes)
{
    m_version = std::max(m_version, changes.version);
    m_isLoaded = true;
    put(changes.rows);
    if (m_removed.size() > maxRemoved) {
        m_removed.clear();
        m_removedSince = m_version;
    }
}

void KnownRows::put(const std::vector<platform::StoreRow> &rows)
{
    for (const platform::StoreRow &row : rows) {
        if (row.isRemoved) {
            m_rows.erase(row.key);
            m_removed.push_back(row);
        } else {
            m_rows[row.key] = row;
        }
    }
}

void KnownRows::mergeLaterChanges(platform::RowsOutcome &all) const
{
    if (all.version >= m_version)
        return;
    RelayedRows known = since(all.version);
    all.version = known.version;
    if (known.isComplete) {
        all.rows = std::move(known.rows);
        return;
    }
    for (platform::StoreRow &later : known.rows) {
        std::erase_if(all.rows,
                      [&later](const platform::StoreRow &row) { return row.key == later.key; });
        if (!later.isRemoved)
            all.rows.push_back(std::move(later));
    }
}

RelayedRows KnownRows::since(const StoreVersion &version) const
{
    RelayedRows result;
    result.version = m_version;
    result.isComplete = version < m_removedSince;
    result.isAfterOutage = result.isComplete && m_isAfterOutage;
    for (const platform::StoreRow &row : m_removed) {
        if (!result.isComplete && row.version > version)
            result.rows.push_back(row);
    }
    for (const auto &[key, row] : m_rows) {
        if (result.isComplete || row.version > version)
            result.rows.push_back(row);
    }
    return result;
}

} // namespace bulrush
