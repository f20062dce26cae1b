#include "version/loadreportcodec.h"

#include "process/jsonreader.h"
#include "version/assignmentcodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace bulrush::io {

namespace {

constexpr double unitsPerRequest = 1000.0;

/**
 * Maximum load in a report, in requests per second. No host serves as much. The number of its
 * digits bounds the length of a report.
 */
constexpr double maxLoad = 1e9;

Json::Value encodeLoad(double load)
{
    return jsonOf(
        static_cast<std::uint64_t>(std::llround(std::clamp(load, 0.0, maxLoad) * unitsPerRequest)));
}

double decodeLoad(JsonReader &reader)
{
    const double load = static_cast<double>(reader.number("milliLoad")) / unitsPerRequest;
    if (load > maxLoad)
        reader.fail();
    return load;
}

KeyHash decodeHash(JsonReader &reader, const char *name)
{
    const auto hash = hashFromHex(reader.text(name));
    if (!hash)
        reader.fail();
    return hash.value_or(0);
}

void decodeSlices(JsonReader &reader, std::vector<SliceLoad> &slices)
{
    for (const Json::Value &json : reader.list("slices")) {
        JsonReader entry{json};
        const SliceRange range{decodeHash(entry, "begin"), decodeHash(entry, "end")};
        const double load = decodeLoad(entry);
        const bool isAfter = slices.empty() || slices.back().range.end < range.begin;
        if (!entry.isValid() || !isAfter || range.end < range.begin)
            reader.fail();
        slices.push_back({range, load});
    }
}

void decodeKeys(JsonReader &reader, std::vector<KeyLoad> &keys)
{
    for (const Json::Value &json : reader.list("hotKeys")) {
        JsonReader entry{json};
        const KeyLoad key{decodeHash(entry, "key"), decodeLoad(entry)};
        if (!entry.isValid() || (!keys.empty() && keys.back().key >= key.key))
            reader.fail();
        keys.push_back(key);
    }
}

} // namespace

Json::Value encodeLoadReport(const LoadReport &report)
{
    Json::Value json{Json::objectValue};
    json["slices"] = Json::Value{Json::arrayValue};
    for (const SliceLoad &slice : report.slices) {
        Json::Value entry{Json::objectValue};
        entry["begin"] = hashToHex(slice.range.begin);
        entry["end"] = hashToHex(slice.range.end);
        entry["milliLoad"] = encodeLoad(slice.load);
        json["slices"].append(std::move(entry));
    }
    json["hotKeys"] = Json::Value{Json::arrayValue};
    for (const KeyLoad &key : report.hotKeys) {
        Json::Value entry{Json::objectValue};
        entry["key"] = hashToHex(key.key);
        entry["milliLoad"] = encodeLoad(key.load);
        json["hotKeys"].append(std::move(entry));
    }
    return json;
}

std::optional<LoadReport> decodeLoadReport(const Json::Value &json)
{
    JsonReader reader{json};
    const bool isBounded = reader.list("slices").size() <= maxReportedSlices
        && reader.list("hotKeys").size() <= maxReportedKeys;
    if (!isBounded)
        return std::nullopt;

    LoadReport report;
    decodeSlices(reader, report.slices);
    decodeKeys(reader, report.hotKeys);
    if (!reader.isValid())
        return std::nullopt;
    return report;
}

Json::Value encodeLoadReports(const std::map<ServiceName, LoadReport> &reports)
{
    Json::Value json{Json::objectValue};
    for (const auto &[service, report] : reports)
        json[service.value()] = encodeLoadReport(report);
    return json;
}

std::optional<std::map<ServiceName, LoadReport>> decodeLoadReports(const Json::Value &json)
{
    if (!json.isObject())
        return std::nullopt;

    std::map<ServiceName, LoadReport> reports;
    for (const std::string &name : json.getMemberNames()) {
        auto report = decodeLoadReport(json[name]);
        if (!report)
            return std::nullopt;
        reports.emplace(ServiceName{name}, *std::move(report));
    }
    return reports;
}

} // namespace bulrush::io
