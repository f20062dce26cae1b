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
    return {budget.askBesideAfter(), budget.confirmAfter(), budget.confirmWithin()};
}

/** Changes come at once, and seldom: confirmations bound for how long a lost answer hides one. */
FollowTimings configTimings(const ConfigBudget &budget)
{
    constexpr Duration wait = std::chrono::seconds{10};
    return {wait, {}, budget.readerConfirmAfter(), confirmationDelays(budget)};
}

/** Servers that start write often, and one that leaves is to be heard of in time. */
FollowTimings serverTimings(const DrainBudget &budget)
{
    return {budget.readerWait(), budget.readerPause(), budget.askBesideAfter(),
            confirmationDelays(budget)};
}

} // namespace

StatePublisher::StatePublisher(const FollowerDependencies &parts, const Budgets &budgets,
                               PublishHandler publish, KnowledgeHandler tellKnowledge)
    : m_publish(std::move(publish))
    , m_tellKnowledge(std::move(tellKnowledge))
    , m_configs(parts, std::string{platform::operatorTable}, configTimings(budgets.configs))
    , m_servers(parts, std::string{platform::serverTable}, serverTimings(budgets.servers))
{ }

const TableFollower *StatePublisher::follower(std::string_view table) const
{
    if (table == m_configs.table())
        return &m_configs;
    return table == m_servers.table() ? &m_servers : nullptr;
}

void StatePublisher::setServersHandler(std::function<void()> handler)
{
    m_serversTaken = std::move(handler);
}

void StatePublisher::start()
{
    m_configs.start([this](const TableChange &change) { takeConfig(change); },
                    [this](Instant) { tellKnowledge(); });
    m_servers.start([this](const TableChange &change) { takeServers(change); },
                    [this](Instant) { tellKnowledge(); });
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

void StatePublisher::noteEnded(const ServerName &id)
{
    if (!m_directory.noteEnded(id, io::hostNow()))
        return;
    io::logEvent(LogLevel::Info, "server-replaced", {{"server", id.value()}});
    publish();
}

void StatePublisher::advance(Instant now)
{
    if (m_directory.advance(now))
        publish();
    tellKnowledge();
}

void StatePublisher::takeConfig(const TableChange &change)
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
        m_routesSince = io::hostNow();
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
        + "\nbulrush_config_in_force_seconds " + seconds(m_routesSince)
        + "bulrush_config_confirmed_age_seconds " + seconds(m_configs.confirmedAt());
}

void StatePublisher::takeServers(const TableChange &change)
{
    const Instant now = io::hostNow();
    std::vector<ServerRecord> records;
    for (const platform::StoreRow &row : change.rows) {
        if (row.isRemoved) {
            m_directory.remove(ServerName{row.key}, now);
            io::logEvent(LogLevel::Info, "server-gone", {{"server", row.key}});
            continue;
        }
        std::optional<ServerRecord> record = platform::decodeServer(row.key, row.value);
        if (!record) {
            // What another writer put there names no server, whatever the row said before.
            m_directory.remove(ServerName{row.key}, now);
            io::logEvent(LogLevel::Error, "server-unreadable",
                         {{"server", row.key}, {"row", std::to_string(row.version)}});
            continue;
        }
        logSeen(*record, row.version, change);
        records.push_back(std::move(*record));
    }
    if (change.isComplete) {
        m_directory.takeAll(records, change.isAfterOutage, now, change.unchangedUntil);
    } else {
        for (const ServerRecord &record : records)
            m_directory.take(record, now, change.unchangedUntil);
    }
    m_hasServers = true;
    publish();
    if (m_serversTaken)
        m_serversTaken();
}

/** Tells of a server that is new here, or says something else of itself. */
void StatePublisher::logSeen(const ServerRecord &record, std::uint64_t row,
                             const TableChange &change) const
{
    const KnownServer *known = m_directory.find(record.id);
    if (known && known->record.isDraining == record.isDraining && !known->goneSince)
        return;
    const Instant now = io::hostNow();
    // It wrote that between the two instants.
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

void StatePublisher::tellKnowledge()
{
    const RoutingKnowledge knowledge{{m_servers.confirmedAt(), m_servers.isStoreUnreachable()},
                                     m_configs.confirmedAt()};
    if (knowledge == m_knowledge)
        return;
    const ServerKnowledge &servers = knowledge.servers;
    if (servers.isStoreAway != m_knowledge.servers.isStoreAway)
        io::logEvent(LogLevel::Info, "servers-confirmable",
                     {{"by", servers.isStoreAway ? "nobody" : m_servers.source()},
                      {"age-ms", io::millisecondsText(io::hostNow() - servers.asOf)}});
    m_knowledge = knowledge;
    m_tellKnowledge(knowledge);
}

void StatePublisher::publish()
{
    auto state = std::make_shared<RoutingState>();
    state->routes = m_routes;
    state->routesTakenAt = m_routesSince;
    state->routesUnchangedUntil = m_routesUnchangedUntil;
    state->assignments = m_assignments;
    state->daemonCount = m_daemonCount;
    for (const auto &[id, server] : m_directory.servers()) {
        if (!server.goneSince)
            state->servers[server.record.service].push_back(server);
    }
    m_publish(std::move(state));
}

} // namespace bulrush
