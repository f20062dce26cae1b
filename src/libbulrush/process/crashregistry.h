#pragma once

#include "process/clock.h"
#include "process/crashrecord.h"
#include "process/plannerlease.h"
#include "process/quarantine.h"
#include "process/retrybackoff.h"
#include "process/storeversion.h"
#include "process/suspectprobes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace bulrush {

/**
 * Crash reports of all daemons: which requests were in flight at backend servers that crashed. A
 * request that crashes servers is repeated at any daemon, as a new request, so that no daemon alone
 * sees enough crashes to detect it. Each daemon publishes its reports in a row of its own in a
 * table that all daemons follow, and each evaluates all rows by the same rules. The daemons need no
 * further agreement, and a daemon that restarts obtains the known state from the table.
 *
 * A crash counts against every request that was in flight at the server, although at most one of
 * them caused it. As soon as any server answers a request, earlier crash reports against it
 * therefore no longer count. The store is only called for crashes of servers, and for answers to
 * requests under which several servers have crashed.
 *
 * Not thread safe. Instants never decrease.
 */
class CrashRegistry
{
public:
    /**
     * Time for which a report counts. During it, a blocked request is not sent to any server.
     * Afterwards the cause may have been fixed; if it has not, the request crashes three servers
     * before it is blocked again.
     */
    static constexpr Duration reportRetention = std::chrono::hours{1};
    /** Limits of one row. An entry has about 80 bytes, so 195 full rows take half a megabyte. */
    static constexpr std::size_t maxReports = 32;
    static constexpr std::size_t maxRetractions = 32;
    /**
     * An answer to a request is published without waiting for the next report if this many servers
     * have crashed under the request, because one more crash would block it.
     */
    static constexpr std::size_t answerPublishThreshold = 2;
    /**
     * Maximum delay of the publication of an answer. It is not published if another daemon
     * publishes an answer to the same request during the delay, because all daemons receive answers
     * to a popular request at the same time.
     */
    static constexpr Duration maxPublishDelay = std::chrono::milliseconds{600};
    /** Backoff between attempts of a write that was not done. */
    static constexpr Duration minWriteBackoff = std::chrono::milliseconds{150};
    static constexpr Duration maxWriteBackoff = std::chrono::seconds{2};

    explicit CrashRegistry(const HostName &self);

    /** Records crashes that this daemon has detected. */
    void reported(std::span<const CrashReport> reports, Instant now);

    /** Records that this daemon received a server's answer to \a request. */
    void answered(const RequestFingerprint &request, Instant now);

    /**
     * Retracts all reports against \a request, on behalf of an operator.
     * \returns whether there were any.
     */
    bool lift(const RequestFingerprint &request);

    /** Applies the row of \a host as of \a version of the store; no value if there is no row. */
    void applyRow(const HostName &host, const StoreVersion &version, std::optional<CrashRow> row,
                  Instant now);

    /** Sets the daemons that have rows of any kind. */
    void setDaemons(std::vector<HostName> daemons);

    /** Records that all existing rows have been applied. */
    void markRowsComplete();

    /** \returns the other hosts whose rows are stored here. */
    std::vector<HostName> hosts() const;

    /** \returns a write of this daemon's row if one is due, and records that it has started. */
    std::optional<CrashRowWrite> startDueWrite(Instant now);

    /** Handles the result of the last write. \pre a write from startDueWrite() has no result yet */
    void handleWriteResult(RowWriteResult end, const StoreVersion &version, Instant now);

    /** \returns the quarantine if it differs from that of the last call, or null. */
    std::shared_ptr<const Quarantine> takeUpdate(Instant now);

private:
    struct OwnReport
    {
        CrashReport report;
        Instant since;
    };

    struct OtherRow
    {
        StoreVersion version;
        CrashRow row;
        Instant receivedAt;
    };

    using Suspects = Quarantine::Suspects;
    using Retracted = std::set<std::pair<RequestFingerprint, ServerName>>;

    void applyOwnRow(const StoreVersion &version, const std::optional<CrashRow> &row, Instant now);
    bool retractSuspect(const RequestFingerprint &request);
    void retract(const RequestFingerprint &request, const std::vector<ServerName> &servers);
    bool isPublicationDue(Instant now);
    void removeExpired(Instant now);
    void removeRedundant();
    void invalidate();
    const Suspects &suspects();
    void evaluate();
    std::vector<const CrashReport *> allReports() const;
    Retracted retractedByOthers() const;
    static void addTo(Retracted &retracted, const std::vector<CrashRetraction> &retractions);
    std::size_t publishedCrashCount(const RequestFingerprint &request) const;
    Instant publicationTime(const RequestFingerprint &request, Instant now) const;
    CrashRow ownRow() const;

    HostName m_self;
    std::vector<OwnReport> m_reports;
    std::vector<CrashRetraction> m_retractions;
    std::map<HostName, OtherRow> m_others;
    /** This daemon's row as of the last write. */
    CrashRow m_written;
    /** When to publish the answers to requests, unless another daemon publishes them before. */
    std::map<RequestFingerprint, Instant> m_publishAt;
    /** Version of this daemon's own row; number 0 if there is none. */
    StoreVersion m_ownVersion;
    RetryBackoff m_pause;
    /** There are changes that this daemon's row does not contain yet. */
    bool m_hasUnpublished = false;
    bool m_isWriting = false;
    bool m_hasRows = false;
    /**
     * This daemon's own row was received, or a write of it was started; from then on the row
     * contains no reports that are missing here.
     */
    bool m_hasOwnRow = false;
    SuspectProbes m_probes;
    /** Result of the evaluation of all rows; updated on demand. */
    Suspects m_suspects;
    Retracted m_retracted;
    bool m_isEvaluated = true;
    /** The quarantine may differ from the one that was last returned. */
    bool m_isChanged = false;
};

} // namespace bulrush
