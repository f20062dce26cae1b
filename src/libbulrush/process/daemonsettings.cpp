#include "process/daemonsettings.h"

#include <algorithm>
#include <set>

namespace bulrush {

namespace {

std::string inMilliseconds(Duration span)
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(span).count()) + "ms";
}

std::string fieldOf(std::string_view list, std::size_t index, std::string_view field)
{
    return std::string{list} + "[" + std::to_string(index) + "]." + std::string{field};
}

/** Collects the problems in the settings of one daemon. */
class SettingsCheck
{
public:
    explicit SettingsCheck(const DaemonSettings &settings)
        : m_settings(settings)
        , m_domains(settings.domains.begin(), settings.domains.end())
    { }

    FieldProblems run();

private:
    void checkDomains();
    void checkDomain(const DomainName &domain, const std::string &field);
    void checkAddresses();
    void checkSeeds();
    void checkServers();
    void checkOrder();
    void checkPromise();
    void checkRecovery();
    std::string domainNames() const;

    const DaemonSettings &m_settings;
    std::set<DomainName> m_domains;
    FieldProblems m_problems;
};

FieldProblems SettingsCheck::run()
{
    checkDomain(m_settings.domain, "domain");
    checkDomains();
    checkAddresses();
    checkSeeds();
    checkServers();
    checkOrder();
    checkPromise();
    checkRecovery();
    return std::move(m_problems);
}

void SettingsCheck::checkDomains()
{
    std::set<DomainName> seen;
    for (std::size_t i = 0; i < m_settings.domains.size(); ++i) {
        const DomainName &domain = m_settings.domains[i];
        if (!seen.insert(domain).second)
            m_problems.push_back({"domains[" + std::to_string(i) + "]",
                                  "\"" + domain.value() + "\" is named twice",
                                  "each failure domain once"});
    }
}

void SettingsCheck::checkDomain(const DomainName &domain, const std::string &field)
{
    if (!m_domains.contains(domain))
        m_problems.push_back(
            {field, "there is no failure domain \"" + domain.value() + "\"", domainNames()});
}

void SettingsCheck::checkAddresses()
{
    const ListenAddresses &addresses = m_settings.addresses;
    const auto clashes = [](const Endpoint &first, const Endpoint &second) {
        return first.port != 0 && first == second;
    };
    if (clashes(addresses.peers, addresses.callers))
        m_problems.push_back({"addresses.peers",
                              "is the address for callers, who must not reach it",
                              "an address and port of its own"});
    if (clashes(addresses.operators, addresses.callers)
        || clashes(addresses.operators, addresses.peers))
        m_problems.push_back({"addresses.operators", "is the address for callers or peers",
                              "an address and port of its own"});
}

void SettingsCheck::checkSeeds()
{
    std::set<HostName> seen;
    for (std::size_t i = 0; i < m_settings.seeds.size(); ++i) {
        const PeerSeed &seed = m_settings.seeds[i];
        checkDomain(seed.domain, fieldOf("seeds", i, "domain"));
        if (!seen.insert(seed.host).second)
            m_problems.push_back({fieldOf("seeds", i, "host"),
                                  "\"" + seed.host.value() + "\" is the host of a seed above",
                                  "each host once"});
        if (seed.host == m_settings.host && seed.domain != m_settings.domain)
            m_problems.push_back(
                {fieldOf("seeds", i, "domain"),
                 "is not the failure domain that this host is in by its own settings",
                 m_settings.domain.value()});
    }
}

void SettingsCheck::checkServers()
{
    std::set<ServerName> names;
    std::set<Endpoint> addresses;
    for (std::size_t i = 0; i < m_settings.servers.size(); ++i) {
        const BackendServer &server = m_settings.servers[i];
        checkDomain(server.domain, fieldOf("servers", i, "domain"));
        if (!names.insert(server.name).second)
            m_problems.push_back({fieldOf("servers", i, "name"),
                                  "\"" + server.name.value() + "\" is the name of a server above",
                                  "a name of its own"});
        if (!addresses.insert(server.address).second)
            m_problems.push_back({fieldOf("servers", i, "address"),
                                  "is the address of a server above",
                                  "each address once, so that no server is counted as two"});
        if (server.connectionLimit < server.slots)
            m_problems.push_back({fieldOf("servers", i, "connectionLimit"),
                                  "is lower than slots, so that some slots could never be used",
                                  "at least " + std::to_string(server.slots)});
    }
}

void SettingsCheck::checkOrder()
{
    const LeaseTimings &leases = m_settings.leases;
    if (leases.routingLease <= leases.renewEvery)
        m_problems.push_back(
            {"leases.routingLease",
             "would lapse before it is renewed every " + inMilliseconds(leases.renewEvery),
             "longer than renewEvery"});
    if (leases.stewardLease <= leases.routingLease)
        m_problems.push_back({"leases.stewardLease",
                              "is no longer than the routing lease of "
                                  + inMilliseconds(leases.routingLease)
                                  + ", which a steward gives for less than is left of its own",
                              "longer than routingLease"});
}

void SettingsCheck::checkPromise()
{
    const LeaseTimings &leases = m_settings.leases;
    if (leases.promise <= stretched(leases.stewardLease, leases.driftPpm))
        m_problems.push_back({"leases.promise",
                              "would end before the steward's lease that it is to extend",
                              "longer than stewardLease and the drift of clocks in it"});
}

void SettingsCheck::checkRecovery()
{
    const Duration budget = recoveryBudget(m_settings.leases);
    if (budget < recoveryBound)
        return;

    m_problems.push_back(
        {"leases",
         "stewardLease + routingLease + deadlineCap with the drift of clocks come to "
             + inMilliseconds(budget) + ", and a key is to be served again before that",
         "less than " + inMilliseconds(recoveryBound) + " in all"});
}

std::string SettingsCheck::domainNames() const
{
    std::string names;
    for (const DomainName &domain : m_domains)
        names += (names.empty() ? "" : ", ") + domain.value();
    return names.empty() ? "a name out of domains, which is empty" : names;
}

} // namespace

Duration recoveryBudget(const LeaseTimings &leases)
{
    return stretched(leases.stewardLease, leases.driftPpm)
        + stretched(leases.routingLease, leases.driftPpm)
        + stretched(leases.deadlineCap, leases.driftPpm);
}

FieldProblems problemsOf(const DaemonSettings &settings)
{
    return SettingsCheck{settings}.run();
}

} // namespace bulrush
