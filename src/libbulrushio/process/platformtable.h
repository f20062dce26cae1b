#pragma once

#include "version/identifier.h"

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace bulrush::io {

/** Identifies a transaction. All attempts to send a transaction have the same id. */
using TransactionId = Identifier<struct TransactionIdTag>;

/** Identifies a row of the platform's table. */
struct RowId
{
    std::string table;
    std::string key;

    auto operator<=>(const RowId &) const = default;
};

/** A row as read. A row that does not exist has version 0 and a null value. */
struct TableRow
{
    RowId id;
    std::uint64_t version = 0;
    Json::Value value;
};

/** The version that a row must have. 0 means that the row must not exist. */
struct RowCondition
{
    RowId id;
    std::uint64_t version = 0;
};

/**
 * A new value for a row: an object, or null to delete the row. An object is sent with a member that
 * identifies the transaction (see isWrittenBy()) and replaces an existing member of that name.
 */
struct RowWrite
{
    RowId id;
    Json::Value value;
};

/**
 * Conditions and writes that take effect atomically.
 */
struct Transaction
{
    TransactionId id;
    Incarnation writer;
    std::vector<RowCondition> conditions;
    /** Contains each row at most once. */
    std::vector<RowWrite> writes;
};

// Outcomes of one attempt to send a transaction.

/** The transaction took effect. */
struct Committed
{
    /** New row versions, in the order of the writes. */
    std::vector<std::uint64_t> versions;
};

/**
 * This attempt had no effect and will have none, because a condition failed. After an attempt with
 * the outcome Unknown, it does not show whether that earlier attempt took effect; settlementFrom()
 * does.
 */
struct Conflict
{
    /** Current content of the rows whose conditions failed. */
    std::vector<TableRow> rows;
};

/** This attempt had no effect and will have none. */
struct Refused
{
    std::error_code error;
};

/** The attempt may have taken effect or may still take effect; settlementFrom() decides. */
struct Unknown
{
    std::error_code error;
};

using TransactOutcome = std::variant<Committed, Conflict, Refused, Unknown>;

// Results of reading the rows of a transaction whose outcome was Unknown.

/** The transaction took effect: at least one row still has the value that it wrote. */
struct SettledCommitted
{
    std::vector<TableRow> rows;
};

/** Another transaction wrote first, so this one had no effect and cannot take effect any more. */
struct SettledSuperseded
{
    std::vector<TableRow> rows;
};

/**
 * The rows were deleted or overwritten repeatedly, so they do not show whether the transaction took
 * effect before. It cannot take effect any more.
 */
struct SettledUndecidable
{
    std::vector<TableRow> rows;
};

/** The rows do not decide the outcome yet. The transaction may still take effect. */
struct StillUnknown
{
    std::error_code error;
};

/**
 * For a transaction that creates rows (condition version 0), "cannot take effect any more" holds
 * only until the rows are deleted. Code that deletes rows that may be created again must ensure
 * that no creation is in flight.
 */
using Settlement =
    std::variant<SettledCommitted, SettledSuperseded, SettledUndecidable, StillUnknown>;

/** \returns \a value with the mark of \a transaction added if it is an object. Thread safe. */
Json::Value withTransactionMark(Json::Value value, const Transaction &transaction);

/** \returns whether \a transaction was the last to write \a row. Thread safe. */
bool isWrittenBy(const TableRow &row, const Transaction &transaction);

/**
 * \returns the effect of \a transaction, derived from \a rows, which were read after it was sent.
 * Only rows that it writes under a condition are considered. Thread safe.
 */
Settlement settlementFrom(const Transaction &transaction, std::vector<TableRow> rows);

} // namespace bulrush::io
