#include "process/platformclient.h"

#include "process/platformerror.h"

#include <utility>

namespace bulrush::io {

namespace {

constexpr int statusCreated = 201;
constexpr std::string_view objectsPath = "/objects/";

std::vector<RowId> writtenRowIds(const Transaction &transaction)
{
    std::vector<RowId> ids;
    for (const RowWrite &write : transaction.writes)
        ids.push_back(write.id);
    return ids;
}

std::error_code putObjectError(const HttpResult &result)
{
    if (!result.error && result.response.status == statusCreated)
        return {};

    const std::error_code failure = platformErrorOf(result);
    return failure ? failure : PlatformError::BadAnswer;
}

std::string objectPath(std::string_view name)
{
    return std::string{objectsPath} + std::string{name};
}

} // namespace

PlatformClient::PlatformClient(Fetch fetch, PlatformAccess access)
    : m_fetch(std::move(fetch))
    , m_access(std::move(access))
{ }

PlatformClient::TransferId PlatformClient::transact(const Transaction &transaction,
                                                    const TransactHandler &handler)
{
    HttpRequest call = request("POST", "/table/transact", encodeTransaction(transaction));
    call.isFreshConnection = true;
    return m_fetch(std::move(call), [transaction, handler](const HttpResult &result) {
        handler(decodeTransactOutcome(transaction, result));
    });
}

PlatformClient::TransferId PlatformClient::settle(const Transaction &transaction,
                                                  const SettleHandler &handler)
{
    return read(writtenRowIds(transaction), [transaction, handler](RowsResult result) {
        if (result.error)
            handler(StillUnknown{result.error});
        else
            handler(settlementFrom(transaction, std::move(result.rows)));
    });
}

PlatformClient::TransferId PlatformClient::read(std::vector<RowId> ids, const RowsHandler &handler)
{
    HttpRequest call = request("POST", "/table/read", encodeRead(ids));
    return m_fetch(std::move(call), [ids = std::move(ids), handler](const HttpResult &result) {
        handler(decodeReadResult(ids, result));
    });
}

PlatformClient::TransferId PlatformClient::scan(std::string_view table, std::string_view prefix,
                                                std::string_view after, std::size_t limit,
                                                const RowsHandler &handler)
{
    return m_fetch(request("POST", "/table/scan", encodeScan(table, prefix, after, limit)),
                   [handler](const HttpResult &result) { handler(decodeScanResult(result)); });
}

PlatformClient::TransferId PlatformClient::putObject(std::string_view name, std::string body,
                                                     const ErrorHandler &handler)
{
    return m_fetch(request("PUT", objectPath(name), std::move(body)),
                   [handler](const HttpResult &result) { handler(putObjectError(result)); });
}

PlatformClient::TransferId PlatformClient::getObject(std::string_view name,
                                                     const ObjectHandler &handler)
{
    return m_fetch(request("GET", objectPath(name), {}), [handler](HttpResult result) {
        const std::error_code failure = platformErrorOf(result);
        handler({failure, failure ? std::string{} : std::move(result.response.body)});
    });
}

PlatformClient::TransferId PlatformClient::hosts(const HostsHandler &handler)
{
    return m_fetch(request("GET", "/hosts", {}),
                   [handler](const HttpResult &result) { handler(decodeHosts(result)); });
}

HttpRequest PlatformClient::request(std::string_view method, std::string_view path,
                                    std::string body) const
{
    HttpRequest call;
    call.method = method;
    call.url = m_access.baseUrl + std::string{path};
    call.timeout = m_access.timeout;
    if (method == "POST")
        call.headers.push_back({"Content-Type", "application/json"});
    call.body = std::move(body);
    return call;
}

} // namespace bulrush::io
