#include "daemonstatus.h"

#include "jsontext.h"

namespace bulrush::ctl {

namespace {

bool isTrue(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isBool() && object[name].asBool();
}

template<typename Id>
Id nameIn(const Json::Value &object, const char *name)
{
    return Id{stringIn(object, name)};
}

LeaderView decodeLeader(const Json::Value &json)
{
    return {nameIn<DomainName>(json, "domain"), nameIn<Incarnation>(json, "holder"),
            numberIn(json, "epoch"), isTrue(json, "isSelf"), isTrue(json, "platformLease")};
}

AssignmentView decodeAssignmentView(const Json::Value &json)
{
    return {nameIn<DomainName>(json, "domain"),
            Fence{numberIn(json, "epoch"), numberIn(json, "sequence")}, numberIn(json, "slices"),
            numberIn(json, "servers")};
}

ServerView decodeServerRecord(const Json::Value &json)
{
    return {nameIn<ServerName>(json, "name"), nameIn<Incarnation>(json, "attendant"),
            numberIn(json, "inFlight"), numberIn(json, "slices"), isTrue(json, "lost")};
}

PeerView decodePeer(const Json::Value &json)
{
    return {nameIn<HostName>(json, "host"), nameIn<DomainName>(json, "domain"),
            nameIn<Incarnation>(json, "incarnation"), stringIn(json, "state")};
}

template<typename Key>
void decodeNumbers(const Json::Value &object, std::map<Key, std::uint64_t> &numbers)
{
    if (!object.isObject())
        return;
    for (const std::string &name : object.getMemberNames())
        numbers.emplace(Key{name}, numberIn(object, name.c_str()));
}

template<typename View>
void decodeList(const Json::Value &array, View (*decode)(const Json::Value &),
                std::vector<View> &views)
{
    for (const Json::Value &entry : array)
        views.push_back(decode(entry));
}

} // namespace

std::optional<DaemonStatus> decodeDaemonStatus(const Json::Value &json)
{
    if (stringIn(json, "host").empty())
        return std::nullopt;

    DaemonStatus status;
    status.host = nameIn<HostName>(json, "host");
    status.domain = nameIn<DomainName>(json, "domain");
    status.incarnation = nameIn<Incarnation>(json, "incarnation");
    status.isLeaving = isTrue(json, "leaving");
    status.isReady = !json.isMember("ready") || isTrue(json, "ready");
    if (json["currentAsOfMs"].isUInt64())
        status.currentAsOfMs = json["currentAsOfMs"].asUInt64();
    decodeNumbers(json["contracts"], status.contracts);
    decodeNumbers(json["counters"], status.counters);
    decodeList(arrayIn(json, "stewards"), decodeLeader, status.leaders);
    decodeList(arrayIn(json, "assignments"), decodeAssignmentView, status.assignments);
    decodeList(arrayIn(json, "servers"), decodeServerRecord, status.servers);
    decodeList(arrayIn(json, "peers"), decodePeer, status.peers);
    return status;
}

} // namespace bulrush::ctl
