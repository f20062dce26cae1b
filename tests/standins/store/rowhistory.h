#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/** A row with its version, or the tombstone of a removed row. */
struct VersionedRow
{
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

/** The version that a row must have for a transaction to be applied; 0: the row must not exist. */
struct RowCondition
{
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

/**
 * The rows of all tables, with one version counter, and the log of changes since the history was
 * last dropped.
 */
class RowHistory
{
public:
    /** \returns the current rows whose version differs from \a conditions; empty if all hold. */
    std::vector<VersionedRow> conflictingRows(const std::vector<RowCondition> &conditions) const;

    /** Writes and removes \a rows in one transaction. \returns the version of the transaction. */
    std::uint64_t apply(const std::vector<VersionedRow> &rows);

    /** \returns the rows of \a table whose key is \a from or greater, sorted by key. */
    std::vector<VersionedRow> rows(std::string_view table, std::string_view from) const;

    /**
     * \returns the changes of \a table after \a version, or nothing if their log was dropped or
     * there is no such version yet.
     */
    std::optional<std::vector<VersionedRow>> changes(std::string_view table,
                                                     std::uint64_t version) const;

    /** Discards the log of changes; the rows stay. */
    void dropHistory();

    std::uint64_t version() const;

private:
    std::map<std::pair<std::string, std::string>, VersionedRow> m_rows;
    std::vector<VersionedRow> m_changes;
    std::uint64_t m_version = 0;
    /** The log lacks the changes up to this version. */
    std::uint64_t m_historyStartVersion = 0;
};

} // namespace bulrush::standins
