#pragma once

#include "process/serverrecord.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A backend server as this daemon knows it. */
struct KnownServer
{
    ServerRecord record;
    Instant firstSeen;
    /** Set while it drains: the last instant at which it was known not to. */
    std::optional<Instant> drainsAfter;
    /** Since when its record is gone; it may still serve, but gets nothing any more. */
    std::optional<Instant> goneSince;
    /** Another server answers at its address, which is given away only after its server has ended.
     */
    bool hasEnded = false;
    /**
     * A later run of the same server has a record, so that this one has ended. Orders that were
     * meant for this run may have come to the later one, which can't tell.
     */
    std::optional<ServerName> laterRun;
    /** Missing since the store came back; gone for good unless it reports in time. */
    std::optional<Instant> missingSince;

    /** \returns whether it may be given work and keys. */
    bool isReady() const;
};

/**
 * The backend servers by the records that they keep in the store.
 *
 * Not thread safe.
 */
class ServerDirectory
{
public:
    /**
     * How long a record may stay missing after an outage of the store: servers that live write
     * theirs anew within about two seconds.
     */
    static constexpr Duration reappearance = std::chrono::milliseconds{2200};
    /** How long a server whose record is gone is remembered, so that its keys can be released. */
    static constexpr Duration memory = std::chrono::seconds{30};

    /**
     * Takes in all records there are. \a isAfterOutage tells that the store was away, so that
     * records may have lapsed of servers that live. At \a unchangedUntil they were all as they
     * were known before.
     */
    void takeAll(std::span<const ServerRecord> records, bool isAfterOutage, Instant now,
                 Instant unchangedUntil);

    /**
     * Takes in one new or changed record, which had not changed at \a unchangedUntil. Earlier runs
     * of the same server have ended.
     */
    void take(const ServerRecord &record, Instant now, Instant unchangedUntil);

    /** Notes that the record that bears \a recordName was removed, or can't be read any more. */
    void remove(const ServerName &recordName, Instant now);

    /**
     * Notes that the server \a id has ended, though its record may still be there: another answers
     * at its address. \returns whether that is news.
     */
    bool noteEnded(const ServerName &id, Instant now);

    /** Ends the waits that are over. \returns whether a server is gone by that. */
    bool advance(Instant now);

    /** \returns the server \a id, gone or not, or null. Valid until the next change. */
    const KnownServer *find(const ServerName &id) const;

    /**
     * \returns the run of the server \a id that is up now, as far as that is known: that one, or
     * the latest; null if it is not known. Valid until the next change.
     */
    const KnownServer *latestRunOf(const ServerName &id) const;

    /** \returns all servers by id, those among them whose records are gone. */
    const std::map<ServerName, KnownServer> &servers() const;

private:
    void endEarlierRuns(const ServerRecord &record, Instant now);

    std::map<ServerName, KnownServer> m_servers;
};

inline bool KnownServer::isReady() const
{
    return !record.isDraining && !goneSince;
}

inline const std::map<ServerName, KnownServer> &ServerDirectory::servers() const
{
    return m_servers;
}

} // namespace bulrush
