#include "limitedfleet.h"

#include <algorithm>
#include <numeric>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 1000.0;
constexpr std::size_t daemonCount = 12;
constexpr std::size_t domainCount = 3;
constexpr Duration hop = 500us;
constexpr Duration burstSpan = 100ms;
constexpr Instant runEnd{60s};
constexpr Instant cutFrom{20s};
constexpr Instant daemonCutUntil{40s};
constexpr Instant domainCutUntil{50s};
/** Width of the time bins in which requests are counted. */
constexpr Duration bin = 100ms;
constexpr std::size_t binCount = 600;
constexpr std::size_t windowBins = 100;
constexpr std::size_t firstCountedBin = 50;

double seconds(Duration span)
{
    return std::chrono::duration<double>{span}.count();
}

DomainName nameOfDomain(std::size_t domain)
{
    return DomainName{std::to_string(domain)};
}

std::size_t domainOf(std::size_t daemon)
{
    return daemon % domainCount;
}

} // namespace

LimitedFleet::LimitedFleet(const LimitWay &way, const LimitScenario &scenario, unsigned seed)
    : m_way(way)
    , m_scenario(scenario)
    , m_simulation(seed)
    , m_admitted(binCount)
    , m_arrived(binCount)
{
    for (std::size_t d = 0; d < domainCount; ++d)
        m_domains.push_back({ShareAllocator{limit / domainCount, 1, {}}});
    for (std::size_t d = 0; d < daemonCount; ++d) {
        Daemon daemon;
        daemon.incarnation = Incarnation{std::to_string(m_incarnations++)};
        daemon.bucket = TokenBucket{burstSpan};
        daemon.bucket.setRate(limit / daemonCount, Instant{});
        m_daemons.push_back(std::move(daemon));
    }
}

LimitFigures LimitedFleet::run()
{
    arrive();
    if (const auto *shares = std::get_if<DemandShares>(&m_way)) {
        for (std::size_t d = 0; d < daemonCount; ++d)
            m_simulation.after(shares->renewal * (d + 1) / daemonCount, [this, d] { renew(d); });
        for (std::size_t d = 0; d < domainCount; ++d)
            m_simulation.after(shares->renewal * (d + 1) / domainCount, [this, d] { borrow(d); });
    }
    if (m_scenario.replaced)
        m_simulation.after(*m_scenario.replaced, [this] { replaceNext(); });
    m_simulation.run(runEnd);
    return figures();
}

void LimitedFleet::arrive()
{
    const Instant now = m_simulation.now();
    if (m_scenario.hotMoves)
        m_hot = static_cast<std::size_t>((now - Instant{}) / *m_scenario.hotMoves) % daemonCount;
    const auto place = static_cast<std::size_t>((now - Instant{}) / bin);
    if (place < binCount) {
        const bool isAdmitted = admits(pickDaemon());
        ++m_arrived[place];
        m_admitted[place] += isAdmitted ? 1 : 0;
    }
    const Duration mean{static_cast<Duration::rep>(1e9 / (limit * m_scenario.demand))};
    m_simulation.after(m_simulation.exponential(mean), [this] { arrive(); });
}

std::size_t LimitedFleet::pickDaemon()
{
    if (m_scenario.isOneDomain)
        return m_simulation.pick(daemonCount / domainCount) * domainCount;
    if (m_simulation.chance(m_scenario.hotShare))
        return m_hot;
    const std::size_t other = m_simulation.pick(daemonCount - 1);
    return other < m_hot ? other : other + 1;
}

bool LimitedFleet::admits(std::size_t daemon)
{
    if (std::holds_alternative<DemandShares>(m_way))
        return m_daemons[daemon].limiter.admits(m_simulation.now());
    if (std::holds_alternative<Credits>(m_way))
        return spendCredit(daemon);
    return m_daemons[daemon].bucket.take(m_simulation.now());
}

bool LimitedFleet::spendCredit(std::size_t daemon)
{
    Daemon &spender = m_daemons[daemon];
    const bool hasCredit = spender.credits >= 1.0;
    spender.credits -= hasCredit ? 1.0 : 0.0;
    if (spender.credits < std::get<Credits>(m_way).chunk / 2)
        draw(daemon);
    return hasCredit;
}

