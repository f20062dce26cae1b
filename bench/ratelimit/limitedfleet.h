#pragma once

#include "process/ratelimiter.h"
#include "process/shareallocator.h"
#include "simulation.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Every daemon may always use the same part of the limit. */
struct EvenSplit
{ };

/** Shares by demand, given by the steward of each failure domain, with loans between domains. */
struct DemandShares
{
    bulrush::Duration renewal = std::chrono::milliseconds{500};
};

/** Each daemon draws requests in advance from its domain's part of the limit. */
struct Credits
{
    double chunk = 20.0;
};

using LimitWay = std::variant<EvenSplit, DemandShares, Credits>;

/** Where demand arises, and who can't reach whom. */
struct LimitScenario
{
    std::string name;
    /** All arrivals over the limit. */
    double demand = 1.5;
    /** Share of the arrivals that come to the hot daemon. */
    double hotShare = 1.0 / 12.0;
    /** Whether all arrivals come to the first failure domain. */
    bool isOneDomain = false;
    /** How often the hot daemon changes. */
    std::optional<bulrush::Duration> hotMoves;
    /** Whether the first daemon can't reach its steward from 20 s to 40 s. */
    bool isDaemonCut = false;
    /** Whether the first domain can't reach the others from 20 s to 50 s. */
    bool isDomainCut = false;
    /** How often a daemon is replaced by a fresh one. */
    std::optional<bulrush::Duration> replaced;
};

/** What a run gave. */
struct LimitFigures
{
    /** Most that was let pass in any 10 s, over the limit. */
    double most = 0.0;
    /** Let pass over the smaller of demand and limit, after the first 5 s. */
    double usable = 0.0;
    /** Messages a second for each daemon. */
    double messages = 0.0;
};

/**
 * One organisation with a limit of 1000 requests a second over 12 daemons in three domains.
 */
class LimitedFleet
{
public:
    LimitedFleet(const LimitWay &way, const LimitScenario &scenario, unsigned seed);

    LimitFigures run();

private:
    struct Daemon
    {
        bulrush::Incarnation incarnation;
        bulrush::RateLimiter limiter;
        bulrush::ShareGrant grant;
        bulrush::TokenBucket bucket;
        double credits = 0.0;
        bool isDrawing = false;
    };

    struct Domain
    {
        bulrush::ShareAllocator ledger;
        double pool = 0.0;
        bulrush::Instant filledAt{};
    };

    void arrive();
    std::size_t pickDaemon();
    bool admits(std::size_t daemon);
    bool spendCredit(std::size_t daemon);
    void draw(std::size_t daemon);
    void renew(std::size_t daemon);
    void borrow(std::size_t borrower);
    void replaceNext();
    bool isCutOff(std::size_t daemon) const;
    bool isDomainCut(std::size_t domain) const;
    LimitFigures figures() const;

    LimitWay m_way;
    LimitScenario m_scenario;
    Simulation m_simulation;
    std::vector<Daemon> m_daemons;
    std::vector<Domain> m_domains;
    std::vector<int> m_admitted;
    std::vector<int> m_arrived;
    int m_messages = 0;
    std::size_t m_hot = 0;
    std::size_t m_nextReplaced = 0;
    int m_incarnations = 0;
};
