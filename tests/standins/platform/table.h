#pragma once

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush::standins {

/** Identifies a row. */
struct RowId
{
    std::string table;
    std::string key;

    auto operator<=>(const RowId &) const = default;
};

/** A row as it is sent in answers; version 0 and null if the row does not exist. */
struct Row
{
    RowId id;
    std::uint64_t version = 0;
    Json::Value value;
};

/** The version that a row must have for a transaction to take effect. */
struct Condition
{
    RowId id;
    std::uint64_t version = 0;
};

/** A row's new value; null deletes it. */
struct Write
{
    RowId id;
    Json::Value value;
};

/** Conditions and writes that take effect together or not at all. */
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/** The transaction took effect; holds the new versions in the order of its writes. */
struct Committed
{
    std::vector<std::uint64_t> versions;
};

/** The transaction had no effect, because the versions of these rows differ from its conditions. */
struct Conflicted
{
    std::vector<Row> rows;
};

using Outcome = std::variant<Committed, Conflicted>;

/**
 * The rows of the platform, in memory. Not thread safe.
 */
class Table
{
public:
    Outcome transact(const Transaction &transaction);

    /** \returns the row at \a id, with version 0 if there is none. */
    Row read(const RowId &id) const;

    /**
     * \returns up to \a limit rows of \a table, sorted by key, whose keys start with \a prefix
     * and are greater than \a after.
     */
    std::vector<Row> scan(std::string_view table, std::string_view prefix, std::string_view after,
                          std::size_t limit) const;

private:
    /** A deleted row stays, without a value, so that the version of its key never decreases. */
    struct StoredRow
    {
        std::uint64_t version = 0;
        std::optional<Json::Value> value;
    };

    std::uint64_t write(const Write &write);
    static Row toRow(const RowId &id, const StoredRow &storedRow);

    std::map<RowId, StoredRow> m_rows;
};

} // namespace bulrush::standins
