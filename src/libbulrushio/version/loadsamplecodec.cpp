#include "version/loadsamplecodec.h"

#include "process/jsonreader.h"
#include "process/limitvalue.h"
#include "process/scalartype.h"
#include "process/servernamelist.h"

#include <json/value.h>

#include <limits>
#include <string>
#include <utility>

namespace bulrush::io {

namespace {

Json::Value jsonOf(const ServerWork &work)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    Json::Value json;
    json["server"] = work.server.value();
    json["us"] = Json::Int64{duration_cast<microseconds>(work.meanTime).count()};
    json["count"] = work.count;
    return json;
}

Json::Value jsonOf(const LimitReport &report)
{
    Json::Value json;
    json["server"] = report.server.value();
    if (report.perSecond)
        json["perSecond"] = *report.perSecond;
    json["statedAgo"] = io::jsonOf(report.statedAgo);
    return json;
}

Json::Value jsonOf(const BackoffReport &report)
{
    Json::Value json;
    json["server"] = report.server.value();
    json["refused"] = report.refusedCount;
    json["left"] = io::jsonOf(report.left);
    return json;
}

Json::Value jsonOf(const LoadSample &sample)
{
    Json::Value keys{Json::arrayValue};
    for (const KeyPosition place : sample.keys)
        keys.append(place);
    Json::Value work{Json::arrayValue};
    for (const ServerWork &entry : sample.work)
        work.append(jsonOf(entry));
    Json::Value json;
    json["service"] = sample.service.value();
    json["keys"] = std::move(keys);
    json["work"] = std::move(work);
    json["ended"] = io::jsonOf(sample.ended);
    for (const LimitReport &report : sample.limits)
        json["limits"].append(jsonOf(report));
    for (const BackoffReport &report : sample.backoffs)
        json["backoffs"].append(jsonOf(report));
    if (!sample.leaving.empty())
        json["leaving"] = io::jsonOf(sample.leaving);
    return json;
}

std::optional<ServerWork> decodeWork(const Json::Value &json)
{
    JsonReader reader{json};
    ServerWork work;
    work.server = ServerName{reader.text("server")};
    work.meanTime = std::chrono::microseconds{reader.number("us")};
    const std::uint64_t count = reader.number("count");
    if (!reader.isValid() || count > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    work.count = static_cast<std::uint32_t>(count);
    return work;
}

std::optional<LimitReport> decodeLimit(const Json::Value &json)
{
    JsonReader reader{json};
    LimitReport report;
    report.server = ServerName{reader.text("server")};
    report.statedAgo = reader.span("statedAgo");
    if (!reader.isValid() || report.statedAgo < Duration::zero())
        return std::nullopt;
    if (!json.isMember("perSecond"))
        return report;
    report.perSecond = limitValue(json["perSecond"]);
    return report.perSecond ? std::optional{report} : std::nullopt;
}

std::optional<BackoffReport> decodeBackoff(const Json::Value &json)
{
    JsonReader reader{json};
    BackoffReport report;
    report.server = ServerName{reader.text("server")};
    const std::uint64_t refused = reader.number("refused");
    report.left = reader.span("left");
    if (!reader.isValid() || refused > std::numeric_limits<std::uint32_t>::max()
        || report.left < Duration::zero())
        return std::nullopt;
    report.refusedCount = static_cast<std::uint32_t>(refused);
    return report;
}

/**
 * \returns the list \a name of \a json, decoded by \a decode; empty if it is missing, as daemons of
 * older versions send none, and nothing if it is invalid.
 */
template<typename Entry>
std::optional<std::vector<Entry>>
decodeOptionalList(const Json::Value &json, const char *name,
                   std::optional<Entry> (*decode)(const Json::Value &))
{
    std::vector<Entry> entries;
    if (!json.isMember(name))
        return entries;
    JsonReader reader{json};
    for (const Json::Value &value : reader.list(name)) {
        std::optional<Entry> entry = decode(value);
        if (!entry)
            return std::nullopt;
        entries.push_back(std::move(*entry));
    }
    return reader.isValid() ? std::optional{std::move(entries)} : std::nullopt;
}

std::optional<LoadSample> decodeSample(const Json::Value &json)
{
    JsonReader reader{json};
    LoadSample sample;
    sample.service = ServiceName{reader.text("service")};
    for (const Json::Value &key : reader.list("keys")) {
        if (!key.isUInt() || key.asUInt() >= keyPositionCount)
            return std::nullopt;
        sample.keys.push_back(key.asUInt());
    }
    for (const Json::Value &entry : reader.list("work")) {
        std::optional<ServerWork> work = decodeWork(entry);
        if (!work)
            return std::nullopt;
        sample.work.push_back(std::move(*work));
    }
    sample.ended = readServerNames(reader, "ended");
    auto limits = decodeOptionalList<LimitReport>(json, "limits", decodeLimit);
    auto backoffs = decodeOptionalList<BackoffReport>(json, "backoffs", decodeBackoff);
    if (!limits || !backoffs)
        return std::nullopt;
    sample.limits = std::move(*limits);
    sample.backoffs = std::move(*backoffs);
    // Daemons of older versions send no such list.
    if (json.isMember("leaving"))
        sample.leaving = readServerNames(reader, "leaving");
    if (!reader.isValid())
        return std::nullopt;
    return sample;
}

} // namespace

std::string encodeLoadSamples(std::span<const LoadSample> samples)
{
    Json::Value list{Json::arrayValue};
    for (const LoadSample &sample : samples)
        list.append(jsonOf(sample));
    Json::Value json;
    json["samples"] = std::move(list);
    return toCompactJson(json);
}

std::optional<std::vector<LoadSample>> decodeLoadSamples(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    std::vector<LoadSample> samples;
    for (const Json::Value &entry : reader.list("samples")) {
        std::optional<LoadSample> sample = decodeSample(entry);
        if (!sample)
            return std::nullopt;
        samples.push_back(std::move(*sample));
    }
    if (!reader.isValid())
        return std::nullopt;
    return samples;
}

std::string encodeKeyShares(std::span<const KeyShares> shares)
{
    Json::Value json{Json::objectValue};
    for (const KeyShares &serviceShares : shares) {
        Json::Value &keys = json[serviceShares.service.value()];
        for (const KeyShare &share : serviceShares.shares)
            keys[std::to_string(share.key)] = share.share;
    }
    return toCompactJson(json);
}

std::optional<std::vector<KeyShares>> decodeKeyShares(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    if (!json.isObject())
        return std::nullopt;
    std::vector<KeyShares> all;
    for (const std::string &service : json.getMemberNames()) {
        if (!json[service].isObject())
            return std::nullopt;
        KeyShares serviceShares{ServiceName{service}, {}};
        for (const std::string &name : json[service].getMemberNames()) {
            const Json::Value &share = json[service][name];
            const auto key = wholeNumber(0, keyPositionCount - 1).parse(name);
            if (!key || !share.isNumeric() || !(share.asDouble() >= 0.0 && share.asDouble() <= 1.0))
                return std::nullopt;
            serviceShares.shares.push_back({static_cast<KeyPosition>(*key), share.asDouble()});
        }
        all.push_back(std::move(serviceShares));
    }
    return all;
}

} // namespace bulrush::io
