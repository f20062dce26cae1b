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
 * The rows of one table as a daemon knows them, up to a version of the store, and those that were
 * removed lately, so that others can be told what has changed since a version that they know.
 *
 * Not thread safe.
 */
class KnownRows
{
public:
    /** Removed rows that are remembered. */
    static constexpr std::size_t mostRemoved = 1000;

    /** \returns whether any rows were taken in, be it none at all. */
    bool areKnown() const;

    /** \returns the version of the store up to which the rows are known; 0 if they are not. */
    std::uint64_t version() const;

    /** Takes in all rows that there are. \pre they are not older than what is known */
    void takeAll(const platform::RowsOutcome &all, bool isAfterOutage);

    /** Takes in the rows that have changed. */
    void takeChanges(const platform::RowsOutcome &changes);

    /** Puts into \a all, rows that were read, what is known to have changed since they were. */
    void bringUpToDate(platform::RowsOutcome &all) const;

    /** \returns what has changed after \a version, or all rows; without age and chain. */
    RelayedRows since(std::uint64_t version) const;

private:
    void put(const std::vector<platform::StoreRow> &rows);

    std::map<std::string, platform::StoreRow> m_rows;
    /** Rows that were removed after m_removedSince. */
    std::vector<platform::StoreRow> m_removed;
    std::uint64_t m_removedSince = 0;
    std::uint64_t m_version = 0;
    bool m_areKnown = false;
    /** All rows were read after an outage of the store, and not followed over it. */
    bool m_isAfterOutage = false;
};

inline bool KnownRows::areKnown() const
{
    return m_areKnown;
}

inline std::uint64_t KnownRows::version() const
{
    return m_version;
}

} // namespace bulrush
