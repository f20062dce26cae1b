#pragma once

#include "connection/httpclient.h"
#include "process/platformtable.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** Result of reading rows. \a rows is valid only if \a error is clear. */
struct RowsResult
{
    std::error_code error;
    std::vector<TableRow> rows;
};

/** \returns the body of `POST /table/transact`, with marked writes. Thread safe. */
std::string encodeTransaction(const Transaction &transaction);

/** \returns the body of `POST /table/read`. Thread safe. */
std::string encodeRead(std::span<const RowId> ids);

/** \returns the body of `POST /table/scan`. Thread safe. */
std::string encodeScan(std::string_view table, std::string_view prefix, std::string_view after,
                       std::size_t limit);

/**
 * \returns the outcome of an attempt to send \a transaction, derived from the HTTP \a result. The
 * outcome is Unknown if the effect is not certain. Thread safe.
 */
TransactOutcome decodeTransactOutcome(const Transaction &transaction, const HttpResult &result);

/** \returns the rows in the answer to a read of \a ids, in the order of \a ids. Thread safe. */
RowsResult decodeReadResult(std::span<const RowId> ids, const HttpResult &result);

/** \returns the rows in the answer to a scan. Thread safe. */
RowsResult decodeScanResult(const HttpResult &result);

/** \returns the error of an HTTP exchange, or a clear code if its status is 200. Thread safe. */
std::error_code platformErrorOf(const HttpResult &result);

} // namespace bulrush::io
