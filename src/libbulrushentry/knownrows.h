#pragma once

#include "platform/storeclient.h"
#include "rowscodec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush {

/**
 * The rows of one table at a version of the store, together with the rows that were removed lately,
 * so that the changes since an earlier version can be computed for other daemons.
 *
 * Not thread safe.
 */
class KnownRows
{
public:
    /** Maximum number of removed rows that are kept. */
    static constexpr std::size_t maxRemoved = 1000;

    /** \returns whether rows were applied, even if the table was empty. */
    bool isLoaded() const;

    /** \returns the store version of the rows; the lowest version if none were applied. */
    const StoreVersion &version() const;

    /** Replaces all rows by \a all, the complete table. \pre \a all is not older than version() */
    void replaceAll(const platform::RowsOutcome &all, bool isAfterOutage);

    void applyChanges(const platform::RowsOutcome &changes);

    /**
     * Updates \a all, a complete table, with the later changes that are stored here. \pre \a all is
     * not of an earlier era than version()
     */
    void mergeLaterChanges(platform::RowsOutcome &all) const;

    /**
     * \returns the changes after \a version, or all rows if removals since then are no longer kept
     * or the store was restored since; without age and chain.
     */
    RelayedRows since(const StoreVersion &version) const;

private:
    void put(const std::vector<platform::StoreRow> &rows);

    std::map<std::string, platform::StoreRow> m_rows;
    /** The rows removed after m_removedSince. */
    std::vector<platform::StoreRow> m_removed;
    /** The version after which all removals are kept; older ones need the complete table. */
    StoreVersion m_removedSince;
    StoreVersion m_version;
    bool m_isLoaded = false;
    /** The complete table was read after an outage of the store, instead of followed through it. */
    bool m_isAfterOutage = false;
};

inline bool KnownRows::isLoaded() const
{
    return m_isLoaded;
}

inline const StoreVersion &KnownRows::version() const
{
    return m_version;
}

} // namespace bulrush
