#include "version/crashrowcodec.h"

#include "process/jsonreader.h"
#include "process/servernamelist.h"

#include <json/value.h>

#include <utility>

namespace bulrush::io {

namespace {

RequestFingerprint readRequest(JsonReader &reader)
{
    const auto request = RequestFingerprint::fromString(reader.text("request"));
    if (!request)
        reader.fail();
    return request.value_or(RequestFingerprint{});
}

Json::Value jsonOf(const CrashReport &report)
{
    Json::Value json;
    json["request"] = report.request.toString();
    json["server"] = report.server.value();
    json["after"] = io::jsonOf(report.after);
    return json;
}

Json::Value jsonOf(const CrashRetraction &retraction)
{
    Json::Value json;
    json["request"] = retraction.request.toString();
    json["servers"] = io::jsonOf(retraction.servers);
    return json;
}

std::optional<CrashReport> decodeReport(const Json::Value &json)
{
    JsonReader reader{json};
    CrashReport report{readRequest(reader), ServerName{reader.text("server")},
                       readServerNames(reader, "after")};
    if (!reader.isValid())
        return std::nullopt;
    return report;
}

std::optional<CrashRetraction> decodeRetraction(const Json::Value &json)
{
    JsonReader reader{json};
    CrashRetraction retraction{readRequest(reader), readServerNames(reader, "servers")};
    if (!reader.isValid())
        return std::nullopt;
    return retraction;
}

} // namespace

std::string encodeCrashRow(const CrashRow &row)
{
    Json::Value reports{Json::arrayValue};
    for (const CrashReport &report : row.reports)
        reports.append(jsonOf(report));
    Json::Value retractions{Json::arrayValue};
    for (const CrashRetraction &retraction : row.retractions)
        retractions.append(jsonOf(retraction));
    Json::Value json;
    json["reports"] = std::move(reports);
    json["retractions"] = std::move(retractions);
    return toCompactJson(json);
}

std::optional<CrashRow> decodeCrashRow(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    CrashRow row;
    for (const Json::Value &entry : reader.list("reports")) {
        std::optional<CrashReport> report = decodeReport(entry);
        if (!report)
            return std::nullopt;
        row.reports.push_back(std::move(*report));
    }
    for (const Json::Value &entry : reader.list("retractions")) {
        std::optional<CrashRetraction> retraction = decodeRetraction(entry);
        if (!retraction)
            return std::nullopt;
        row.retractions.push_back(std::move(*retraction));
    }
    if (!reader.isValid())
        return std::nullopt;
    return row;
}

} // namespace bulrush::io
