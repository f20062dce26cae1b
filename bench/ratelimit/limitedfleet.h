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

/** Shares by demand, granted by the leader of each failure domain, with loans between domains. */
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

/** The distribution of demand over the daemons, and the simulated faults. */
struct LimitScenario
{
    std::string name;
    /** Ratio of the rate of all arrivals to the limit. */
    double demand = 1.5;
    /** Share of the arrivals that the hot daemon receives. */
    double hotShare = 1.0 / 12.0;
    /** Whether the first failure domain receives all arrivals. */
    bool isOneDomain = false;
    /** Interval at which the hot daemon changes. */
    std::optional<bulrush::Duration> hotMoves;
    /** Whether the first daemon can't reach its domain leader from 20 s to 40 s. */
    bool isDaemonCut = false;
    /** Whether the first domain can't reach the others from 20 s to 50 s. */
    bool isDomainCut = false;
    /** Interval at which a daemon is replaced by a new one without state. */
    std::optional<bulrush::Duration> replaced;
};

/** Results of a run. */
struct LimitFigures
{
    /** Ratio of the most requests admitted in any 10 s to the limit. */
    double most = 0.0;
    /** Ratio of admitted requests to the smaller of demand and limit, after the first 5 s. */
    double usable = 0.0;
    /** Messages per second and daemon. */
    double messages = 0.0;
};

/**
 * Simulates one organisation with a limit of 1000 requests per second over 12 daemons in three
 * domains.
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
        bulrush::ShareAllocator allocator;
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
