#include "process/leasecodec.h"

#include "process/jsonreader.h"
#include "process/servernamelist.h"
#include "version/assignmentcodec.h"

#include <array>
#include <string_view>

namespace bulrush::io {

namespace {

constexpr std::array<std::string_view, 3> orderKindNames{"prepare", "revoke", "grant"};

Json::Value encodePiece(const ServiceKeyRange &piece)
{
    Json::Value json{Json::objectValue};
    json["service"] = piece.service.value();
    json["begin"] = hashToHex(piece.range.begin);
    json["end"] = hashToHex(piece.range.end);
    return json;
}

ServiceKeyRange decodePiece(JsonReader &reader)
{
    ServiceKeyRange piece;
    piece.service = ServiceName{reader.text("service")};
    const auto begin = hashFromHex(reader.text("begin"));
    const auto end = hashFromHex(reader.text("end"));
    if (!begin || !end || *begin > *end) {
        reader.fail();
        return piece;
    }
    piece.range = {*begin, *end};
    return piece;
}

Json::Value encodeReport(const StopReport &report)
{
    Json::Value json{Json::objectValue};
    json["stop"] = encodeFence(report.stop);
    json["idle"] = report.idle;
    json["latestDeadlineNs"] = jsonOf(report.latestDeadline);
    return json;
}

Json::Value encodeRight(const SliceRight &right)
{
    Json::Value json = encodePiece(right.piece);
    json["server"] = right.server.value();
    json["fence"] = encodeFence(right.fence);
    return json;
}

Json::Value encodeStop(const StopOrder &order)
{
    Json::Value json = encodePiece(order.piece);
    json["server"] = order.server.value();
    json["stop"] = encodeFence(order.stop);
    return json;
}

/** Decodes each element of the list \a name with \a read, which gets a reader of the element. */
template<typename Read>
auto decodeList(JsonReader &reader, const char *name, Read read)
{
    std::vector<decltype(read(reader))> result;
    for (const Json::Value &entry : reader.list(name)) {
        JsonReader entryReader{entry};
        result.push_back(read(entryReader));
        if (!entryReader.isValid())
            reader.fail();
    }
    return result;
}

StopReport decodeReport(JsonReader &reader)
{
    return {reader.fence("stop"), reader.flag("idle"), reader.span("latestDeadlineNs")};
}

SliceRight decodeRight(JsonReader &reader)
{
    return {decodePiece(reader), ServerName{reader.text("server")}, reader.fence("fence")};
}

StopOrder decodeStop(JsonReader &reader)
{
    return {reader.fence("stop"), decodePiece(reader), ServerName{reader.text("server")}};
}

void encodeRights(const RightsReplaced &replaced, Json::Value &json)
{
    json["rights"] = Json::Value{Json::arrayValue};
    for (const SliceRight &right : replaced.rights)
        json["rights"].append(encodeRight(right));
    json["stops"] = Json::Value{Json::arrayValue};
    for (const StopOrder &stop : replaced.stops)
        json["stops"].append(encodeStop(stop));
}

std::vector<SliceOwner> decodeSlices(JsonReader &reader)
{
    std::vector<SliceOwner> slices;
    for (const Json::Value &entry : reader.list("slices")) {
        auto owner = decodeSliceOwner(entry);
        if (owner)
            slices.push_back(*std::move(owner));
        else
            reader.fail();
    }
    return slices;
}

ServerOrderKind decodeKind(JsonReader &reader)
{
    const std::string name = reader.text("kind");
    for (std::size_t i = 0; i < orderKindNames.size(); ++i) {
        if (orderKindNames.at(i) == name)
            return static_cast<ServerOrderKind>(i);
    }
    reader.fail();
    return ServerOrderKind::Prepare;
}

} // namespace

Json::Value encodeLeaseRequest(const LeaseRequest &request)
{
    Json::Value json{Json::objectValue};
    json["incarnation"] = request.incarnation.value();
    json["requestId"] = jsonOf(request.requestId);
    json["knownVersion"] = encodeFence(request.knownVersion);
    json["heldRights"] = encodeFence(request.heldRights);
    json["stopReports"] = Json::Value{Json::arrayValue};
    for (const StopReport &report : request.stopReports)
        json["stopReports"].append(encodeReport(report));
    json["lostServers"] = jsonOf(request.lostServers);
    return json;
}

std::optional<LeaseRequest> decodeLeaseRequest(const Json::Value &json)
{
    JsonReader reader{json};
    LeaseRequest request;
    request.incarnation = Incarnation{reader.text("incarnation")};
    request.requestId = reader.number("requestId");
    request.knownVersion = reader.fence("knownVersion");
    request.heldRights = reader.fence("heldRights");
    request.stopReports = decodeList(reader, "stopReports", decodeReport);
    request.lostServers = readServerNames(reader, "lostServers");
    if (!reader.isValid())
        return std::nullopt;
    return request;
}

Json::Value encodeLeaseReply(const LeaseReply &reply)
{
    Json::Value json{Json::objectValue};
    json["requestId"] = jsonOf(reply.requestId);
    json["lengthNs"] = jsonOf(reply.length);
    json["assignmentVersion"] = encodeFence(reply.assignmentVersion);
    json["rightsVersion"] = encodeFence(reply.rightsVersion);
    json["isUnchanged"] = std::holds_alternative<RightsUnchanged>(reply.rights);
    if (const auto *replaced = std::get_if<RightsReplaced>(&reply.rights))
        encodeRights(*replaced, json);
    return json;
}

std::optional<LeaseReply> decodeLeaseReply(const Json::Value &json)
{
    JsonReader reader{json};
    LeaseReply reply;
    reply.requestId = reader.number("requestId");
    reply.length = reader.span("lengthNs");
    reply.assignmentVersion = reader.fence("assignmentVersion");
    reply.rightsVersion = reader.fence("rightsVersion");
    if (!reader.flag("isUnchanged")) {
        reply.rights = RightsReplaced{decodeList(reader, "rights", decodeRight),
                                      decodeList(reader, "stops", decodeStop)};
    }
    if (!reader.isValid())
        return std::nullopt;
    return reply;
}

Json::Value encodeServerOrder(const ServerOrder &order)
{
    Json::Value json{Json::objectValue};
    json["order"] = jsonOf(order.order);
    json["kind"] = std::string{orderKindNames.at(static_cast<std::size_t>(order.kind))};
    json["server"] = order.server.value();
    json["through"] = order.through.value();
    json["slices"] = Json::Value{Json::arrayValue};
    for (const SliceOwner &slice : order.slices)
        json["slices"].append(encodeSliceOwner(slice));
    return json;
}

std::optional<ServerOrder> decodeServerOrder(const Json::Value &json)
{
    JsonReader reader{json};
    ServerOrder order;
    order.order = reader.number("order");
    order.kind = decodeKind(reader);
    order.server = ServerName{reader.text("server")};
    order.through = Incarnation{reader.text("through")};
    order.slices = decodeSlices(reader);
    if (!reader.isValid())
        return std::nullopt;
    return order;
}

} // namespace bulrush::io
