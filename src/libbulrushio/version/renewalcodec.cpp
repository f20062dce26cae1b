#include "version/renewalcodec.h"

#include "process/jsonreader.h"
#include "process/scalartype.h"
#include "process/servernamelist.h"
#include "version/keyassignmentcodec.h"

#include <json/value.h>

namespace bulrush::io {

std::string encodeRenewalQuery(const RenewalQuery &question)
{
    Json::Value json;
    json["service"] = question.service.value();
    if (question.assignment) {
        json["assignment"] = encodeAssignment(*question.assignment);
        json["version"] = toString(question.version);
    }
    json["servers"] = jsonOf(question.servers);
    return toCompactJson(json);
}

std::optional<RenewalQuery> decodeRenewalQuery(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    RenewalQuery question;
    question.service = ServiceName{reader.text("service")};
    if (reader.isValid() && json.isMember("assignment")) {
        question.assignment = decodeAssignment(reader.text("assignment"));
        const auto version = parseStoreVersion(reader.text("version"));
        if (!version)
            return std::nullopt;
        question.version = *version;
        if (!question.assignment || question.assignment->service != question.service)
            return std::nullopt;
    }
    question.servers = readServerNames(reader, "servers");
    if (!reader.isValid())
        return std::nullopt;
    return question;
}

std::string encodeRenewalAnswer(const RenewerAnswer &answer)
{
    Json::Value grants{Json::arrayValue};
    for (const auto &[server, ago] : answer.lastGrantAgo) {
        Json::Value grant;
        grant["server"] = server.value();
        grant["ago"] = jsonOf(ago);
        grants.append(std::move(grant));
    }
    Json::Value json;
    json["host"] = answer.host.value();
    json["incarnation"] = answer.incarnation.value();
    json["service"] = answer.service.value();
    json["sequence"] = Json::UInt64{answer.sequence};
    json["grants"] = std::move(grants);
    return toCompactJson(json);
}

std::optional<RenewerAnswer> decodeRenewalAnswer(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    RenewerAnswer answer;
    answer.host = HostName{reader.text("host")};
    answer.incarnation = Incarnation{reader.text("incarnation")};
    answer.service = ServiceName{reader.text("service")};
    answer.sequence = reader.number("sequence");
    for (const Json::Value &entry : reader.list("grants")) {
        JsonReader grant{entry};
        const ServerName server{grant.text("server")};
        answer.lastGrantAgo[server] = grant.span("ago");
        if (!grant.isValid())
            return std::nullopt;
    }
    if (!reader.isValid())
        return std::nullopt;
    return answer;
}

std::string encodeSequences(const AssignmentSequences &known)
{
    Json::Value json{Json::objectValue};
    for (const auto &[service, sequence] : known)
        json[service.value()] = Json::UInt64{sequence};
    return toCompactJson(json);
}

std::optional<AssignmentSequences> decodeSequences(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    if (!json.isObject())
        return std::nullopt;
    AssignmentSequences known;
    for (const std::string &service : json.getMemberNames()) {
        if (!json[service].isUInt64())
            return std::nullopt;
        known[ServiceName{service}] = json[service].asUInt64();
    }
    return known;
}

std::string encodeRememberedAssignments(const RememberedAssignments &remembered)
{
    Json::Value json;
    json["host"] = remembered.host.value();
    json["incarnation"] = remembered.incarnation.value();
    json["uptime"] = jsonOf(remembered.uptime);
    json["planner"] = remembered.planner.value();
    json["planner-version"] = toString(remembered.plannerVersion);
    json["assignments"] = Json::Value{Json::arrayValue};
    for (const KeyAssignment &assignment : remembered.assignments)
        json["assignments"].append(encodeAssignment(assignment));
    return toCompactJson(json);
}

std::optional<RememberedAssignments> decodeRememberedAssignments(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    RememberedAssignments remembered;
    remembered.host = HostName{reader.text("host")};
    remembered.incarnation = Incarnation{reader.text("incarnation")};
    remembered.uptime = reader.span("uptime");
    remembered.planner = Incarnation{reader.text("planner")};
    const auto plannerVersion = parseStoreVersion(reader.text("planner-version"));
    for (const Json::Value &entry : reader.list("assignments")) {
        auto assignment = decodeAssignment(entry.isString() ? entry.asString() : std::string{});
        if (!assignment)
            return std::nullopt;
        remembered.assignments.push_back(std::move(*assignment));
    }
    if (!reader.isValid() || !plannerVersion)
        return std::nullopt;
    remembered.plannerVersion = *plannerVersion;
    return remembered;
}

std::string encodeDaemonRow(const DaemonRow &row)
{
    Json::Value json;
    json["incarnation"] = row.incarnation.value();
    json["address"] = toString(row.address);
    json["domain"] = row.domain.value();
    json["processors"] = row.processors;
    if (row.relayAddress.port != 0)
        json["relays"] = toString(row.relayAddress);
    return toCompactJson(json);
}

std::optional<DaemonRow> decodeDaemonRow(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    DaemonRow row;
    row.incarnation = Incarnation{reader.text("incarnation")};
    const auto address = endpoint(PortZero::Refused).parse(reader.text("address"));
    if (!reader.isValid() || !address)
        return std::nullopt;
    row.address = *address;
    // Rows of older daemon versions have no domain. No other daemon follows the writer of such a
    // row.
    if (json["domain"].isString())
        row.domain = DomainName{json["domain"].asString()};
    if (json["relays"].isString())
        row.relayAddress =
            endpoint(PortZero::Refused).parse(json["relays"].asString()).value_or(Endpoint{});
    if (json["processors"].isNumeric())
        row.processors = json["processors"].asDouble();
    return row;
}

} // namespace bulrush::io
