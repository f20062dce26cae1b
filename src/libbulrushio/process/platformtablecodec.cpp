#include "process/platformtablecodec.h"

#include "connection/transporterror.h"
#include "process/jsonreader.h"
#include "process/platformerror.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrush::io {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int minServerErrorStatus = 500;

Json::Value encodeRowId(const RowId &id)
{
    Json::Value json{Json::objectValue};
    json["table"] = id.table;
    json["key"] = id.key;
    return json;
}

std::optional<TableRow> decodeRow(const Json::Value &json)
{
    JsonReader reader{json};
    TableRow row;
    row.id = {reader.text("table"), reader.text("key")};
    row.version = reader.number("version");
    if (!reader.isValid() || !json.isMember("value"))
        return std::nullopt;

    row.value = json["value"];
    return row;
}

std::optional<std::vector<TableRow>> decodeRows(const Json::Value &json)
{
    if (!json.isArray())
        return std::nullopt;

    std::vector<TableRow> rows;
    for (const Json::Value &entry : json) {
        auto row = decodeRow(entry);
        if (!row)
            return std::nullopt;
        rows.push_back(*std::move(row));
    }
    return rows;
}

TransactOutcome decodeCommitted(const Transaction &transaction, const Json::Value &body)
{
    JsonReader reader{body};
    const bool isCommitted = reader.flag("committed");
    const Json::Value &versions = reader.list("versions");
    const auto isNumber = [](const Json::Value &version) {
        return version.isUInt64();
    };
    const bool areNumbers = std::all_of(versions.begin(), versions.end(), isNumber);
    if (!isCommitted || !areNumbers || versions.size() != transaction.writes.size())
        return Unknown{PlatformError::BadAnswer};

    Committed committed;
    for (const Json::Value &version : versions)
        committed.versions.push_back(version.asUInt64());
    return committed;
}

TransactOutcome decodeConflict(const Transaction &transaction, const Json::Value &body)
{
    JsonReader reader{body};
    const bool isCommitted = reader.flag("committed");
    auto rows = decodeRows(reader.list("conflicts"));
    if (!reader.isValid() || isCommitted || !rows || rows->empty())
        return Unknown{PlatformError::BadAnswer};

    const auto isWrittenByTransaction = [&transaction](const TableRow &row) {
        return isWrittenBy(row, transaction);
    };
    if (std::ranges::any_of(*rows, isWrittenByTransaction))
        return Unknown{PlatformError::AlreadyApplied};

    return Conflict{*std::move(rows)};
}

std::error_code transportErrorOf(const HttpResult &result)
{
    if (result.stage == TransferStage::NotConnected)
        return PlatformError::NotReached;
    if (result.error == TransportError::TimedOut)
        return PlatformError::TimedOut;
    if (result.stage == TransferStage::Answered)
        return PlatformError::BadAnswer;

    return PlatformError::ConnectionLost;
}

} // namespace

std::string encodeTransaction(const Transaction &transaction)
{
    Json::Value body{Json::objectValue};
    body["requestId"] = transaction.id.value();
    body["writer"] = transaction.writer.value();
    body["conditions"] = Json::Value{Json::arrayValue};
    for (const RowCondition &condition : transaction.conditions) {
        Json::Value entry = encodeRowId(condition.id);
        entry["version"] = jsonOf(condition.version);
        body["conditions"].append(std::move(entry));
    }
    body["writes"] = Json::Value{Json::arrayValue};
    for (const RowWrite &write : transaction.writes) {
        Json::Value entry = encodeRowId(write.id);
        entry["value"] = withTransactionMark(write.value, transaction);
        body["writes"].append(std::move(entry));
    }
    return toCompactJson(body);
}

std::string encodeRead(std::span<const RowId> ids)
{
    Json::Value body{Json::objectValue};
    body["keys"] = Json::Value{Json::arrayValue};
    for (const RowId &id : ids)
        body["keys"].append(encodeRowId(id));
    return toCompactJson(body);
}

std::string encodeScan(std::string_view table, std::string_view prefix, std::string_view after,
                       std::size_t limit)
{
    Json::Value body{Json::objectValue};
    body["table"] = std::string{table};
    body["prefix"] = std::string{prefix};
    body["after"] = std::string{after};
    body["limit"] = Json::Value{Json::UInt64{limit}};
    return toCompactJson(body);
}

TransactOutcome decodeTransactOutcome(const Transaction &transaction, const HttpResult &result)
{
    if (result.error) {
        const std::error_code failure = transportErrorOf(result);
        if (failure == PlatformError::NotReached)
            return Refused{failure};
        return Unknown{failure};
    }
    switch (result.response.status) {
    case statusOk:
        return decodeCommitted(transaction, parseJson(result.response.body));
    case statusConflict:
        return decodeConflict(transaction, parseJson(result.response.body));
    case statusBadRequest:
        return Refused{PlatformError::Rejected};
    default:
        return Unknown{platformErrorOf(result)};
    }
}

RowsResult decodeReadResult(std::span<const RowId> ids, const HttpResult &result)
{
    RowsResult read = decodeScanResult(result);
    if (!read.error && !std::ranges::equal(read.rows, ids, {}, &TableRow::id))
        return {PlatformError::BadAnswer, {}};

    return read;
}

RowsResult decodeScanResult(const HttpResult &result)
{
    if (const std::error_code failure = platformErrorOf(result))
        return {failure, {}};

    const Json::Value body = parseJson(result.response.body);
    auto rows = body.isObject() ? decodeRows(body["rows"]) : std::nullopt;
    if (!rows)
        return {PlatformError::BadAnswer, {}};

    return {{}, *std::move(rows)};
}

std::error_code platformErrorOf(const HttpResult &result)
{
    if (result.error)
        return transportErrorOf(result);

    const int status = result.response.status;
    if (status == statusOk)
        return {};
    if (status == statusBadRequest)
        return PlatformError::Rejected;
    if (status == statusNotFound)
        return PlatformError::NotFound;
    if (status == statusConflict)
        return PlatformError::NotChangeable;
    if (status >= minServerErrorStatus)
        return PlatformError::Unavailable;

    return PlatformError::BadAnswer;
}

} // namespace bulrush::io
