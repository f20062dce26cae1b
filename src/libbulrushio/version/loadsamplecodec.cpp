#include "version/loadsamplecodec.h"

#include "process/jsonreader.h"
#include "process/limitvalue.h"
#include "process/scalartype.h"
#include "process/servernamelist.h"

#include <json/value.h>

#include <algorithm>
#include <cmath>
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

/** Limit of the different priorities in one sample, as each has one digit. */
constexpr std::size_t maxSampledPriorities = 10;

/**
 * \returns the different values of \a priorities in ascending order and, if there are several, the
 * index of each priority as a digit. Priorities beyond the limit count as the least urgent value.
 */
Json::Value jsonOfPriorities(const std::vector<std::uint32_t> &priorities)
{
    std::vector<std::uint32_t> values = priorities;
    std::ranges::sort(values);
    values.erase(std::unique(values.begin(), values.end()), values.end());
    if (values.size() > maxSampledPriorities)
        values.resize(maxSampledPriorities);
    Json::Value json;
    for (const std::uint32_t value : values)
        json["values"].append(value);
    if (values.size() < 2)
        return json;
    std::string order;
    for (const std::uint32_t priority : priorities) {
        const auto index = std::ranges::lower_bound(values, priority) - values.begin();
        order += static_cast<char>('0' + std::min<std::ptrdiff_t>(index, std::ssize(values) - 1));
    }
    json["order"] = order;
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
    if (!sample.priorities.empty())
        json["priorities"] = jsonOfPriorities(sample.priorities);
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

/** \returns the numbers in \a list, or nothing if one is no priority. */
std::optional<std::vector<std::uint32_t>> decodePriorityValues(const Json::Value &list)
{
    std::vector<std::uint32_t> values;
    for (const Json::Value &value : list) {
        if (!value.isUInt())
            return std::nullopt;
        values.push_back(value.asUInt());
    }
    return values;
}

/** \returns the priorities of \a count keys, or nothing if \a json is invalid. */
std::optional<std::vector<std::uint32_t>> decodePriorities(const Json::Value &json,
                                                           std::size_t count)
{
    JsonReader reader{json};
    const auto values = decodePriorityValues(reader.list("values"));
    if (!reader.isValid() || !values || values->empty() || values->size() > maxSampledPriorities)
        return std::nullopt;
    if (values->size() == 1)
        return std::vector<std::uint32_t>(count, values->front());
    const std::string order = reader.text("order");
    if (!reader.isValid() || order.size() != count)
        return std::nullopt;
    std::vector<std::uint32_t> priorities;
    for (const char digit : order) {
        const auto index = static_cast<std::size_t>(digit - '0');
        if (digit < '0' || index >= values->size())
            return std::nullopt;
        priorities.push_back((*values)[index]);
    }
    return priorities;
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
    if (json.isMember("priorities")) {
        auto priorities = decodePriorities(json["priorities"], sample.keys.size());
        if (!priorities)
            return std::nullopt;
        sample.priorities = std::move(*priorities);
    }
    if (!reader.isValid())
        return std::nullopt;
    return sample;
}

/** Shares by priority are sent in thousandths, and loads of owners in hundredths. */
constexpr double shareSteps = 1000.0;
constexpr double loadSteps = 100.0;
/** Upper bound of a load, far above any that is measured. */
constexpr unsigned maxLoadSteps = 1'000'000;
/** Priorities for which shares are accepted; planners state at most four. */
constexpr std::size_t maxSharedPriorities = 16;

Json::Value jsonOfShares(const std::vector<double> &byPriority)
{
    Json::Value json{Json::arrayValue};
    for (const double share : byPriority)
        json.append(static_cast<unsigned>(std::lround(share * shareSteps)));
    return json;
}

/** Writes keys as members of their own, as daemons of older versions know only these. */
Json::Value jsonOf(const KeyShares &shares)
{
    Json::Value json{Json::objectValue};
    for (const KeyShare &share : shares.shares) {
        json[std::to_string(share.key)] = share.share;
        if (!share.byPriority.empty())
            json["hot"][std::to_string(share.key)] = jsonOfShares(share.byPriority);
    }
    for (const std::uint32_t priority : shares.priorities)
        json["priorities"].append(priority);
    for (const OwnerShare &share : shares.owners)
        json["owners"][share.owner.value()] = jsonOfShares(share.byPriority);
    for (const OwnerLoad &load : shares.loads)
        json["loads"][load.owner.value()] =
            static_cast<unsigned>(std::lround(load.load * loadSteps));
    return json;
}

/** \returns the \a count shares in \a json, or nothing if there are others. */
std::optional<std::vector<double>> decodeShares(const Json::Value &json, std::size_t count)
{
    if (!json.isArray() || json.size() != count || count == 0)
        return std::nullopt;
    std::vector<double> shares;
    for (const Json::Value &share : json) {
        if (!share.isUInt() || share.asUInt() > static_cast<unsigned>(shareSteps))
            return std::nullopt;
        shares.push_back(share.asUInt() / shareSteps);
    }
    return shares;
}

bool decodeHotShares(const Json::Value &json, KeyShares &shares)
{
    if (!json.isObject())
        return false;
    std::size_t known = 0;
    for (KeyShare &share : shares.shares) {
        const std::string name = std::to_string(share.key);
        if (!json.isMember(name))
            continue;
        auto byPriority = decodeShares(json[name], shares.priorities.size());
        if (!byPriority)
            return false;
        share.byPriority = std::move(*byPriority);
        ++known;
    }
    return known == json.size();
}

bool decodeOwnerShares(const Json::Value &json, KeyShares &shares)
{
    if (!json.isObject())
        return false;
    for (const std::string &owner : json.getMemberNames()) {
        auto byPriority = decodeShares(json[owner], shares.priorities.size());
        if (!byPriority)
            return false;
        shares.owners.push_back({ServerName{owner}, std::move(*byPriority)});
    }
    return true;
}

bool decodeOwnerLoads(const Json::Value &json, KeyShares &shares)
{
    if (!json.isObject())
        return false;
    for (const std::string &owner : json.getMemberNames()) {
        if (!json[owner].isUInt() || json[owner].asUInt() > maxLoadSteps)
            return false;
        shares.loads.push_back({ServerName{owner}, json[owner].asUInt() / loadSteps});
    }
    std::ranges::stable_sort(shares.loads, std::ranges::greater{}, &OwnerLoad::load);
    return true;
}

/** Decodes what was added after the first version. \returns whether it is valid. */
bool decodeDetails(const Json::Value &json, KeyShares &shares)
{
    if (json.isMember("priorities")) {
        auto priorities =
            json["priorities"].isArray() ? decodePriorityValues(json["priorities"]) : std::nullopt;
        if (!priorities || priorities->size() > maxSharedPriorities
            || std::ranges::adjacent_find(*priorities, std::ranges::greater_equal{})
                != priorities->end())
            return false;
        shares.priorities = std::move(*priorities);
    }
    return (!json.isMember("hot") || decodeHotShares(json["hot"], shares))
        && (!json.isMember("owners") || decodeOwnerShares(json["owners"], shares))
        && (!json.isMember("loads") || decodeOwnerLoads(json["loads"], shares));
}

std::optional<KeyShares> decodeServiceShares(const ServiceName &service, const Json::Value &json)
{
    if (!json.isObject())
        return std::nullopt;
    KeyShares shares{service, {}};
    for (const std::string &name : json.getMemberNames()) {
        const Json::Value &share = json[name];
        // Later versions may add other lists.
        if (share.isObject() || share.isArray())
            continue;
        const auto key = wholeNumber(0, keyPositionCount - 1).parse(name);
        if (!key || !share.isNumeric() || !(share.asDouble() >= 0.0 && share.asDouble() <= 1.0))
            return std::nullopt;
        shares.shares.push_back({static_cast<KeyPosition>(*key), share.asDouble()});
    }
    return decodeDetails(json, shares) ? std::optional{std::move(shares)} : std::nullopt;
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
    for (const KeyShares &serviceShares : shares)
        json[serviceShares.service.value()] = jsonOf(serviceShares);
    return toCompactJson(json);
}

std::optional<std::vector<KeyShares>> decodeKeyShares(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    if (!json.isObject())
        return std::nullopt;
    std::vector<KeyShares> all;
    for (const std::string &service : json.getMemberNames()) {
        std::optional<KeyShares> shares = decodeServiceShares(ServiceName{service}, json[service]);
        if (!shares)
            return std::nullopt;
        all.push_back(std::move(*shares));
    }
    return all;
}

} // namespace bulrush::io
