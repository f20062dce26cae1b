#pragma once

#include "connection/httpclient.h"
#include "process/platformhosts.h"
#include "process/platformtable.h"
#include "process/platformtablecodec.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace bulrush::io {

/** Address of the platform, and the timeout of calls to it. */
struct PlatformAccess
{
    /** Base URL without a trailing slash, such as `http://10.0.0.1:8000`. */
    std::string baseUrl;
    /** Timeout of each call. */
    Duration timeout = std::chrono::seconds{1};
};

/** Content of an object. \a body is valid only if \a error is clear. */
struct ObjectResult
{
    std::error_code error;
    std::string body;
};

/**
 * Asynchronous client of the platform: its table, its objects and its list of hosts.
 *
 * A lost answer is treated neither as a failure nor as a success: each call sends a transaction
 * once, on a new connection, and its outcome is Unknown if its effect is not certain. Errors are of
 * platformCategory().
 *
 * All methods must be called on the loop's thread. Each handler runs once on that thread, never
 * from within the call, unless its transfer is cancelled through the HttpClient. Handlers may
 * outlive this object.
 */
class PlatformClient
{
public:
    /** Sends a request: HttpClient::fetch(), or a replacement in tests. */
    using Fetch = std::function<HttpClient::TransferId(HttpRequest, HttpClient::Handler)>;

    using TransactHandler = std::function<void(TransactOutcome)>;
    using SettleHandler = std::function<void(Settlement)>;
    using RowsHandler = std::function<void(RowsResult)>;
    using ErrorHandler = std::function<void(std::error_code)>;
    using ObjectHandler = std::function<void(ObjectResult)>;
    using HostsHandler = std::function<void(HostsResult)>;
    using TransferId = HttpClient::TransferId;

    /** \pre \a client outlives this object. */
    PlatformClient(HttpClient &client, PlatformAccess access);
    PlatformClient(Fetch fetch, PlatformAccess access);

    /**
     * Sends \a transaction once.
     * \pre each value to write is an object or null, and no row is written twice
     */
    TransferId transact(const Transaction &transaction, const TransactHandler &handler);

    /**
     * Reads the rows that \a transaction writes, and determines its effect from them after the
     * outcome Unknown. \pre the transaction writes at least one row under a condition
     */
    TransferId settle(const Transaction &transaction, const SettleHandler &handler);

    /** Reads rows, in the order of \a ids. Rows that do not exist have version 0. */
    TransferId read(std::vector<RowId> ids, const RowsHandler &handler);

    /**
     * Reads up to \a limit rows of \a table, sorted by key, whose keys start with \a prefix and
     * sort after \a after.
     */
    TransferId scan(std::string_view table, std::string_view prefix, std::string_view after,
                    std::size_t limit, const RowsHandler &handler);

    /**
     * Stores an object. The call may be repeated after an error, because objects are immutable.
     * \pre \a name consists of letters, digits and any of `-._~/`
     */
    TransferId putObject(std::string_view name, std::string body, const ErrorHandler &handler);

    /** Reads an object. The error is NotFound if it does not exist. \pre as for putObject() */
    TransferId getObject(std::string_view name, const ObjectHandler &handler);

    /** Reads the platform's list of hosts. */
    TransferId hosts(const HostsHandler &handler);

private:
    HttpRequest request(std::string_view method, std::string_view path, std::string body) const;

    Fetch m_fetch;
    PlatformAccess m_access;
};

// Inline, so that a test with its own Fetch does not need to link an HTTP library.
inline PlatformClient::PlatformClient(HttpClient &client, PlatformAccess access)
    : PlatformClient(
        [&client](HttpRequest request, HttpClient::Handler handler) {
            return client.fetch(std::move(request), std::move(handler));
        },
        std::move(access))
{ }

} // namespace bulrush::io
