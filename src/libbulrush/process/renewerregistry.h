#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "process/keytimings.h"
#include "process/storeversion.h"
#include "version/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/** The row of a daemon that may renew grants. */
struct DaemonRow
{
    Incarnation incarnation;
    /** Receives messages of other daemons. */
    Endpoint address;
    DomainName domain = {};
    /** CPU capacity of its host, in cores. */
    double processors = 1.0;
    /** Receives relayed requests; port 0 if the daemon takes none. */
    Endpoint relayAddress = {};

    bool operator==(const DaemonRow &) const = default;
};

/** A daemon that may renew grants, and its row. */
struct Renewer
{
    HostName host;
    DaemonRow row;
    StoreVersion version;
    /** Set once its row is removed, which the daemon itself may not have received yet. */
    std::optional<Instant> removedSince;
    /** Time of the first query since its last answer, if there is one. */
    std::optional<Instant> unansweredSince;
};

/** The answer of a daemon about the grants that it may have sent to some servers. */
struct RenewerAnswer
{
    HostName host;
    Incarnation incarnation;
    ServiceName service;
    /** Sequence of the assignment that the daemon uses from now on. */
    std::uint64_t sequence = 0;
    /**
     * Minimum age of the last grant that arrived at each server; negative while one may still
     * arrive. Never longer than the time since the daemon's start, as an earlier run on its host
     * may have sent a grant until then.
     */
    std::map<ServerName, Duration> lastGrantAgo;
};

/**
 * The daemons that may renew grants, and their answers. From these the planner computes how long a
 * server that does not answer can hold keys. A daemon that has the later assignment no longer
 * grants the ranges that were taken from the server. A daemon that does not answer stops granting
 * by itself after a while, as it gets no answers from the store.
 *
 * Not thread safe. Instants never decrease.
 */
class RenewerRegistry
{
public:
    /** A daemon without an answer for this long is lost. Corresponds to three queries in a row. */
    static constexpr Duration lostTimeout = std::chrono::milliseconds{2000};
    /**
     * The same if many daemons are silent at once: the cause is then more likely at the daemon that
     * sends the queries.
     */
    static constexpr Duration massLostTimeout = std::chrono::milliseconds{6000};
    /** Many: more than one in massSilenceDivisor of all, and at least massSilenceMinCount. */
    static constexpr std::size_t massSilenceDivisor = 4;
    static constexpr std::size_t massSilenceMinCount = 3;
    /**
     * A daemon whose checks are at least this far apart was stalled, and may have unread answers:
     * daemons normally check for due actions every 100 ms.
     */
    static constexpr Duration stallThreshold = std::chrono::milliseconds{300};

    explicit RenewerRegistry(const KeyTimings &timings);

    /** Applies the row of \a host. */
    void applyRow(const HostName &host, const DaemonRow &row, const StoreVersion &version);

    /** Applies the removal of the row of \a host; the daemon is still considered for a while. */
    void applyRowRemoval(const HostName &host, Instant now);

    /**
     * Records a check at \a now. A gap between two checks of at least stallThreshold does not count
     * as silence of any daemon. To be called before lost().
     */
    void recordCheck(Instant now);

    /** Records that a query is sent to \a host. */
    void recordQuery(const HostName &host, Instant now);

    /** Records the answer of a daemon, which arrived at \a now. */
    void recordAnswer(const RenewerAnswer &answer, Instant now);

    /** Discards all answers; for when this daemon starts or stops planning. */
    void clearAnswers();

    /**
     * \returns the instant from which \a server can no longer hold keys of \a service that the
     * assignment \a sequence took from it, which was committed at \a committedAt or earlier.
     * Answers of daemons may make the instant earlier.
     */
    Instant freeAt(const ServiceName &service, std::uint64_t sequence, const ServerName &server,
                   Instant committedAt) const;

    /**
     * \returns the daemons that have not answered for lostTimeout, or for massLostTimeout if they
     * are many. Their rows only delay moves. A running daemon notices that its row was removed, and
     * writes a new one.
     */
    std::vector<Renewer> lost(Instant now) const;

    /** \returns whether the last answer of \a host is based on an assignment before \a sequence. */
    bool isBehind(const HostName &host, const ServiceName &service, std::uint64_t sequence) const;

    /** Erases daemons that have no row and whose grants can no longer have any effect. */
    void removeExpired(Instant now);

    const std::map<HostName, Renewer> &renewers() const;

private:
    struct Answer
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        /** Latest possible arrival of the last grant at each server. */
        std::map<ServerName, Instant> lastGrant;
    };

    const Answer *currentAnswer(const Renewer &renewer, const ServiceName &service,
                                std::uint64_t sequence) const;

    KeyTimings m_timings;
    std::map<HostName, Renewer> m_renewers;
    std::map<std::pair<HostName, ServiceName>, Answer> m_answers;
    Instant m_checkedAt;
};

inline const std::map<HostName, Renewer> &RenewerRegistry::renewers() const
{
    return m_renewers;
}

} // namespace bulrush
