#pragma once

#include "process/clock.h"
#include "process/renewerbook.h"
#include "version/identifier.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A daemon that others of its failure domain may follow rows through. */
struct RowsReader
{
    HostName host;
    Endpoint address;
    /** What its host has of processors, in cores. */
    double processors = 1.0;
    /** Of its row; the daemon that registered first has the lowest. */
    std::uint64_t version = 0;
};

/** How a daemon that was asked for rows did not serve them. */
enum class ReaderFailure {
    Refused, ///< it answered that it has none to serve
    Silent,  ///< it gave no answer in time, or can't be reached
    Busy,    ///< it has rows, but its link is taken up for now
};

/** Where a daemon counts itself among those of its failure domain. */
enum class ReaderPlace {
    InOrder,
    Last, ///< it can't serve others: it follows any of them
};

/**
 * Through which daemon of its own failure domain a daemon follows the store's rows, so that one
 * reads for all of them: calls to the store are paid for, and grow with the daemons otherwise.
 *
 * All choose alike without asking each other, by one order: hosts with more processors first, as a
 * host of a tenth of a core and 20 Mbit/s is too weak for 46 followers, and of these who registered
 * first. Each follows the first before it that serves, which may follow another in turn, so that a
 * reader which fails is replaced by one daemon and not by all. Not thread safe.
 */
class ReaderChoice
{
public:
    /** For how long a daemon that was silent is passed over; twice as long each time. */
    static constexpr Duration suspicion = std::chrono::seconds{5};
    static constexpr Duration longestSuspicion = std::chrono::seconds{80};
    /** The same for one that refused: to ask it again costs one message within the domain. */
    static constexpr Duration refusal = std::chrono::seconds{1};
    static constexpr Duration longestRefusal = std::chrono::seconds{2};
    /** The same for one that was busy: about as long as a long answer takes on a narrow link. */
    static constexpr Duration busyPause = std::chrono::milliseconds{300};
    /**
     * Only the first of the order are followed: with 39 daemons in a failure domain, all of which
     * have lost the store, each would ask 38 others every two seconds.
     */
    static constexpr std::size_t mostReaders = 8;
    /** The first of these go on reading whatever fails, so that one of them tells the others. */
    static constexpr std::size_t eagerRanks = 3;

    ReaderChoice(HostName self, DomainName domain);

    /** Takes in the daemons that have rows, this one among them once it has one. */
    void setDaemons(std::span<const Renewer> daemons);

    /** Notes that \a host did not serve rows. */
    void failed(const HostName &host, ReaderFailure failure, Instant now);

    /** Notes that \a host served rows. */
    void served(const HostName &host);

    /** \returns whom to follow, or nothing if nobody serves who comes before this daemon. */
    std::optional<RowsReader> reader(ReaderPlace place, Instant now) const;

    /** \returns the first eagerRanks without this daemon and \a other, as far as they serve. */
    std::vector<RowsReader> readersBeside(const HostName &other, Instant now) const;

    /** \returns whether the first eagerRanks, without this daemon, are known to refuse. */
    bool haveEagerRefused(Instant now) const;

    /** \returns how many daemons of the failure domain come before this one. */
    std::size_t rank() const;

    /** \returns whether this daemon has a row that others can see. */
    bool isListed() const;

    /** \returns whether other daemons of the failure domain are known. */
    bool hasOthers() const;

private:
    struct Failures
    {
        /** Until when it is passed over. */
        Instant until;
        /** Without a success in between. */
        int silences = 0;
        int refusals = 0;
        ReaderFailure last = ReaderFailure::Refused;
    };

    static Duration pauseAfter(ReaderFailure failure, Failures &failures);
    std::span<const RowsReader> candidates(ReaderPlace place) const;
    std::span<const RowsReader> eager() const;
    bool isEligible(const RowsReader &candidate, Instant now) const;

    HostName m_self;
    DomainName m_domain;
    /** In order. */
    std::vector<RowsReader> m_daemons;
    std::map<HostName, Failures> m_failures;
};

} // namespace bulrush
