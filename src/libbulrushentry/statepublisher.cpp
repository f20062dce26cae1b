#include "statepublisher.h"

#include "pacing/slowstart.h"
#include "platform/configrow.h"
#include "platform/serverrow.h"
#include "platform/tables.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

template<typename Budget>
ConfirmationDelays confirmationDelays(const Budget &budget)
{
    return {budget.askAlternatesAfter(), budget.confirmAfter(), budget.confirmTimeout()};
}

/**
 * Changes of the configuration are rare and reported at once. Confirmations limit the time for
 * which a lost answer can hide a change.
 */
FollowTimings configTimings(const ConfigBudget &budget)
{
    constexpr Duration wait = std::chrono::seconds{10};
    return {wait, {}, budget.readerConfirmAfter(), confirmationDelays(budget)};
}

/** Starting servers write often, so reads are spaced out, but a leaving server must be seen in
 * time. */
FollowTimings serverTimings(const DrainBudget &budget)
{
    return {budget.readerPollTimeout(), budget.minReadInterval(), budget.askAlternatesAfter(),
            confirmationDelays(budget)};
}

std::map<ServiceName, ColdStart> coldStartsOf(const RoutingConfig &config)
{
    std::map<ServiceName, ColdStart> coldStarts;
    for (const RoutedService &service : config.services) {
        if (service.coldStart)
            coldStarts[service.name] = *service.coldStart;
    }
    return coldStarts;
}

} // namespace

StatePublisher::StatePublisher(const FollowerDependencies &deps, HostName self,
                               const Budgets &budgets, PublishHandler publish,
                               FreshnessHandler freshnessHandler)
    : m_publish(std::move(publish))
    , m_freshnessHandler(std::move(freshnessHandler))
    , m_configs(deps, std::string{platform::operatorTable}, configTimings(budgets.configs))
    , m_servers(deps, std::string{platform::serverTable}, serverTimings(budgets.servers))
    , m_directory(budgets.records)
    , m_self(std::move(self))
{ }

const TableFollower *StatePublisher::follower(std::string_view table) const
{
    if (table == m_configs.table())
        return &m_configs;
    return table == m_servers.table() ? &m_servers : nullptr;
}

Instant StatePublisher::serversConfirmedAt() const
{
    return m_servers.confirmedAt();
}

void StatePublisher::setServersHandler(std::function<void()> handler)
{
    m_serversHandler = std::move(handler);
}

void StatePublisher::start()
{
    m_configs.start([this](const TableChange &change) { applyOperatorRows(change); },
                    [this](Instant) { reportFreshness(); });
    m_servers.start([this](const TableChange &change) { applyServers(change); },
                    [this](Instant) { reportFreshness(); });
}

void StatePublisher::setAssignment(KeyAssignment assignment)
{
    const ServiceName service = assignment.service;
    m_assignments[service] = std::make_shared<const KeyAssignment>(std::move(assignment));
    publish();
}

void StatePublisher::setDaemons(std::vector<DaemonLocation> daemons,
                                std::vector<RelayDaemon> relays)
{
    if (m_daemons == daemons && m_relays == relays)
        return;
    m_daemons = std::move(daemons);
    m_relays = std::move(relays);
    publish();
}

void StatePublisher::recordServerStopped(const ServerName &id)
{
    if (!m_directory.markStopped(id, io::hostNow()))
        return;
    io::logEvent(LogLevel::Info, "server-replaced", {{"server", id.value()}});
    publish();
}

void StatePublisher::recordServerLeaving(const ServerName &id)
{
    if (!m_directory.markLeaving(id, io::hostNow()))
        return;
    io::logEvent(LogLevel::Info, "server-leaving", {{"server", id.value()}, {"source", "report"}});
    publish();
}

void StatePublisher::advance(Instant now)
{
    advanceEvacuations(now);
    if (m_directory.advance(now))
        publish();
    reportFreshness();
}

void StatePublisher::applyOperatorRows(const TableChange &change)
{
    for (const platform::StoreRow &row : change.rows) {
        if (row.key == platform::configKey && !row.isRemoved)
            applyConfig(row, change);
    }
    if (change.isRestored)
        m_evacuationsDueAt = io::hostNow() + operatorRewritePeriod;
    applyEvacuations(change);
}

void StatePublisher::applyEvacuations(const TableChange &change)
{
    // Rows that the store restored may be older than what is known here.
    const bool mayBeOutdated = change.isComplete && m_evacuationsDueAt;
    for (const platform::StoreRow &row : change.rows) {
        if (!row.key.starts_with(platform::evacuationPrefix))
            continue;
        const DomainName domain{row.key.substr(platform::evacuationPrefix.size())};
        if (!mayBeOutdated || !m_directory.hasReturned(domain))
            applyEvacuation(row, change);
    }
    if (change.isComplete && !mayBeOutdated)
        applyMissingEvacuations(change);
}

