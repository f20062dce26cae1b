#pragma once

#include "process/clock.h"
#include "version/fence.h"
#include "version/identifier.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush {

/** What a holder of a share tells its giver, at each renewal. */
struct ShareDemand
{
    /** What it could use: arrivals a second, or requests at once. */
    double wanted = 0.0;
    /** What it can't give back at once: requests in flight, for a limit of concurrency. */
    double inUse = 0.0;
    /** The last grant that it acts by; earlier ones no longer count. */
    Fence acknowledged;
};

/** A part of an organisation's limit, for a time. */
struct ShareGrant
{
    /** Epoch of the steward that gave it, and its count. */
    Fence sequence;
    double amount = 0.0;
    /** The holder counts it from before it asked, on its own clock, and shortened by drift. */
    Duration length{};

    bool operator==(const ShareGrant &) const = default;
};

/** How shares are given. */
struct ShareTerms
{
    /** Of a daemon's share: outlasts the change of a steward. */
    Duration length = std::chrono::seconds{6};
    /** Of a loan to another failure domain: a daemon's share must fit into what is left of it. */
    Duration loanLength = std::chrono::seconds{14};
    /** Shares are multiples of this; 0 for any amount. */
    double unit = 0.0;
    std::int64_t driftPpm = defaultDriftPpm;
};

/**
 * Hands out one failure domain's part of an organisation's limit to its daemons, by demand, and
 * lends what they leave to other domains. What is out never exceeds what there is: a share counts
 * until its holder has acknowledged a later one or its time has run out on every clock.
 *
 * A domain that is cut off goes on with its own part, and gets back what it lent when the loan has
 * run out. Not thread safe.
 */
class ShareAllocator
{
public:
    /**
     * \a own is the domain's part of the limit, \a epoch that of the steward.
     */
    ShareAllocator(double own, std::uint64_t epoch, ShareTerms terms);

    /**
     * Makes a ledger that follows another at \a now. It does not know what its predecessor gave:
     * until the longest of that has run out it confirms what holders say they hold, and gives
     * nothing new.
     */
    static ShareAllocator successor(double own, std::uint64_t epoch, ShareTerms terms, Instant now);

    /**
     * Ends the successor's wait early. \pre every daemon and domain that the predecessor may have
     * given to has acknowledged a share of this ledger, or has ended.
     */
    void predecessorSettled();

    /** Changes the domain's part, by a new version of the contract. */
    void setOwn(double own);

    /**
     * A daemon asks; \a held is what it holds now, from whomever. \returns its new share.
     */
    ShareGrant renew(const Incarnation &holder, const ShareDemand &demand, double held,
                     Instant now);

    /** A daemon leaves and uses its share no more. */
    void release(const Incarnation &holder);

    /** Another domain asks for a loan. \returns what the own daemons leave. */
    ShareGrant lend(const DomainName &borrower, const ShareDemand &demand, Instant now);

    /**
     * \returns what to ask \a lender for: what the own daemons want beyond what there is. A smaller
     * loan is acknowledged only once the own daemons act by no more than is left.
     */
    ShareDemand loanDemand(const DomainName &lender, Instant now) const;

    /** A loan has come, for a demand told at \a requestedAt. One older than the last is ignored. */
    void applyLoanGrant(const DomainName &lender, const ShareGrant &grant, Instant requestedAt);

    /** \returns the sum that holders may be acting by at \a now. */
    double outstanding(Instant now) const;

private:
    struct Given
    {
        Fence sequence;
        double amount;
        Instant expiresAt;
    };

    struct Holder
    {
        std::vector<Given> given;
        double wanted = 0.0;
        double inUse = 0.0;
        Instant heardAt;
        bool isBorrower = false;
    };

    struct Loan
    {
        Fence sequence;
        double amount = 0.0;
        Instant validUntil;
    };

    using Holders = std::map<std::string, Holder>;

    Holder &heard(const std::string &name, const ShareDemand &demand, Instant now);
    ShareGrant give(Holder &holder, double target, Duration length, Instant now);
    double borrowed(Instant until) const;
    double available(Instant now) const;
    double totalWanted() const;
    double lendable() const;
    double keptForBorrowers(Instant now) const;
    double target(const Holder &holder, Instant now) const;
    double waterLevel(double amount) const;
    double rounded(double amount, double limit) const;
    void dropExpired(Instant now);

    static double heldBy(const Holder &holder, Instant now);

    double m_own;
    ShareTerms m_terms;
    std::map<DomainName, Loan> m_loans;
    Holders m_holders;
    Fence m_lastSequence;
    /** Until then shares of a predecessor may be out. */
    Instant m_confirmsOnlyUntil;
};

} // namespace bulrush
