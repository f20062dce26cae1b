#include "admission/serviceadmission.h"

#include "admission/keyadmission.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>

namespace bulrush {

namespace {

double sumOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/** Capacity of a server and its load, in requests per second; lists are by priority. */
struct Demand
{
    double capacity = 0.0;
    std::vector<double> hot;
    std::vector<double> others;
    std::vector<KeyPosition> hotKeys;
    /** Recent rate of the keys that are not hot. */
    double recentOthers = 0.0;

    double total() const;
};

double Demand::total() const
{
    return sumOf(hot) + sumOf(others);
}

using Demands = std::map<ServerName, Demand>;

/** The shares of the requests for one owner's keys, by priority. */
struct Shares
{
    std::vector<double> hot;
    std::vector<double> others;
};

/** Divides the rate of a key among the priorities. */
class PriorityMix
{
public:
    explicit PriorityMix(const std::vector<PriorityCounts> &counts)
        : m_counts(counts)
    {
        for (const PriorityCounts &entry : counts)
            m_sums.push_back(sumOf(entry.counts));
        m_total = sumOf(m_sums);
    }

    /** Adds the parts of \a rate of \a key to \a target. */
    void add(std::vector<double> &target, KeyPosition key, double rate) const
    {
        double sum = 0.0;
        for (const PriorityCounts &entry : m_counts)
            sum += entry.counts[key];
        // Priorities were counted for a shorter time than keys. The mix of the service applies to
        // keys without such counts.
        for (std::size_t i = 0; i < m_counts.size(); ++i) {
            const double part =
                sum > 0.0 ? m_counts[i].counts[key] / sum : m_sums[i] / std::max(m_total, minTotal);
            target[i] += rate * part;
        }
    }

private:
    static constexpr double minTotal = 1e-9;