/** Follows the restored rows of evacuations, once operators had time to write theirs again. */
void StatePublisher::advanceEvacuations(Instant now)
{
    if (!m_evacuationsDueAt || now < *m_evacuationsDueAt || !m_configs.hasRows())
        return;
    m_evacuationsDueAt.reset();
    RelayedRows all = m_configs.rowsSince({}, now);
    applyEvacuations({std::move(all.rows), all.version, true, false, m_configs.confirmedAt()});
}

void StatePublisher::applyConfig(const platform::StoreRow &row, const TableChange &change)
{
    std::variant<RoutingConfig, std::string> decoded = platform::decodeConfig(row.value);
    if (const auto *problem = std::get_if<std::string>(&decoded)) {
        io::logEvent(LogLevel::Error, "config-unreadable", {{"problem", *problem}});
        return;
    }
    auto &config = std::get<RoutingConfig>(decoded);
    const std::uint64_t known = m_routes ? m_routes->config().version : 0;
    if (config.version <= known)
        return;
    io::logEvent(
        LogLevel::Info, "config-adopted",
        {{"version", std::to_string(config.version)},
         {"before", std::to_string(known)},
         {"row", toString(row.version)},
         {"source", m_configs.source()},
         {"unchanged-until-ms-ago", io::millisecondsText(io::hostNow() - change.unchangedUntil)}});
    m_directory.setColdStarts(coldStartsOf(config));
    m_routes = std::make_shared<const RouteTable>(std::move(config));
    m_routesAppliedAt = io::hostNow();
    m_routesUnchangedUntil = change.unchangedUntil;
    publish();
}

/** Applies an operators' row about one failure domain. Its existence counts, not its value. */
void StatePublisher::applyEvacuation(const platform::StoreRow &row, const TableChange &change)
{
    const DomainName domain{row.key.substr(platform::evacuationPrefix.size())};
    if (row.isRemoved) {
        applyReturn(domain);
        return;
    }
    if (m_directory.evacuations().contains(domain))
        return;
    const Instant now = io::hostNow();
    m_directory.applyEvacuation(domain, now, change.unchangedUntil);
    const auto servers = std::ranges::count_if(m_directory.servers(), [&](const auto &entry) {
        return entry.second.record.domain == domain && !entry.second.removedSince;
    });
    io::logEvent(servers == 0 ? LogLevel::Warning : LogLevel::Info, "evacuation-began",
                 {{"domain", domain.value()},
                  {"servers", std::to_string(servers)},
                  {"row", toString(row.version)},
                  {"source", m_configs.source()},
                  {"unchanged-until-ms-ago", io::millisecondsText(now - change.unchangedUntil)}});
    publish();
}

/** Ends evacuations whose rows are missing from the complete table. */
void StatePublisher::applyMissingEvacuations(const TableChange &change)
{
    std::vector<DomainName> returned;
    for (const auto &[domain, evacuation] : m_directory.evacuations()) {
        const std::string key = std::string{platform::evacuationPrefix} + domain.value();
        if (std::ranges::find(change.rows, key, &platform::StoreRow::key) == change.rows.end())
            returned.push_back(domain);
    }
    for (const DomainName &domain : returned)
        applyReturn(domain);
}

void StatePublisher::applyReturn(const DomainName &domain)
{
    const Instant now = io::hostNow();
    const auto evacuation = m_directory.evacuations().find(domain);
    const bool wasKnown = evacuation != m_directory.evacuations().end();
    io::logEvent(
        LogLevel::Info, "evacuation-ended",
        {{"domain", domain.value()},
         {"after-ms",
          wasKnown ? io::millisecondsText(now - evacuation->second.receivedAt) : "unknown"}});
    m_directory.applyReturn(domain, now);
    publish();
}

std::string StatePublisher::configMetrics(Instant now) const
{
    const auto seconds = [now](Instant since) {
        return std::to_string(std::chrono::duration<double>(now - since).count()) + '\n';
    };
    if (!m_routes)
        return "bulrush_config_version 0\n";
    return "bulrush_config_version " + std::to_string(m_routes->config().version)
        + "\nbulrush_config_in_force_seconds " + seconds(m_routesAppliedAt)
        + "bulrush_config_confirmed_age_seconds " + seconds(m_configs.confirmedAt());
}

