#pragma once

#include "process/clock.h"
#include "process/crashrecord.h"
#include "process/plannerlease.h"
#include "process/quarantine.h"
#include "process/retrypause.h"
#include "process/suspecttrials.h"

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
 * What all daemons have seen of requests under which servers ended. A request that crashes servers
 * comes again at any daemon, as a new one; none of them sees enough alone. Each tells what it saw
 * in a row of its own, in a table that all follow, and all judge by all rows, in the same way:
 * nobody has to be asked, and a daemon that starts knows what was known before.
 *
 * A server ends under all requests that it was at, of which one is to blame at most. So as soon as
 * any server answers a request, reports of ends before that count no more. Calls to the store are
 * made for ends of servers, and for answers to requests under which several servers have ended.
 *
 * Not thread safe. Instants never go back.
 */
class CrashLedger
{
public:
    /**
     * How long a report counts. Until then a blocked request reaches nobody; after it the cause may
     * have been mended, and one that was not takes three servers again.
     */
    static constexpr Duration memory = std::chrono::hours{1};
    /** Of a row: some 80 bytes each, so that 195 full rows have half a megabyte. */
    static constexpr std::size_t mostReports = 32;
    static constexpr std::size_t mostRetractions = 32;
    /** An answer is told at once where as many servers have ended: one more blocks the request. */
    static constexpr std::size_t tellingCrashes = 2;
    /**
     * Answers are told after up to this time, unless another daemon has told the same meanwhile: a
     * popular request is answered at all of them at once.
     */
    static constexpr Duration longestScatter = std::chrono::milliseconds{600};
    /** Pauses between tries of a write that was not done. */
    static constexpr Duration firstPause = std::chrono::milliseconds{150};
    static constexpr Duration longestPause = std::chrono::seconds{2};

    explicit CrashLedger(const HostName &self);

    /** Takes in what this daemon saw. */
    void reported(std::span<const CrashReport> reports, Instant now);

    /** Takes in that this daemon got a server's answer to \a request. */
    void answered(const RequestFingerprint &request, Instant now);

    /**
     * Takes back all reports of \a request, as an operator wants it.
     * \returns whether there were any.
     */
    bool lift(const RequestFingerprint &request);

    /** Takes in the row of \a host as of \a version of the store; nothing if it has none. */
    void rowSeen(const HostName &host, std::uint64_t version, std::optional<CrashRow> row,
                 Instant now);

    /** Takes in the daemons that have rows of any kind. */
    void setDaemons(std::vector<HostName> daemons);

    /** Notes that all rows there are have been seen. */
    void rowsSeen();

    /** \returns the hosts whose rows are known. */
    std::vector<HostName> hosts() const;

    /** \returns a write of this daemon's row that is due, and notes that it has begun. */
    std::optional<CrashRowWrite> dueWrite(Instant now);

    /** Takes in the end of the last write. \pre dueWrite() returned one that has not ended */
    void written(RowWriteEnd end, std::uint64_t version, Instant now);

    /** \returns what is known, if it has changed since the last call, or null. */
    std::shared_ptr<const Quarantine> changed(Instant now);

private:
    struct OwnReport
    {
        CrashReport report;
        Instant since;
    };

    struct OtherRow
    {
        std::uint64_t version = 0;
        CrashRow row;
        Instant seenAt;
    };

    using Suspects = Quarantine::Suspects;
    using Retracted = std::set<std::pair<RequestFingerprint, ServerName>>;

    void ownRowSeen(std::uint64_t version, const std::optional<CrashRow> &row, Instant now);
    bool retractSuspect(const RequestFingerprint &request);
    void retract(const RequestFingerprint &request, const std::vector<ServerName> &servers);
    bool isTellingDue(Instant now);
    void forgetOld(Instant now);
    void forgetNeedless();
    void changedHere();
    const Suspects &suspects();
    void judge();
    std::vector<const CrashReport *> allReports() const;
    Retracted retractedByOthers() const;
    static void addTo(Retracted &retracted, const std::vector<CrashRetraction> &retractions);
    std::size_t endsToOthers(const RequestFingerprint &request) const;
    Instant tellAt(const RequestFingerprint &request, Instant now) const;
    CrashRow ownRow() const;

    HostName m_self;
    std::vector<OwnReport> m_reports;
    std::vector<CrashRetraction> m_retractions;
    std::map<HostName, OtherRow> m_others;
    /** What this daemon's row says, as it was written last. */
    CrashRow m_written;
    /** Requests whose answers are told then, unless another daemon has told by then. */
    std::map<RequestFingerprint, Instant> m_tellAt;
    /** Of this daemon's own row; 0: there is none. */
    std::uint64_t m_ownVersion = 0;
    RetryPause m_pause;
    /** What others should know is not in the row. */
    bool m_isUntold = false;
    bool m_isWriting = false;
    bool m_hasRows = false;
    /** The own row was seen or written: it says nothing that is not known here. */
    bool m_hasOwnRow = false;
    SuspectTrials m_trials;
    /** By all rows; judged anew when it is asked for. */
    Suspects m_suspects;
    Retracted m_retracted;
    bool m_isJudged = true;
    /** What is known has changed since it was last handed on. */
    bool m_isChanged = false;
};

} // namespace bulrush
