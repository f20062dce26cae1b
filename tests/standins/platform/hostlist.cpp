#include "platform/hostlist.h"

#include <algorithm>
#include <utility>

namespace bulrush::standins {

namespace {

void applyChange(Json::Value &hosts, const Json::Value &change)
{
    Json::Value result{Json::arrayValue};
    Json::Value changed{Json::objectValue};
    for (const Json::Value &host : hosts) {
        if (host["name"] == change["name"])
            changed = host;
        else
            result.append(host);
    }
    for (const std::string &member : change.getMemberNames())
        changed[member] = change[member];
    if (changed["state"] != "gone")
        result.append(changed);
    hosts = std::move(result);
}

} // namespace

HostList::HostList(Json::Value initial, std::chrono::milliseconds lag)
    : m_lag(lag)
    , m_snapshots{Snapshot{TimePoint::min(), std::move(initial)}}
{ }

bool HostList::applyChanges(const Json::Value &changes, TimePoint now)
{
    const auto isNamed = [](const Json::Value &entry) {
        return entry.isObject() && entry["name"].isString();
    };
    if (!changes.isArray() || !std::all_of(changes.begin(), changes.end(), isNamed))
        return false;

    Json::Value hosts = m_snapshots.back().hosts;
    for (const Json::Value &entry : changes)
        applyChange(hosts, entry);
    m_snapshots.push_back(Snapshot{now, std::move(hosts)});
    return true;
}

Json::Value HostList::toJson(TimePoint now)
{
    const TimePoint asOf = now - m_lag;
    while (m_snapshots.size() > 1 && m_snapshots[1].validFrom <= asOf)
        m_snapshots.pop_front();

    Json::Value answer;
    answer["ageMs"] = Json::Int64{m_lag.count()};
    answer["hosts"] = m_snapshots.front().hosts;
    return answer;
}

} // namespace bulrush::standins
