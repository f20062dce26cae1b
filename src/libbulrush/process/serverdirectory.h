#pragma once

#include "process/recordlifetime.h"
#include "process/serverrecord.h"
#include "version/routingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bulrush {

/** A backend server and its state as far as this daemon has received it. */
struct KnownServer
{
    ServerRecord record;
    Instant firstSeen;
    /** Set while it drains: the last instant at which it was known not to drain. */
    std::optional<Instant> drainsAfter;
    /** Set once its record is removed; it may still serve, but gets no more work or keys. */
    std::optional<Instant> removedSince;
    /**
     * Another server answers at its address, which is reassigned only after a server has stopped.
     */
    bool hasStopped = false;
    /**
     * Set once a later run of the same server has a record, which means that this run has stopped.
     * Calls meant for this run may have reached the later one, which cannot distinguish them.
     */
    std::optional<ServerName> laterRun;
    /**
     * Set while its record is missing after a store outage; removed unless it reappears in time.
     */
    std::optional<Instant> missingSince;
    /**
     * Set while it is removed although the copy from which the store was restored has its record:
     * if the record stays, the server still writes it.
     */
    std::optional<Instant> restoredSince = std::nullopt;
    /**
     * Set while its failure domain is evacuated: the last instant at which the domain was known not
     * to be.
     */
    std::optional<Instant> evacuatedAfter = std::nullopt;
    /** Set once it announced to some daemon that it leaves, whatever its record says. */
    std::optional<Instant> leavingSince = std::nullopt;
    /** Until then it is cold, or may be. */
    Instant coldUntil{};
    /** Requests per second that it bears while it is cold; 0 if there is no such limit. */
    double coldRate = 0.0;

    /** \returns whether it may get work and keys. */
    bool isReady() const;

    /** \returns whether it is or may be cold. */
    bool isCold(Instant now) const;
};

/** The evacuation of a failure domain, as far as this daemon has received it. */
struct Evacuation
{
    /** The last instant at which the domain was known not to be evacuated. */
    Instant after;
    /** When the operator's request was received. */
    Instant receivedAt;
};

/**
 * The backend servers according to the records that they maintain in the store.
 *
 * Not thread safe.
 */
class ServerDirectory
{
public:
    /**
     * A record may be missing for this long after an outage of the store: running servers rewrite
     * their records within about two seconds.
     */
    static constexpr Duration reappearanceTimeout = std::chrono::milliseconds{2200};
    /** Servers without a record are retained for this long, so that their keys can be released. */
    static constexpr Duration removedRetention = std::chrono::seconds{30};

    ServerDirectory() = default;

    /** \a records decides how long the record of an ended run may stay in a restored store. */
    explicit ServerDirectory(const RecordLifetime &records);

    /**
     * Applies the complete set of records. \a isAfterOutage means that the store was unavailable,
     * so that records of running servers may have expired. Until \a unchangedUntil all records were
     * as applied before.
     */
    void applyAll(std::span<const ServerRecord> records, bool isAfterOutage, Instant now,
                  Instant unchangedUntil);

    /**
     * Applies the complete set of records after the store was restored from an older copy, when
     * records that were as applied before until \a unchangedUntil may be older or missing. What is
     * known of a server stays until it has written a later record, or has not written the missing
     * one in time.
     */
    void applyRestored(std::span<const ServerRecord> records, Instant now, Instant unchangedUntil);

    /**
     * Applies a new or changed record, which had not changed until \a unchangedUntil. Earlier runs
     * of the same server have stopped. A record that the server wrote before the known one, as a
     * restored store may have it, is ignored.
     */
    void applyRecord(const ServerRecord &record, Instant now, Instant unchangedUntil);

    /** Applies that the record named \a recordName was removed, or is no longer readable. */
    void remove(const ServerName &recordName, Instant now);

    /**
     * Records that the server \a id has stopped, because another one answers at its address, even
     * if its record still exists. \returns whether this was not recorded before.
     */
    bool markStopped(const ServerName &id, Instant now);

    /**
     * Records that the server \a id announced that it leaves. \returns whether this was not
     * recorded before; false if the server is unknown.
     */
    bool markLeaving(const ServerName &id, Instant now);

    /** Sets how the servers of each service behave when cold; others have no limit. */
    void setColdStarts(std::map<ServiceName, ColdStart> coldStarts);

    /**
     * Applies that the operators evacuate \a domain, which was not evacuated until \a
     * unchangedUntil: its servers are to get no more work and keys.
     */
    void applyEvacuation(const DomainName &domain, Instant now, Instant unchangedUntil);

    /**
     * Applies that \a domain is no longer evacuated, even if the evacuation itself was not
     * received. Its servers may be cold, although their records do not say so yet.
     */
    void applyReturn(const DomainName &domain, Instant now);

    /** \returns whether an evacuation of \a domain has ended, and none has begun since. */
    bool hasReturned(const DomainName &domain) const;

    /** \returns the evacuated domains, which may have no servers. */
    const std::map<DomainName, Evacuation> &evacuations() const;

    /** Handles expired timeouts. \returns whether a server was removed by that. */
    bool advance(Instant now);

    /** \returns the server \a id, removed or not, or null. Valid until the next change. */
    const KnownServer *find(const ServerName &id) const;

    /**
     * \returns the latest known run of the server whose run is \a id, which may be that run itself;
     * null if \a id is unknown. Valid until the next change.
     */
    const KnownServer *latestRunOf(const ServerName &id) const;

    /** \returns all servers by id, including those whose records are removed. */
    const std::map<ServerName, KnownServer> &servers() const;

private:
    static bool isRestoredCopy(const KnownServer &server, const ServerRecord &record);
    void markMissing(const std::set<ServerName> &present, bool isAfterOutage, Instant now);
    void supersedeEarlierRuns(const ServerRecord &record, Instant now);
    ColdStart coldStartOf(const ServiceName &service) const;
    void extendColdTime(KnownServer &server) const;

    RecordLifetime m_records;
    std::map<ServerName, KnownServer> m_servers;
    std::map<ServiceName, ColdStart> m_coldStarts;
    std::map<DomainName, Evacuation> m_evacuations;
    /** When the last evacuation of a domain ended. */
    std::map<DomainName, Instant> m_returnedAt;
};

inline bool KnownServer::isReady() const
{
    return !record.isDraining && !leavingSince && !removedSince && !evacuatedAfter;
}

inline bool KnownServer::isCold(Instant now) const
{
    return now < coldUntil;
}

inline const std::map<DomainName, Evacuation> &ServerDirectory::evacuations() const
{
    return m_evacuations;
}

inline const std::map<ServerName, KnownServer> &ServerDirectory::servers() const
{
    return m_servers;
}

} // namespace bulrush