void StatePublisher::applyServers(const TableChange &change)
{
    const Instant now = io::hostNow();
    std::vector<ServerRecord> records;
    // In order, as one answer of the store may have several changes of a row, the removal last.
    for (const platform::StoreRow &row : change.rows) {
        if (row.isRemoved) {
            m_directory.remove(ServerName{row.key}, now);
            io::logEvent(LogLevel::Info, "server-gone", {{"server", row.key}});
            continue;
        }
        std::optional<ServerRecord> record = platform::decodeServerRecord(row.key, row.value);
        if (!record) {
            // A row that can't be decoded describes no server, even if its previous value did.
            m_directory.remove(ServerName{row.key}, now);
            io::logEvent(LogLevel::Error, "server-unreadable",
                         {{"server", row.key}, {"row", toString(row.version)}});
            continue;
        }
        logServerChange(*record, row.version, change);
        if (change.isComplete)
            records.push_back(std::move(*record));
        else
            m_directory.applyRecord(*record, now, change.unchangedUntil);
    }
    if (change.isRestored)
        m_directory.applyRestored(records, now, change.unchangedUntil);
    else if (change.isComplete)
        m_directory.applyAll(records, change.isAfterOutage, now, change.unchangedUntil);
    m_hasServers = true;
    publish();
    if (m_serversHandler)
        m_serversHandler();
}

/** Logs a server that is new, has returned or become cold, or has started or stopped draining. */
void StatePublisher::logServerChange(const ServerRecord &record, const StoreVersion &row,
                                     const TableChange &change) const
{
    const KnownServer *known = m_directory.find(record.id);
    const Instant now = io::hostNow();
    const bool becomesCold =
        known && record.coldRemaining > Duration::zero() && !known->isCold(now);
    const bool isOutdated = known && record.sequence < known->record.sequence;
    const bool isUnchanged = known && known->record.isDraining == record.isDraining
        && !known->removedSince && !becomesCold;
    if (isOutdated || isUnchanged)
        return;
    // The server wrote its row between the instants of the last two fields.
    io::logEvent(LogLevel::Info, "server-seen",
                 {{"server", record.id.value()},
                  {"service", record.service.value()},
                  {"address", toString(record.address)},
                  {"draining", record.isDraining ? "yes" : "no"},
                  {"cold-ms", io::millisecondsText(record.coldRemaining)},
                  {"row", toString(row)},
                  {"source", m_servers.source()},
                  {"unchanged-until-ms-ago", io::millisecondsText(now - change.unchangedUntil)},
                  {"told-ms-ago", io::millisecondsText(now - m_servers.confirmedAt())}});
}

void StatePublisher::reportFreshness()
{
    const RoutingDataFreshness freshness{{m_servers.confirmedAt(), m_servers.isStoreUnreachable()},
                                         {m_configs.confirmedAt(), m_configs.isStoreUnreachable()}};
    if (freshness == m_reportedFreshness)
        return;
    const DataFreshness &servers = freshness.servers;
    if (servers.isStoreUnreachable != m_reportedFreshness.servers.isStoreUnreachable)
        io::logEvent(LogLevel::Info, "servers-confirmable",
                     {{"by", servers.isStoreUnreachable ? "nobody" : m_servers.source()},
                      {"age-ms", io::millisecondsText(io::hostNow() - servers.asOf)}});
    const DataFreshness &operatorRows = freshness.operatorRows;
    if (operatorRows.isStoreUnreachable != m_reportedFreshness.operatorRows.isStoreUnreachable)
        io::logEvent(LogLevel::Info, "evacuations-confirmable",
                     {{"by", operatorRows.isStoreUnreachable ? "nobody" : m_configs.source()},
                      {"evacuated", std::to_string(m_directory.evacuations().size())},
                      {"age-ms", io::millisecondsText(io::hostNow() - operatorRows.asOf)}});
    m_reportedFreshness = freshness;
    m_freshnessHandler(freshness);
}

void StatePublisher::publish()
{
    auto state = std::make_shared<RoutingState>();
    state->routes = m_routes;
    state->routesAppliedAt = m_routesAppliedAt;
    state->routesUnchangedUntil = m_routesUnchangedUntil;
    state->assignments = m_assignments;
    state->daemonCount = daemonCount();
    state->relays = m_relays;
    const Instant now = io::hostNow();
    for (const auto &[id, server] : m_directory.servers()) {
        if (server.removedSince)
            continue;
        state->servers[server.record.service].push_back(server);
        if (!m_daemons || !SlowStart::isActive(server, now))
            continue;
        if (const auto rank = SlowStart::rankOf(server.record, m_self, *m_daemons))
            state->slowStartRanks[id] = *rank;
    }
    m_publish(std::move(state));
}

/** \returns the number of daemons, including this one; 0 if it is unknown. */
std::size_t StatePublisher::daemonCount() const
{
    if (!m_daemons)
        return 0;
    const bool hasSelf =
        std::ranges::find(*m_daemons, m_self, &DaemonLocation::host) != m_daemons->end();
    return m_daemons->size() + (hasSelf ? 0 : 1);
}

} // namespace bulrush
