#include "version/keyassignmentcodec.h"

#include "process/jsonreader.h"
#include "process/scalartype.h"

#include <json/value.h>

#include <map>
#include <vector>

namespace bulrush::io {

namespace {

/** Positions of the values in the JSON array that encodes a range. */
enum RangeIndex : Json::ArrayIndex {
    First,
    Last,
    Owner,
    FenceValue,
    Handover,
    Previous,
    MoveSequence,
    FieldCount
};

/** Index that encodes "no server". */
constexpr int noServer = -1;

/** Assigns an index to each server name, in the order of first use. */
class ServerTable
{
public:
    int indexOf(const ServerName &server)
    {
        if (server.isEmpty())
            return noServer;
        const auto [entry, isNew] = m_indices.emplace(server, static_cast<int>(m_indices.size()));
        if (isNew)
            m_names.append(server.value());
        return entry->second;
    }

    const Json::Value &names() const
    {
        return m_names;
    }

private:
    std::map<ServerName, int> m_indices;
    Json::Value m_names{Json::arrayValue};
};

std::optional<ServerName> serverAt(const Json::Value &names, const Json::Value &position)
{
    if (!position.isInt())
        return std::nullopt;
    if (position.asInt() == noServer)
        return ServerName{};
    const auto index = static_cast<Json::ArrayIndex>(position.asInt());
    if (position.asInt() < 0 || index >= names.size() || !names[index].isString())
        return std::nullopt;
    return ServerName{names[index].asString()};
}

std::optional<OwnedRange> decodeRange(const Json::Value &json, const Json::Value &names)
{
    if (!json.isArray() || json.size() != FieldCount || !json[First].isUInt()
        || !json[Last].isUInt() || !json[FenceValue].isUInt64() || !json[Handover].isString()
        || !json[MoveSequence].isUInt64())
        return std::nullopt;
    const std::optional<ServerName> owner = serverAt(names, json[Owner]);
    const std::optional<ServerName> previous = serverAt(names, json[Previous]);
    if (!owner || !previous)
        return std::nullopt;
    return OwnedRange{{json[First].asUInt(), json[Last].asUInt()},
                      *owner,
                      json[FenceValue].asUInt64(),
                      json[Handover].asString(),
                      *previous,
                      json[MoveSequence].asUInt64()};
}

} // namespace

std::string encodeAssignment(const KeyAssignment &assignment)
{
    ServerTable servers;
    Json::Value ranges{Json::arrayValue};
    for (const OwnedRange &owned : assignment.ranges) {
        Json::Value range{Json::arrayValue};
        range.append(owned.range.first);
        range.append(owned.range.last);
        range.append(servers.indexOf(owned.owner));
        range.append(Json::UInt64{owned.fence});
        range.append(owned.handover);
        range.append(servers.indexOf(owned.previous));
        range.append(Json::UInt64{owned.moveSequence});
        ranges.append(std::move(range));
    }
    Json::Value json;
    json["service"] = assignment.service.value();
    json["sequence"] = Json::UInt64{assignment.sequence};
    json["era"] = Json::UInt64{assignment.era};
    json["servers"] = servers.names();
    json["ranges"] = std::move(ranges);
    return toCompactJson(json);
}

std::optional<KeyAssignment> decodeAssignment(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    KeyAssignment assignment;
    assignment.service = ServiceName{reader.text("service")};
    assignment.sequence = reader.number("sequence");
    // Daemons before eras were known wrote none.
    if (reader.isValid() && json.isMember("era"))
        assignment.era = reader.number("era");
    const Json::Value &names = reader.list("servers");
    for (const Json::Value &entry : reader.list("ranges")) {
        std::optional<OwnedRange> owned = decodeRange(entry, names);
        if (!owned)
            return std::nullopt;
        assignment.ranges.push_back(std::move(*owned));
    }
    if (!reader.isValid() || !isWellFormed(assignment))
        return std::nullopt;
    return assignment;
}

std::string encodePlannerRow(const PlannerRow &row)
{
    Json::Value json;
    json["holder"] = row.holder.value();
    json["address"] = toString(row.address);
    json["renewals"] = Json::UInt64{row.renewals};
    json["era"] = Json::UInt64{row.era};
    if (row.isResumed)
        json["resumed"] = true;
    return toCompactJson(json);
}

std::optional<PlannerRow> decodePlannerRow(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    PlannerRow row;
    row.holder = Incarnation{reader.text("holder")};
    row.renewals = reader.number("renewals");
    // Daemons before eras were known wrote none.
    if (reader.isValid() && json.isMember("era"))
        row.era = reader.number("era");
    if (reader.isValid() && json.isMember("resumed"))
        row.isResumed = reader.flag("resumed");
    const std::optional<Endpoint> address =
        endpoint(PortZero::Refused).parse(reader.text("address"));
    if (!reader.isValid() || !address)
        return std::nullopt;
    row.address = *address;
    return row;
}

} // namespace bulrush::io
