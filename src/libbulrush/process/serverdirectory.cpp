#include "process/serverdirectory.h"

#include <algorithm>
#include <set>

namespace bulrush {

void ServerDirectory::applyAll(std::span<const ServerRecord> records, bool isAfterOutage,
                               Instant now, Instant unchangedUntil)
{
    std::set<ServerName> present;
    for (const ServerRecord &record : records) {
        applyRecord(record, now, unchangedUntil);
        present.insert(record.id);
    }
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
    if (isNew) {
        server.firstSeen = now;
        supersedeEarlierRuns(record, now);
    }
    server.record = record;
    if (server.hasStopped || server.laterRun)
        return; // an outdated record
    server.removedSince.reset();
    server.missingSince.reset();
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
        if (server.record.nameInRecord() == recordName && !server.removedSince)
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

bool ServerDirectory::advance(Instant now)
{
    bool hasChanged = false;
    for (auto &[id, server] : m_servers) {
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
