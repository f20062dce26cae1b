#pragma once

#include "process/clock.h"
#include "process/renewerregistry.h"
#include "version/identifier.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A daemon from which others of its failure domain may read the rows of the store. */
struct RowsReader
{
    HostName host;
    Endpoint address;
    /** CPU capacity of its host, in cores. */
    double processors = 1.0;
    /** Version of its row; the daemon that registered first has the lowest. */
    StoreVersion version;
};

/** How a request for rows to another daemon failed. */
enum class ReaderFailure {
    Refused, ///< it answered that it cannot serve rows
    Silent,  ///< it did not answer in time, or cannot be reached
    Busy,    ///< it has rows, but its link is busy
};

/** Position of this daemon in the order of its failure domain. */
enum class ReaderPlace {
    InOrder, ///< it follows only daemons before it
    Last,    ///< it cannot serve others, and follows any of them
};

/**
 * Selects the daemon of the same failure domain from which a daemon reads the store's rows. One
 * daemon reads the store for all of them, as calls to the store are billed and would otherwise grow
 * with the number of daemons.
 *
 * All daemons apply the same order without coordination: hosts with more processors first, as a
 * host with a tenth of a core and 20 Mbit/s is too weak for 46 followers; among equals, those that
 * registered first. Each daemon follows the first one before it that serves, which may itself
 * follow another, so that a failed reader is replaced by one daemon and not by all. Not thread
 * safe.
 */
class ReaderChoice
{
public:
    /** A silent daemon is skipped for this long; doubles with each further failure. */
    static constexpr Duration silentBackoff = std::chrono::seconds{5};
    static constexpr Duration maxSilentBackoff = std::chrono::seconds{80};
    /** The same for one that refused: a retry costs one message within the failure domain. */
    static constexpr Duration refusedBackoff = std::chrono::seconds{1};
    static constexpr Duration maxRefusedBackoff = std::chrono::seconds{2};
    /** The same for one that was busy: about the transfer time of a long answer on a slow link. */
    static constexpr Duration busyBackoff = std::chrono::milliseconds{300};
    /**
     * Only this many daemons, the first in the order, are followed. Without this limit, 39 daemons
     * of a failure domain that have all lost the store would each send requests to 38 others every
     * two seconds.
     */
    static constexpr std::size_t maxReaders = 8;
    /**
     * This many of them, the first ones, keep retrying the store through all failures, so that one
     * of them can inform the others.
     */
    static constexpr std::size_t storeRetryRanks = 3;

    ReaderChoice(HostName self, DomainName domain);

    /** Sets the daemons that have rows, including this one once it has a row. */
    void setDaemons(std::span<const Renewer> daemons);

    /** Records that \a host did not serve rows. */
    void recordFailure(const HostName &host, ReaderFailure failure, Instant now);

    /** Records that \a host served rows. */
    void recordSuccess(const HostName &host);

    /** \returns the daemon to follow, or nothing if no candidate before this daemon serves. */
    std::optional<RowsReader> reader(ReaderPlace place, Instant now) const;

    /**
     * \returns those of the first storeRetryRanks daemons that serve, except this one and the
     * daemon \a other.
     */
    std::vector<RowsReader> alternateReaders(const HostName &other, Instant now) const;

    /**
     * \returns whether all of the first storeRetryRanks daemons but this one have refused lately.
     */
    bool haveRetryingRefused(Instant now) const;

    /** \returns the number of daemons of the failure domain that come before this one. */
    std::size_t rank() const;

    /** \returns whether this daemon has a row, so that others can find it. */
    bool isListed() const;

    /** \returns whether other daemons of the failure domain are known. */
    bool hasOthers() const;

private:
    struct Failures
    {
        /** The daemon is skipped until then. */
        Instant skippedUntil;
        /** Failures since the last success. */
        int silences = 0;
        int refusals = 0;
        ReaderFailure last = ReaderFailure::Refused;
    };

    static Duration backoffAfter(ReaderFailure failure, Failures &failures);
    std::span<const RowsReader> candidates(ReaderPlace place) const;
    std::span<const RowsReader> retryingDaemons() const;
    bool isEligible(const RowsReader &candidate, Instant now) const;

    HostName m_self;
    DomainName m_domain;
    /** Daemons of the failure domain in the order described above. */
    std::vector<RowsReader> m_daemons;
    std::map<HostName, Failures> m_failures;
};

} // namespace bulrush
