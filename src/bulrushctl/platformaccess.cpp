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

/** The JSON object of an answer with status 200, or the reason why there is none. */
struct ParsedAnswer
{
    std::error_code error;
    std::string cause;
    Json::Value json;
};

ParsedAnswer parseAnswer(const BlockingAnswer &answer)
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

RowsResult decodeRowsResult(const BlockingAnswer &answer)
{
    const ParsedAnswer result = parseAnswer(answer);
    if (result.error)
        return {result.error, result.cause, {}};
    return {{}, {}, decodeRows(arrayIn(result.json, "rows"))};
}

CommitResult committedResult(const Json::Value &json)
{
    CommitResult result;
    result.outcome = CommitOutcome::Committed;
    for (const Json::Value &version : arrayIn(json, "versions"))
        result.versions.push_back(version.isUInt64() ? version.asUInt64() : 0);
    return result;
}

CommitResult failedCommit(CommitOutcome outcome, std::string cause)
{
    CommitResult result;
    result.outcome = outcome;
    result.cause = std::move(cause);
    return result;
}

CommitResult decodeCommitResult(const BlockingAnswer &answer)
{
    if (answer.error == CtlError::Unreachable)
        return failedCommit(CommitOutcome::NotSent, answer.cause);
    if (answer.error)
        return failedCommit(CommitOutcome::Unknown, answer.cause);

    const Json::Value json = io::parseJson(answer.body);
    if (answer.status == statusBadRequest)
        return failedCommit(CommitOutcome::Refused, stringIn(json, "error"));
    if (!json.isObject())
        return failedCommit(CommitOutcome::Unknown,
                            "the platform answered " + std::to_string(answer.status));
    if (answer.status == statusOk && json["committed"] == true)
        return committedResult(json);
    if (answer.status != statusConflict)
        return failedCommit(CommitOutcome::Unknown,
                            "the platform answered " + std::to_string(answer.status));

    CommitResult result = failedCommit(CommitOutcome::Conflict, "a row has changed");
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

    RowsResult result =
        decodeRowsResult(callAnyEndpoint("POST", "/table/read", io::toCompactJson(json)));
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
        RowsResult page =
            decodeRowsResult(callAnyEndpoint("POST", "/table/scan", io::toCompactJson(json)));
        if (page.error)
            return page;

        // A page may be shorter than the limit, so only an empty page marks the end.
        if (page.rows.empty() || page.rows.back().id.key <= after)
            return all;
        all.rows.insert(all.rows.end(), page.rows.begin(), page.rows.end());
        after = page.rows.back().id.key;
    }
}

CommitResult PlatformAccess::transact(const Transaction &transaction)
{
    const std::string body = encode(transaction);
    CommitResult result =
        failedCommit(CommitOutcome::NotSent, "no endpoint of the platform is known");
    for (const Endpoint &endpoint : m_endpoints) {
        result = decodeCommitResult(callEndpoint(endpoint, "POST", "/table/transact", body));
        if (result.outcome != CommitOutcome::NotSent)
            return result;
    }
    return result;
}

HostsResult PlatformAccess::hosts()
{
    const ParsedAnswer result = parseAnswer(callAnyEndpoint("GET", "/hosts", {}));
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

BlockingAnswer PlatformAccess::callAnyEndpoint(const std::string &method, const std::string &path,
                                               const std::string &body)
{
    BlockingAnswer answer;
    answer.error = make_error_code(CtlError::Unreachable);
    answer.cause = "no endpoint of the platform is known";
    for (const Endpoint &endpoint : m_endpoints) {
        answer = callEndpoint(endpoint, method, path, body);
        if (!answer.error && answer.status == statusOk)
            return answer;
    }
    return answer;
}

BlockingAnswer PlatformAccess::callEndpoint(const Endpoint &endpoint, const std::string &method,
                                            const std::string &path, const std::string &body)
{
    BlockingAnswer answer = fetch({method, "http://" + toString(endpoint) + path, body, m_timeout});
    if (answer.error)
        answer.cause = "platform at " + toString(endpoint) + ": " + answer.cause;
    return answer;
}

} // namespace bulrush::ctl
