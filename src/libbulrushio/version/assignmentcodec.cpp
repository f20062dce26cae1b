#include "version/assignmentcodec.h"

#include <array>
#include <charconv>
#include <span>

namespace bulrush::io {

namespace {

constexpr std::size_t hashDigits = 16;
constexpr int hexBase = 16;

bool hasString(const Json::Value &json, const char *name)
{
    return json.isObject() && json[name].isString();
}

bool isSorted(const SliceOwner &before, const SliceOwner &after)
{
    if (before.service != after.service)
        return before.service < after.service;
    return before.range.end < after.range.begin;
}

bool isSorted(std::span<const SliceOwner> slices)
{
    for (std::size_t i = 1; i < slices.size(); ++i) {
        if (!isSorted(slices[i - 1], slices[i]))
            return false;
    }
    return true;
}

bool decodeSlices(const Json::Value &json, std::vector<SliceOwner> &slices)
{
    if (!json.isArray())
        return false;

    slices.reserve(json.size());
    for (const Json::Value &entry : json) {
        auto owner = decodeSliceOwner(entry);
        if (!owner)
            return false;
        slices.push_back(*std::move(owner));
    }
    return isSorted(slices);
}

bool decodeManagedServers(const Json::Value &json, std::vector<ManagedServer> &managedServers)
{
    if (!json.isArray())
        return false;

    for (const Json::Value &entry : json) {
        if (!hasString(entry, "server") || !hasString(entry, "attendant"))
            return false;
        managedServers.push_back(
            {ServerName{entry["server"].asString()}, Incarnation{entry["attendant"].asString()}});
    }
    return true;
}

} // namespace

std::string hashToHex(KeyHash hash)
{
    std::array<char, hashDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, hexBase).ptr;
    const std::string_view significant{digits.data(),
                                       static_cast<std::size_t>(end - digits.data())};
    return std::string(hashDigits - significant.size(), '0').append(significant);
}

std::optional<KeyHash> hashFromHex(std::string_view digits)
{
    KeyHash hash = 0;
    const char *const end = digits.data() + digits.size();
    const auto [parsedEnd, error] = std::from_chars(digits.data(), end, hash, hexBase);
    if (digits.size() != hashDigits || error != std::errc{} || parsedEnd != end)
        return std::nullopt;
    return hash;
}

Json::Value encodeFence(const Fence &fence)
{
    Json::Value json{Json::objectValue};
    json["epoch"] = Json::UInt64{fence.epoch};
    json["sequence"] = Json::UInt64{fence.sequence};
    return json;
}

std::optional<Fence> decodeFence(const Json::Value &json)
{
    if (!json.isObject() || !json["epoch"].isUInt64() || !json["sequence"].isUInt64())
        return std::nullopt;
    return Fence{json["epoch"].asUInt64(), json["sequence"].asUInt64()};
}

Json::Value encodeSliceOwner(const SliceOwner &owner)
{
    Json::Value json{Json::objectValue};
    json["service"] = owner.service.value();
    json["begin"] = hashToHex(owner.range.begin);
    json["end"] = hashToHex(owner.range.end);
    json["server"] = owner.server.value();
    json["fence"] = encodeFence(owner.fence);
    return json;
}

std::optional<SliceOwner> decodeSliceOwner(const Json::Value &json)
{
    if (!hasString(json, "service") || !hasString(json, "server") || !hasString(json, "begin")
        || !hasString(json, "end"))
        return std::nullopt;

    const auto begin = hashFromHex(json["begin"].asString());
    const auto end = hashFromHex(json["end"].asString());
    const auto fence = decodeFence(json["fence"]);
    if (!begin || !end || !fence || *begin > *end)
        return std::nullopt;

    return SliceOwner{ServiceName{json["service"].asString()}, SliceRange{*begin, *end},
                      ServerName{json["server"].asString()}, *fence};
}

Json::Value encodeAssignment(const Assignment &assignment)
{
    Json::Value json{Json::objectValue};
    json["domain"] = assignment.domain.value();
    json["version"] = encodeFence(assignment.version);
    json["slices"] = Json::Value{Json::arrayValue};
    for (const SliceOwner &owner : assignment.slices)
        json["slices"].append(encodeSliceOwner(owner));
    json["attendances"] = Json::Value{Json::arrayValue};
    for (const ManagedServer &managedServer : assignment.managedServers) {
        Json::Value entry{Json::objectValue};
        entry["server"] = managedServer.server.value();
        entry["attendant"] = managedServer.manager.value();
        json["attendances"].append(std::move(entry));
    }
    return json;
}

std::optional<Assignment> decodeAssignment(const Json::Value &json)
{
    if (!hasString(json, "domain"))
        return std::nullopt;

    const auto version = decodeFence(json["version"]);
    if (!version)
        return std::nullopt;

    Assignment assignment;
    assignment.domain = DomainName{json["domain"].asString()};
    assignment.version = *version;
    if (!decodeSlices(json["slices"], assignment.slices)
        || !decodeManagedServers(json["attendances"], assignment.managedServers))
        return std::nullopt;
    return assignment;
}

} // namespace bulrush::io
