#pragma once

#include "process/clock.h"
#include "version/fence.h"
#include "version/identifier.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush {

/** Sent by the holder of a share to the issuer at each renewal. */
struct ShareDemand
{
    /** The share that it could use: arrivals per second, or concurrent requests. */
    double wanted = 0.0;
    /** The part that it cannot return at once: requests in flight, for a concurrency limit. */
    double inUse = 0.0;
    /** The last grant that it applies; earlier ones are no longer in effect. */
    Fence acknowledged;
};

/** A part of an organisation's limit, for a limited time. */
struct ShareGrant
{
    /** Epoch of the leader that issued it, and a sequence number. */
    Fence sequence;
    double amount = 0.0;
    /** Counted by the holder on its own clock, from before its request, and shortened by drift. */
    Duration length{};

    bool operator==(const ShareGrant &) const = default;
};

/** Terms of shares. */
struct ShareTerms
{
    /** Duration of a daemon's share; longer than a change of the domain leader takes. */
    Duration length = std::chrono::seconds{6};
    /** Duration of a loan to another domain: shares are issued only within its remaining time. */
    Duration loanLength = std::chrono::seconds{14};
    /** Shares are multiples of this; 0 allows any amount. */
    double unit = 0.0;
    std::int64_t driftPpm = defaultDriftPpm;
};

/**
 * Distributes one failure domain's part of an organisation's limit to its daemons, by demand, and
 * lends the remainder to other domains. The sum of the shares in effect never exceeds the amount
 * available: a share counts until its holder has acknowledged a later one or until it has expired
 * on every clock.
 *
 * A domain that is cut off continues with its own part, and gets back what it lent when the loan
 * has expired. Not thread safe.
 */
class ShareAllocator
{
public:
    /**
     * \a ownPart is the domain's part of the limit, \a epoch the epoch of the domain leader.
     */
    ShareAllocator(double ownPart, std::uint64_t epoch, ShareTerms terms);

    /**
     * Creates the successor of another instance at \a now. It has no record of the grants of its
     * predecessor: until the longest of these has expired, it only confirms the shares that holders
     * report, and issues nothing new.
     */
    static ShareAllocator successor(double ownPart, std::uint64_t epoch, ShareTerms terms,
                                    Instant now);

    /**
     * Ends the successor's confirm-only period early. \pre Every daemon and domain to which the
     * predecessor may have issued grants has acknowledged a share of this instance, or has stopped.
     */
    void endConfirmOnlyPeriod();

    /** Changes the domain's part, after a new version of the contract. */
    void setOwn(double ownPart);

    /**
     * Renews the share of a daemon; \a held is its current share, by whichever leader it was
     * issued. \returns its new share.
     */
    ShareGrant renew(const Incarnation &holder, const ShareDemand &demand, double held,
                     Instant now);

    /** Releases the share of a daemon that is leaving and no longer uses it. */
    void release(const Incarnation &holder);

    /** Lends to another domain. \returns a loan of what this domain's daemons do not need. */
    ShareGrant lend(const DomainName &borrower, const ShareDemand &demand, Instant now);

    /**
     * \returns the demand to send to \a lender: what this domain's daemons need beyond the amount
     * available. A smaller loan is acknowledged only once the daemons' shares fit into the rest.
     */
    ShareDemand loanDemand(const DomainName &lender, Instant now) const;

    /** Applies a loan for a demand made at \a requestedAt. A loan older than the last is ignored.
     */
    void applyLoanGrant(const DomainName &lender, const ShareGrant &grant, Instant requestedAt);

    /** \returns the sum of the shares that may be in effect at \a now. */
    double outstanding(Instant now) const;

private:
    struct IssuedGrant
    {
        Fence sequence;
        double amount;
        Instant expiresAt;
    };

    struct Holder
    {
        std::vector<IssuedGrant> issuedGrants;
        double wanted = 0.0;
        double inUse = 0.0;
        Instant lastDemandAt;
        bool isBorrower = false;
    };

    struct Loan
    {
        Fence sequence;
        double amount = 0.0;
        Instant validUntil;
    };

    using Holders = std::map<std::string, Holder>;

    Holder &recordDemand(const std::string &name, const ShareDemand &demand, Instant now);
    ShareGrant issueGrant(Holder &holder, double target, Duration length, Instant now);
    double borrowed(Instant until) const;
    double available(Instant now) const;
    double totalWanted() const;
    double lendable() const;
    double reservedForBorrowers(Instant now) const;
    double target(const Holder &holder, Instant now) const;
    double fairShareLevel(double amount) const;
    double rounded(double amount, double limit) const;
    void removeExpired(Instant now);

    static double heldBy(const Holder &holder, Instant now);

    double m_ownPart;
    ShareTerms m_terms;
    std::map<DomainName, Loan> m_loans;
    Holders m_holders;
    Fence m_lastSequence;
    /** Until this time shares issued by a predecessor may be in effect. */
    Instant m_confirmOnlyUntil;
};

} // namespace bulrush