void LimitedFleet::draw(std::size_t daemon)
{
    if (m_daemons[daemon].isDrawing || isCutOff(daemon))
        return;
    m_daemons[daemon].isDrawing = true;
    m_messages += 2;
    m_simulation.after(2 * hop, [this, daemon] {
        Domain &domain = m_domains[domainOf(daemon)];
        const Instant now = m_simulation.now();
        const double rate = limit / domainCount;
        domain.pool = std::min(domain.pool + rate * seconds(now - domain.filledAt),
                               rate * seconds(burstSpan));
        domain.filledAt = now;
        const double drawn = std::min(domain.pool, std::get<Credits>(m_way).chunk);
        domain.pool -= drawn;
        m_daemons[daemon].credits += drawn;
        m_daemons[daemon].isDrawing = false;
    });
}

void LimitedFleet::renew(std::size_t daemon)
{
    const Instant requestedAt = m_simulation.now();
    Daemon &asking = m_daemons[daemon];
    const ShareDemand demand = asking.limiter.demand(requestedAt);
    if (!isCutOff(daemon)) {
        m_messages += 2;
        m_simulation.after(hop, [=, this, name = asking.incarnation] {
            ShareAllocator &allocator = m_domains[domainOf(daemon)].allocator;
            const ShareGrant grant =
                allocator.renew(name, demand, m_daemons[daemon].grant.amount, m_simulation.now());
            m_simulation.after(hop, [=, this] {
                Daemon &asked = m_daemons[daemon];
                if (asked.incarnation != name)
                    return;
                asked.grant = grant;
                asked.limiter.applyShareGrant(grant, requestedAt, m_simulation.now());
            });
        });
    }
    m_simulation.after(std::get<DemandShares>(m_way).renewal, [this, daemon] { renew(daemon); });
}

void LimitedFleet::borrow(std::size_t borrower)
{
    const Instant requestedAt = m_simulation.now();
    for (std::size_t lender = 0; lender < domainCount; ++lender) {
        if (lender == borrower || isDomainCut(lender) || isDomainCut(borrower))
            continue;
        m_messages += 2;
        ShareAllocator &allocator = m_domains[borrower].allocator;
        const ShareDemand demand = allocator.loanDemand(nameOfDomain(lender), requestedAt);
        const ShareGrant loan =
            m_domains[lender].allocator.lend(nameOfDomain(borrower), demand, requestedAt);
        allocator.applyLoanGrant(nameOfDomain(lender), loan, requestedAt);
    }
    m_simulation.after(std::get<DemandShares>(m_way).renewal,
                       [this, borrower] { borrow(borrower); });
}

void LimitedFleet::replaceNext()
{
    Daemon &daemon = m_daemons[m_nextReplaced++ % daemonCount];
    daemon.incarnation = Incarnation{std::to_string(m_incarnations++)};
    daemon.limiter = RateLimiter{};
    daemon.grant = {};
    daemon.credits = 0.0;
    m_simulation.after(*m_scenario.replaced, [this] { replaceNext(); });
}

bool LimitedFleet::isCutOff(std::size_t daemon) const
{
    const Instant now = m_simulation.now();
    return m_scenario.isDaemonCut && daemon == 0 && now >= cutFrom && now < daemonCutUntil;
}

bool LimitedFleet::isDomainCut(std::size_t domain) const
{
    const Instant now = m_simulation.now();
    return m_scenario.isDomainCut && domain == 0 && now >= cutFrom && now < domainCutUntil;
}

LimitFigures LimitedFleet::figures() const
{
    LimitFigures figures;
    for (std::size_t first = 0; first + windowBins <= binCount; ++first) {
        const auto from = m_admitted.begin() + static_cast<std::ptrdiff_t>(first);
        const int sum = std::accumulate(from, from + windowBins, 0);
        figures.most = std::max(figures.most, sum / (limit * seconds(bin) * windowBins));
    }
    double admitted = 0.0;
    double possible = 0.0;
    for (std::size_t i = firstCountedBin; i < binCount; ++i) {
        admitted += m_admitted[i];
        possible += m_arrived[i];
    }
    possible = std::min(possible, limit * seconds(bin) * (binCount - firstCountedBin));
    figures.usable = admitted / possible;
    figures.messages = m_messages / (seconds(runEnd - Instant{}) * daemonCount);
    return figures;
}
