#include "admission/keyadmission.h"

#include <algorithm>
#include <map>
#include <vector>

namespace bulrush {

namespace {

/** Capacity of a server and its load from hot and other keys, in requests per second. */
struct Demand
{
    double capacity = 0.0;
    double hot = 0.0;
    double others = 0.0;
    std::vector<KeyPosition> hotKeys;
};

void addKeys(Demand &demand, const KeyRange &range, const KeyTraffic &traffic)
{
    const double hotFrom =
        std::max(KeyAdmission::hotRate, KeyAdmission::hotFraction * demand.capacity);
    for (KeyPosition key = range.first; key <= range.last; ++key) {
        const double rate = traffic.rates[key];
        if (rate < hotFrom) {
            demand.others += rate;
            continue;
        }
        demand.hot += rate;
        demand.hotKeys.push_back(key);
    }
}

} // namespace

KeyShares KeyAdmission::shares(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                               const KeyTraffic &traffic)
{
    KeyShares result{assignment.service, {}};
    if (traffic.rates.empty())
        return result;
    std::map<ServerName, Demand> demands;
    for (const KeyServer &server : servers)
        demands[server.id].capacity = server.usableCapacity();
    for (const OwnedRange &owned : assignment.ranges) {
        const auto demand = demands.find(owned.owner);
        if (demand != demands.end())
            addKeys(demand->second, owned.range, traffic);
    }
    for (const auto &[server, demand] : demands) {
        const double admitted = admittedFraction * demand.capacity;
        if (demand.hotKeys.empty() || demand.hot + demand.others <= admitted)
            continue;
        // Other keys are not limited; if their load is too high, the planner moves them.
        const double hotLoad = std::max(0.0, admitted - demand.others);
        const double share = std::clamp(hotLoad / demand.hot, minShare, 1.0);
        for (const KeyPosition key : demand.hotKeys)
            result.shares.push_back({key, share});
    }
    return result;
}

} // namespace bulrush
