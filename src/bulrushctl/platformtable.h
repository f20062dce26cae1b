#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace bulrush::ctl {

/** Identifies a row in one of the platform's tables. */
struct RowId
{
    std::string table;
    std::string key;

    bool operator==(const RowId &) const = default;
};

/** A row as read; version 0 if it does not exist. */
struct TableRow
{
    RowId id;
    std::uint64_t version = 0;
    Json::Value value;
};

/** Requires that a row still has this version. */
struct RowCondition
{
    RowId id;
    std::uint64_t version = 0;
};

/** The new value of a row. */
struct RowWrite
{
    RowId id;
    Json::Value value;
};

/** Writes that take effect atomically, and only if all conditions hold. */
struct Transaction
{
    std::string requestId;
    std::string writer;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/** The outcome of a transaction from the point of view of the sender. */
enum class CommitOutcome {
    Committed,
    Conflict, ///< a condition did not hold; no write took effect
    Refused,  ///< the platform rejects it as malformed; no write took effect
    NotSent,  ///< nothing was sent to the platform
    Unknown,  ///< no answer: the writes may have taken effect, or may still do so
};

struct CommitResult
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    /** The new versions of the rows, in the order of the writes, if committed. */
    std::vector<std::uint64_t> versions;
    /** The current state of the rows whose conditions did not hold. */
    std::vector<TableRow> conflicts;
    /** Description of the cause, if not committed. */
    std::string cause;
};

/** Rows, or the reason why they could not be read. */
struct RowsResult
{
    std::error_code error;
    std::string cause;
    std::vector<TableRow> rows;
};

/** A host in the platform's list, which may be outdated. */
struct ListedHost
{
    std::string name;
    std::string domain;
    std::string kind;
    std::string state;
    std::string address;
};

/** The platform's list of hosts, or the reason why it could not be read. */
struct HostsResult
{
    std::error_code error;
    std::string cause;
    std::uint64_t ageMs = 0;
    std::vector<ListedHost> hosts;
};

/**
 * The platform's operations that bulrushctl uses; an interface, so that tests can replace it.
 *
 * Calls block until they complete or time out. Not thread safe.
 */
class PlatformTable
{
public:
    virtual ~PlatformTable() = default;

    /** \returns the rows \a ids, in order; a row that does not exist has version 0. */
    virtual RowsResult read(const std::vector<RowId> &ids) = 0;

    /** \returns all rows of \a table whose key starts with \a prefix. */
    virtual RowsResult scan(const std::string &table, const std::string &prefix) = 0;

    /** Sends \a transaction once. */
    virtual CommitResult transact(const Transaction &transaction) = 0;

    virtual HostsResult hosts() = 0;
};

} // namespace bulrush::ctl