    const std::vector<PriorityCounts> &m_counts;
    std::vector<double> m_sums;
    double m_total = 0.0;
};

void addKeys(Demand &demand, const KeyRange &range, const AdmissionTraffic &traffic,
             const PriorityMix &mix)
{
    const double hotFrom =
        std::max(KeyAdmission::hotRate, KeyAdmission::hotFraction * demand.capacity);
    for (KeyPosition key = range.first; key <= range.last; ++key) {
        const double rate = traffic.all.rates[key];
        if (rate >= hotFrom) {
            mix.add(demand.hot, key, rate);
            demand.hotKeys.push_back(key);
            continue;
        }
        demand.recentOthers += traffic.recent.rates[key];
        if (rate > 0.0)
            mix.add(demand.others, key, rate);
    }
}

/** Replaces the steady rate of keys that are not hot if the recent one clearly differs from it. */
void followRecentRate(Demand &demand, double recentSeconds)
{
    const double steady = sumOf(demand.others);
    if (steady <= 0.0)
        return;
    const double deviation = std::sqrt(steady / recentSeconds);
    if (std::abs(demand.recentOthers - steady)
        <= ServiceAdmission::significantDeviations * deviation)
        return;
    for (double &rate : demand.others)
        rate *= demand.recentOthers / steady;
}

Demands demandsOf(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                  const AdmissionTraffic &traffic)
{
    const std::size_t count = traffic.byPriority.size();
    const PriorityMix mix{traffic.byPriority};
    Demands demands;
    for (const KeyServer &server : servers)
        demands[server.id] = {server.usableCapacity(),
                              std::vector<double>(count, 0.0),
                              std::vector<double>(count, 0.0),
                              {},
                              0.0};
    for (const OwnedRange &owned : assignment.ranges) {
        const auto demand = demands.find(owned.owner);
        if (demand != demands.end())
            addKeys(demand->second, owned.range, traffic, mix);
    }
    for (auto &[server, demand] : demands)
        followRecentRate(demand, traffic.recent.countedSeconds);
    return demands;
}

/** \returns \a admitted divided by priority: \a least of each, and the rest in their order. */
std::vector<double> fill(const Demand &demand, double admitted, double least)
{
    double left = admitted - least * demand.total();
    std::vector<double> shares;
    for (std::size_t i = 0; i < demand.hot.size(); ++i) {
        const double rate = demand.hot[i] + demand.others[i];
        const double more = std::clamp(left, 0.0, (1.0 - least) * rate);
        left -= more;
        shares.push_back(rate > 0.0 ? least + more / rate : least);
    }
    return shares;
}

/** \returns the shares of hot and other keys that together admit \a admitted requests/s. */
Shares sharesOf(const Demand &demand, double admitted)
{
    const double mean = admitted / demand.total();
    const double least = std::max(ServiceAdmission::minPartOfMean * mean, KeyAdmission::minShare);
    const std::vector<double> filled = fill(demand, admitted, least);
    Shares shares;
    double maxHot = 1.0;
    double maxOthers = 1.0;
    for (std::size_t i = 0; i < filled.size(); ++i) {
        const double hot = demand.hot[i];
        const double others = demand.others[i];
        const double rate = filled[i] * (hot + others);
        if (others > 0.0)
            maxOthers = std::clamp((rate - least * hot) / others, least, maxOthers);
        if (hot > 0.0)
            maxHot = std::clamp((rate - maxOthers * others) / hot, least, maxHot);
        shares.others.push_back(maxOthers);
        shares.hot.push_back(maxHot);
    }
    return shares;
}

/** \returns the fraction of all requests for the hot keys, for daemons that know no priorities. */
double meanShare(const std::vector<double> &rates, const std::vector<double> &shares)
{
    double admitted = 0.0;
    for (std::size_t i = 0; i < rates.size(); ++i)
        admitted += rates[i] * shares[i];
    return std::clamp(admitted / sumOf(rates), 0.0, 1.0);
}

bool isLimiting(const std::vector<double> &shares)
{
    return std::ranges::any_of(shares, [](double share) { return share < 1.0; });
}

/** Limits the requests for the keys of \a server. */
void limit(ServiceAdmission::Decision &decision, const ServerName &server, const Demand &demand)
{
    const double admitted = ServiceAdmission::admittedFraction * demand.capacity;
    if (demand.total() <= admitted)
        return;
    Shares shares = sharesOf(demand, admitted);
    decision.limited.push_back(server);
    if (!demand.hotKeys.empty() && isLimiting(shares.hot)) {
        const double mean = meanShare(demand.hot, shares.hot);
        for (const KeyPosition key : demand.hotKeys)
            decision.shares.shares.push_back({key, mean, shares.hot});
    }
    if (isLimiting(shares.others))
        decision.shares.owners.push_back({server, std::move(shares.others)});
}

std::vector<OwnerLoad> loadsToList(std::vector<OwnerLoad> loads)
{
    std::erase_if(loads,
                  [](const OwnerLoad &load) { return load.load < ServiceAdmission::nearCapacity; });
    std::ranges::stable_sort(loads, std::ranges::greater{}, &OwnerLoad::load);
    if (loads.size() > ServiceAdmission::maxLoads)
        loads.resize(ServiceAdmission::maxLoads);
    return loads;
}

double loadOf(double demand, double capacity)
{
    if (demand <= 0.0)
        return 0.0;
    return demand < ServiceAdmission::maxLoad * capacity ? demand / capacity
                                                         : ServiceAdmission::maxLoad;
}

/** The decision if all requests have the same priority. */
ServiceAdmission::Decision decideWithoutPriorities(const KeyAssignment &assignment,
                                                   std::span<const KeyServer> servers,
                                                   const KeyTraffic &traffic)
{
    ServiceAdmission::Decision decision{KeyAdmission::shares(assignment, servers, traffic), {}};
    if (traffic.rates.empty())
        return decision;
    const RateSums sums{traffic.rates};
    std::map<ServerName, double> demands;
    for (const OwnedRange &owned : assignment.ranges)
        demands[owned.owner] += sums.of(owned.range);
    for (const KeyServer &server : servers)
        decision.shares.loads.push_back(
            {server.id, loadOf(demands[server.id], server.usableCapacity())});
    decision.shares.loads = loadsToList(std::move(decision.shares.loads));
    for (const KeyShare &share : decision.shares.shares) {
        const OwnedRange *owned = assignment.find(share.key);
        if (owned && std::ranges::find(decision.limited, owned->owner) == decision.limited.end())
            decision.limited.push_back(owned->owner);
    }
    return decision;
}

} // namespace

ServiceAdmission::Decision ServiceAdmission::decide(const KeyAssignment &assignment,
                                                    std::span<const KeyServer> servers,
                                                    const AdmissionTraffic &traffic)
{
    if (traffic.byPriority.empty() || traffic.all.rates.empty())
        return decideWithoutPriorities(assignment, servers, traffic.all);
    Decision decision{{assignment.service, {}}, {}};
    for (const PriorityCounts &entry : traffic.byPriority)
        decision.shares.priorities.push_back(entry.priority);
    for (const auto &[server, demand] : demandsOf(assignment, servers, traffic)) {
        limit(decision, server, demand);
        decision.shares.loads.push_back({server, loadOf(demand.total(), demand.capacity)});
    }
    if (decision.limited.empty())
        decision.shares.priorities.clear();
    decision.shares.loads = loadsToList(std::move(decision.shares.loads));
    return decision;
}

} // namespace bulrush
