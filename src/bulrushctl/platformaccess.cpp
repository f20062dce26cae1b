#include "platformaccess.h"

#include "blockinghttp.h"
#include "exitcode.h"
#include "jsontext.h"
#include "process/jsonreader.h"

#include <optional>

namespace bulrush::ctl {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;

Json::Value encode(const RowId &id)
{
    Json::Value json{Json::objectValue};
    json["table"] = id.table;
    json["key"] = id.key;
    return json;
}

std::string encode(const Transaction &transaction)
{
    Json::Value json{Json::objectValue};
    json["requestId"] = transaction.requestId;
    json["writer"] = transaction.writer;
    json["conditions"] = Json::Value{Json::arrayValue};
    for (const RowCondition &condition : transaction.conditions) {
        Json::Value entry = encode(condition.id);
        entry["version"] = Json::UInt64{condition.version};
        json["conditions"].append(std::move(entry));
    }
    json["writes"] = Json::Value{Json::arrayValue};
    for (const RowWrite &write : transaction.writes) {
        Json::Value entry = encode(write.id);
        entry["value"] = write.value;
        json["writes"].append(std::move(entry));
    }
    return io::toCompactJson(json);
}

std::vector<TableRow> decodeRows(const Json::Value &array)
{
    std::vector<TableRow> rows;
    for (const Json::Value &entry : array) {
        const Json::Value value = entry.isObject() ? entry["value"] : Json::Value{};
        rows.push_back({{stringIn(entry, "table"), stringIn(entry, "key")},
                        numberIn(entry, "version"),
                        value});
    }
    return rows;
}

/** The body of an answer with status 200, or why there is none. */
struct Answered
{
    std::error_code error;
    std::string cause;
    Json::Value json;
};

Answered answered(const BlockingAnswer &answer)
{
    if (answer.error)
        return {make_error_code(CtlError::Unreachable), answer.cause, {}};
    if (answer.status != statusOk)
        return {make_error_code(CtlError::Unreachable),
                "the platform answered " + std::to_string(answer.status),
                {}};

    Json::Value json = io::parseJson(answer.body);
    if (!json.isObject())
        return {
            make_error_code(CtlError::BadAnswer), "the platform's answer is no JSON object", {}};
    return {{}, {}, std::move(json)};
}

RowsResult rowsOf(const BlockingAnswer &answer)
{
    const Answered result = answered(answer);
    if (result.error)
        return {result.error, result.cause, {}};
    return {{}, {}, decodeRows(arrayIn(result.json, "rows"))};
}

CommitResult committed(const Json::Value &json)
{
    CommitResult result;
    result.end = CommitEnd::Committed;
    for (const Json::Value &version : arrayIn(json, "versions"))
        result.versions.push_back(version.isUInt64() ? version.asUInt64() : 0);
    return result;
}

CommitResult ended(CommitEnd end, std::string cause)
{
    CommitResult result;
    result.end = end;
    result.cause = std::move(cause);
    return result;
}

CommitResult commitOf(const BlockingAnswer &answer)
{
    if (answer.error == CtlError::Unreachable)
        return ended(CommitEnd::NotSent, answer.cause);
    if (answer.error)
        return ended(CommitEnd::Unknown, answer.cause);

    const Json::Value json = io::parseJson(answer.body);
    if (answer.status == statusBadRequest)
        return ended(CommitEnd::Refused, stringIn(json, "error"));
    if (!json.isObject())
        return ended(CommitEnd::Unknown, "the platform answered " + std::to_string(answer.status));
    if (answer.status == statusOk && json["committed"] == true)
        return committed(json);
    if (answer.status != statusConflict)
        return ended(CommitEnd::Unknown, "the platform answered " + std::to_string(answer.status));

    CommitResult result = ended(CommitEnd::Conflict, "a row has changed");
    result.conflicts = decodeRows(arrayIn(json, "conflicts"));
    return result;
}

} // namespace

PlatformAccess::PlatformAccess(std::vector<Endpoint> endpoints, Duration timeout)
    : m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{ }

RowsResult PlatformAccess::read(const std::vector<RowId> &ids)
{
    Json::Value json{Json::objectValue};
    json["keys"] = Json::Value{Json::arrayValue};
    for (const RowId &id : ids)
        json["keys"].append(encode(id));

    RowsResult result = rowsOf(ask("POST", "/table/read", io::toCompactJson(json)));
    if (!result.error && result.rows.size() != ids.size())
        return {make_error_code(CtlError::BadAnswer), "the platform left rows out", {}};
    return result;
}

RowsResult PlatformAccess::scan(const std::string &table, const std::string &prefix)
{
    constexpr unsigned pageSize = 500;
    RowsResult all;
    std::string after;
    while (true) {
        Json::Value json{Json::objectValue};
        json["table"] = table;
        json["prefix"] = prefix;
        json["after"] = after;
        json["limit"] = pageSize;
        RowsResult page = rowsOf(ask("POST", "/table/scan", io::toCompactJson(json)));
        if (page.error)
            return page;

        // A page may be shorter than was asked for, so that only an empty one is the last.
        if (page.rows.empty() || page.rows.back().id.key <= after)
            return all;
        all.rows.insert(all.rows.end(), page.rows.begin(), page.rows.end());
        after = page.rows.back().id.key;
    }
}

CommitResult PlatformAccess::transact(const Transaction &transaction)
{
    const std::string body = encode(transaction);
    CommitResult result = ended(CommitEnd::NotSent, "no endpoint of the platform is known");
    for (const Endpoint &endpoint : m_endpoints) {
        result = commitOf(callOne(endpoint, "POST", "/table/transact", body));
        if (result.end != CommitEnd::NotSent)
            return result;
    }
    return result;
}

HostsResult PlatformAccess::hosts()
{
    const Answered result = answered(ask("GET", "/hosts", {}));
    if (result.error)
        return {result.error, result.cause, 0, {}};

    HostsResult hosts;
    hosts.ageMs = numberIn(result.json, "ageMs");
    for (const Json::Value &entry : arrayIn(result.json, "hosts"))
        hosts.hosts.push_back({stringIn(entry, "name"), stringIn(entry, "domain"),
                               stringIn(entry, "kind"), stringIn(entry, "state"),
                               stringIn(entry, "address")});
    return hosts;
}

BlockingAnswer PlatformAccess::ask(const std::string &method, const std::string &path,
                                   const std::string &body)
{
    BlockingAnswer answer;
    answer.error = make_error_code(CtlError::Unreachable);
    answer.cause = "no endpoint of the platform is known";
    for (const Endpoint &endpoint : m_endpoints) {
        answer = callOne(endpoint, method, path, body);
        if (!answer.error && answer.status == statusOk)
            return answer;
    }
    return answer;
}

BlockingAnswer PlatformAccess::callOne(const Endpoint &endpoint, const std::string &method,
                                       const std::string &path, const std::string &body)
{
    BlockingAnswer answer = fetch({method, "http://" + toString(endpoint) + path, body, m_timeout});
    if (answer.error)
        answer.cause = "platform at " + toString(endpoint) + ": " + answer.cause;
    return answer;
}

} // namespace bulrush::ctl
