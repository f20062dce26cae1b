#include "process/serverdirectory.h"

#include <algorithm>
#include <utility>

namespace bulrush {

ServerDirectory::ServerDirectory(const RecordLifetime &records)
    : m_records(records)
{ }

void ServerDirectory::applyAll(std::span<const ServerRecord> records, bool isAfterOutage,
                               Instant now, Instant unchangedUntil)
{
    std::set<ServerName> present;
    for (const ServerRecord &record : records) {
        const auto known = m_servers.find(record.id);
        if (known == m_servers.end() || !isRestoredCopy(known->second, record))
            applyRecord(record, now, unchangedUntil);
        present.insert(record.id);
    }
    markMissing(present, isAfterOutage, now);
}

/** \returns whether \a record is still the one that a restored store had of a removed server. */
bool ServerDirectory::isRestoredCopy(const KnownServer &server, const ServerRecord &record)
{
    return server.restoredSince && record.sequence <= server.record.sequence;
}

void ServerDirectory::applyRestored(std::span<const ServerRecord> records, Instant now,
                                    Instant unchangedUntil)
{
    std::set<ServerName> present;
    for (const ServerRecord &record : records) {
        present.insert(record.id);
        const auto known = m_servers.find(record.id);
        if (known == m_servers.end() || record.sequence > known->second.record.sequence)
            applyRecord(record, now, unchangedUntil);
        else if (known->second.removedSince)
            known->second.restoredSince = now;
        else
            known->second.missingSince.reset();
    }
    markMissing(present, true, now);
}

/** Handles servers whose records are missing from the complete set. */
void ServerDirectory::markMissing(const std::set<ServerName> &present, bool isAfterOutage,
                                  Instant now)
{
    for (auto &[id, server] : m_servers) {
        if (present.contains(id) || server.removedSince)
            continue;
        if (!isAfterOutage)
            server.removedSince = now;
        else if (!server.missingSince)
            server.missingSince = now;
    }
}

void ServerDirectory::applyRecord(const ServerRecord &record, Instant now, Instant unchangedUntil)
{
    const auto [place, isNew] = m_servers.try_emplace(record.id);
    KnownServer &server = place->second;
    if (!isNew && record.sequence < server.record.sequence)
        return;
    if (isNew) {
        server.firstSeen = now;
        supersedeEarlierRuns(record, now);
    }
    // A record that is only read again says nothing new about the remaining time.
    if (isNew || !server.record.hasSameContent(record))
        server.coldUntil = now + record.coldRemaining;
    server.record = record;
    server.coldRate = coldStartOf(record.service).rate;
    extendColdTime(server);
    const auto evacuation = m_evacuations.find(record.domain);
    if (evacuation == m_evacuations.end())
        server.evacuatedAfter.reset();
    else
        server.evacuatedAfter = evacuation->second.after;
    if (server.hasStopped || server.laterRun)
        return; // an outdated record
    server.removedSince.reset();
    server.missingSince.reset();
    server.restoredSince.reset();
    if (!record.isDraining)
        server.drainsAfter.reset();
    else if (!server.drainsAfter)
        server.drainsAfter = unchangedUntil;
}

/** Marks earlier runs as superseded: only one run of a server is up at a time. */
void ServerDirectory::supersedeEarlierRuns(const ServerRecord &record, Instant now)
{
    for (auto &[id, server] : m_servers) {
        if (!server.record.isOtherRunOf(record))
            continue;
        server.laterRun = record.id;
        if (!server.removedSince)
            server.removedSince = now;
    }
}

const KnownServer *ServerDirectory::latestRunOf(const ServerName &id) const
{
    const KnownServer *server = find(id);
    while (server && server->laterRun) {
        const KnownServer *later = find(*server->laterRun);
        if (!later)
            break;
        server = later;
    }
    return server;
}

void ServerDirectory::remove(const ServerName &recordName, Instant now)
{
    for (auto &[id, server] : m_servers) {
        if (server.record.nameInRecord() != recordName)
            continue;
        server.restoredSince.reset();
        if (!server.removedSince)
            server.removedSince = now;
    }
}

bool ServerDirectory::markStopped(const ServerName &id, Instant now)
{
    const auto place = m_servers.find(id);
    if (place == m_servers.end() || place->second.hasStopped)
        return false;
    place->second.hasStopped = true;
    if (!place->second.removedSince)
        place->second.removedSince = now;
    return true;
}

bool ServerDirectory::markLeaving(const ServerName &id, Instant now)
{
    const auto place = m_servers.find(id);
    if (place == m_servers.end() || place->second.leavingSince)
        return false;
    place->second.leavingSince = now;
    return true;
}

void ServerDirectory::setColdStarts(std::map<ServiceName, ColdStart> coldStarts)
{
    m_coldStarts = std::move(coldStarts);
    for (auto &[id, server] : m_servers)
        server.coldRate = coldStartOf(server.record.service).rate;
}

ColdStart ServerDirectory::coldStartOf(const ServiceName &service) const
{
    const auto found = m_coldStarts.find(service);
    return found == m_coldStarts.end() ? ColdStart{} : found->second;
}

void ServerDirectory::applyEvacuation(const DomainName &domain, Instant now, Instant unchangedUntil)
{
    if (!m_evacuations.try_emplace(domain, Evacuation{unchangedUntil, now}).second)
        return;
    for (auto &[id, server] : m_servers) {
        if (server.record.domain == domain)
            server.evacuatedAfter = unchangedUntil;
    }
}

bool ServerDirectory::hasReturned(const DomainName &domain) const
{
    return m_returnedAt.contains(domain) && !m_evacuations.contains(domain);
}

void ServerDirectory::applyReturn(const DomainName &domain, Instant now)
{
    m_evacuations.erase(domain);
    m_returnedAt[domain] = now;
    for (auto &[id, server] : m_servers) {
        if (server.record.domain != domain)
            continue;
        server.evacuatedAfter.reset();
        extendColdTime(server);
    }
}

/** Treats \a server as cold for as long as it can be after the evacuation of its domain. */
void ServerDirectory::extendColdTime(KnownServer &server) const
{
    const auto returned = m_returnedAt.find(server.record.domain);
    if (returned == m_returnedAt.end())
        return;
    const Duration duration = coldStartOf(server.record.service).duration;
    server.coldUntil = std::max(server.coldUntil, returned->second + duration);
}

bool ServerDirectory::advance(Instant now)
{
    bool hasChanged = false;
    for (auto &[id, server] : m_servers) {
        if (server.restoredSince && now - *server.restoredSince >= m_records.maxAfterEnd()
            && !server.hasStopped && !server.laterRun) {
            server.removedSince.reset();
            server.restoredSince.reset();
            hasChanged = true;
        }
        if (server.removedSince || !server.missingSince
            || now - *server.missingSince < reappearanceTimeout)
            continue;
        server.removedSince = now;
        hasChanged = true;
    }
    std::erase_if(m_servers, [now](const auto &entry) {
        return entry.second.removedSince && now - *entry.second.removedSince > removedRetention;
    });
    return hasChanged;
}

const KnownServer *ServerDirectory::find(const ServerName &id) const
{
    const auto place = m_servers.find(id);
    return place == m_servers.end() ? nullptr : &place->second;
}

} // namespace bulrush
