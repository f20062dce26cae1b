#include "process/sharecodec.h"

#include "process/jsonreader.h"
#include "version/assignmentcodec.h"

#include <cmath>
#include <utility>

namespace bulrush::io {

namespace {

/** \returns the amount \a name. Marks \a reader as failed unless it is finite and not negative. */
double readAmount(JsonReader &reader, const Json::Value &json, const char *name)
{
    const Json::Value amount = json.isObject() ? json[name] : Json::Value{};
    if (!amount.isNumeric() || !std::isfinite(amount.asDouble()) || amount.asDouble() < 0.0) {
        reader.fail();
        return 0.0;
    }
    return amount.asDouble();
}

Json::Value encodeDemand(const LimitDemand &limit)
{
    Json::Value json{Json::objectValue};
    json["wanted"] = limit.demand.wanted;
    json["inUse"] = limit.demand.inUse;
    json["held"] = limit.held;
    json["acknowledged"] = encodeFence(limit.demand.acknowledged);
    return json;
}

LimitDemand decodeDemand(JsonReader &reader, const char *name)
{
    const Json::Value &json = reader.object(name);
    JsonReader fields{json};
    LimitDemand limit;
    limit.demand.wanted = readAmount(fields, json, "wanted");
    limit.demand.inUse = readAmount(fields, json, "inUse");
    limit.held = readAmount(fields, json, "held");
    limit.demand.acknowledged = fields.fence("acknowledged");
    if (!fields.isValid())
        reader.fail();
    return limit;
}

Json::Value encodeGrant(const ShareGrant &grant)
{
    Json::Value json{Json::objectValue};
    json["sequence"] = encodeFence(grant.sequence);
    json["amount"] = grant.amount;
    json["lengthNs"] = jsonOf(grant.length);
    return json;
}

ShareGrant decodeGrant(JsonReader &reader, const char *name)
{
    const Json::Value &json = reader.object(name);
    JsonReader fields{json};
    ShareGrant grant;
    grant.sequence = fields.fence("sequence");
    grant.amount = readAmount(fields, json, "amount");
    grant.length = fields.span("lengthNs");
    if (!fields.isValid())
        reader.fail();
    return grant;
}

} // namespace

Json::Value encodeShareRequest(const ShareRequest &request)
{
    Json::Value json{Json::objectValue};
    json["incarnation"] = request.incarnation.value();
    json["organisations"] = Json::Value{Json::arrayValue};
    for (const OrganisationDemand &demand : request.organisations) {
        Json::Value entry{Json::objectValue};
        entry["organisation"] = demand.organisation.value();
        entry["rate"] = encodeDemand(demand.rate);
        entry["concurrency"] = encodeDemand(demand.concurrency);
        json["organisations"].append(std::move(entry));
    }
    return json;
}

std::optional<ShareRequest> decodeShareRequest(const Json::Value &json)
{
    JsonReader reader{json};
    ShareRequest request;
    request.incarnation = Incarnation{reader.text("incarnation")};
    for (const Json::Value &entry : reader.list("organisations")) {
        JsonReader fields{entry};
        OrganisationDemand demand;
        demand.organisation = OrganisationName{fields.text("organisation")};
        demand.rate = decodeDemand(fields, "rate");
        demand.concurrency = decodeDemand(fields, "concurrency");
        if (!fields.isValid())
            return std::nullopt;
        request.organisations.push_back(std::move(demand));
    }
    if (!reader.isValid())
        return std::nullopt;
    return request;
}

Json::Value encodeShareReply(const ShareReply &reply)
{
    Json::Value json{Json::objectValue};
    json["isSettled"] = reply.isSettled;
    json["organisations"] = Json::Value{Json::arrayValue};
    for (const OrganisationGrant &grant : reply.organisations) {
        Json::Value entry{Json::objectValue};
        entry["organisation"] = grant.organisation.value();
        entry["rate"] = encodeGrant(grant.rate);
        entry["concurrency"] = encodeGrant(grant.concurrency);
        json["organisations"].append(std::move(entry));
    }
    return json;
}

std::optional<ShareReply> decodeShareReply(const Json::Value &json)
{
    JsonReader reader{json};
    ShareReply reply;
    reply.isSettled = reader.flag("isSettled");
    for (const Json::Value &entry : reader.list("organisations")) {
        JsonReader fields{entry};
        OrganisationGrant grant;
        grant.organisation = OrganisationName{fields.text("organisation")};
        grant.rate = decodeGrant(fields, "rate");
        grant.concurrency = decodeGrant(fields, "concurrency");
        if (!fields.isValid())
            return std::nullopt;
        reply.organisations.push_back(std::move(grant));
    }
    if (!reader.isValid())
        return std::nullopt;
    return reply;
}

} // namespace bulrush::io
