#include "statepublisher.h"

#include "platform/configrow.h"
#include "platform/serverrow.h"
#include "platform/tables.h"
#include "process/hostclock.h"
#include "process/logging.h"

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

} // namespace

StatePublisher::StatePublisher(const FollowerDependencies &deps, const Budgets &budgets,
                               PublishHandler publish, FreshnessHandler freshnessHandler)
    : m_publish(std::move(publish))
    , m_freshnessHandler(std::move(freshnessHandler))
    , m_configs(deps, std::string{platform::operatorTable}, configTimings(budgets.configs))
    , m_servers(deps, std::string{platform::serverTable}, serverTimings(budgets.servers))
{ }

const TableFollower *StatePublisher::follower(std::string_view table) const
{
    if (table == m_configs.table())
        return &m_configs;
    return table == m_servers.table() ? &m_servers : nullptr;
}

void StatePublisher::setServersHandler(std::function<void()> handler)
{
    m_serversHandler = std::move(handler);
}

void StatePublisher::start()
{
    m_configs.start([this](const TableChange &change) { applyConfig(change); },
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

void StatePublisher::setDaemonCount(std::size_t count)
{
    if (std::exchange(m_daemonCount, count) != count)
        publish();
}

void StatePublisher::recordServerStopped(const ServerName &id)
{
    if (!m_directory.markStopped(id, io::hostNow()))
        return;
    io::logEvent(LogLevel::Info, "server-replaced", {{"server", id.value()}});
    publish();
}

void StatePublisher::advance(Instant now)
{
    if (m_directory.advance(now))
        publish();
    reportFreshness();
}

void StatePublisher::applyConfig(const TableChange &change)
{
    for (const platform::StoreRow &row : change.rows) {
        if (row.key != platform::configKey || row.isRemoved)
            continue;
        std::variant<RoutingConfig, std::string> decoded = platform::decodeConfig(row.value);
        if (const auto *problem = std::get_if<std::string>(&decoded)) {
            io::logEvent(LogLevel::Error, "config-unreadable", {{"problem", *problem}});
            continue;
        }
        auto &config = std::get<RoutingConfig>(decoded);
        const std::uint64_t known = m_routes ? m_routes->config().version : 0;
        if (config.version <= known)
            continue;
        io::logEvent(LogLevel::Info, "config-adopted",
                     {{"version", std::to_string(config.version)},
                      {"before", std::to_string(known)},
                      {"row", std::to_string(row.version)},
                      {"source", m_configs.source()},
                      {"unchanged-until-ms-ago",
                       io::millisecondsText(io::hostNow() - change.unchangedUntil)}});
        m_routes = std::make_shared<const RouteTable>(std::move(config));
        m_routesAppliedAt = io::hostNow();
        m_routesUnchangedUntil = change.unchangedUntil;
        publish();
    }
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
                         {{"server", row.key}, {"row", std::to_string(row.version)}});
            continue;
        }
        logServerChange(*record, row.version, change);
        records.push_back(std::move(*record));
    }
    if (change.isComplete) {
        m_directory.applyAll(records, change.isAfterOutage, now, change.unchangedUntil);
    } else {
        for (const ServerRecord &record : records)
            m_directory.applyRecord(record, now, change.unchangedUntil);
    }
    m_hasServers = true;
    publish();
    if (m_serversHandler)
        m_serversHandler();
}

/** Logs a server that is new, has returned, or has started or stopped draining. */
void StatePublisher::logServerChange(const ServerRecord &record, std::uint64_t row,
                                     const TableChange &change) const
{
    const KnownServer *known = m_directory.find(record.id);
    if (known && known->record.isDraining == record.isDraining && !known->removedSince)
        return;
    const Instant now = io::hostNow();
    // The server wrote its row between the instants of the last two fields.
    io::logEvent(LogLevel::Info, "server-seen",
                 {{"server", record.id.value()},
                  {"service", record.service.value()},
                  {"address", toString(record.address)},
                  {"draining", record.isDraining ? "yes" : "no"},
                  {"row", std::to_string(row)},
                  {"source", m_servers.source()},
                  {"unchanged-until-ms-ago", io::millisecondsText(now - change.unchangedUntil)},
                  {"told-ms-ago", io::millisecondsText(now - m_servers.confirmedAt())}});
}

void StatePublisher::reportFreshness()
{
    const RoutingDataFreshness freshness{{m_servers.confirmedAt(), m_servers.isStoreUnreachable()},
                                         m_configs.confirmedAt()};
    if (freshness == m_reportedFreshness)
        return;
    const ServerDataFreshness &servers = freshness.servers;
    if (servers.isStoreUnreachable != m_reportedFreshness.servers.isStoreUnreachable)
        io::logEvent(LogLevel::Info, "servers-confirmable",
                     {{"by", servers.isStoreUnreachable ? "nobody" : m_servers.source()},
                      {"age-ms", io::millisecondsText(io::hostNow() - servers.asOf)}});
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
    state->daemonCount = m_daemonCount;
    for (const auto &[id, server] : m_directory.servers()) {
        if (!server.removedSince)
            state->servers[server.record.service].push_back(server);
    }
    m_publish(std::move(state));
}

} // namespace bulrush
