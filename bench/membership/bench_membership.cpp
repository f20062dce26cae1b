/**
 * Measures in virtual time the cost of membership for a daemon, and the time until a change is in
 * force at all daemons, for several numbers of daemons. Compares it with other methods, and fits
 * the growth per daemon. Exits by itself when it is done.
 *
 * Usage: bench_membership [largest number of daemons]
 */
#include "otherways.h"
#include "process/peermessagecodec.h"
#include "virtualnetwork.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

using namespace bulrush;
using namespace bulrush::bench;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t contracts = 100;
constexpr std::size_t contractBytes = 1500;
constexpr double steadySeconds = 20;
constexpr int changes = 10;
constexpr Duration settling = 90s;
constexpr Duration step = 10ms;
constexpr Duration patience = 120s;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string contractName(std::size_t number)
{
    return "organisation-" + std::to_string(number);
}

class Fleet : public VirtualNetwork
{
public:
    explicit Fleet(std::size_t daemons)
        : VirtualNetwork(daemons)
    {
        setSizer([this](const PeerMessage &message) {
            const std::string text = io::encodePeerMessage(message);
            PeerMessage decoded;
            if (m_isTimed && io::decodePeerMessage(text, decoded))
                std::abort();
            return text.size() + overheadBytes;
        });
        for (std::size_t number = 0; number < contracts; ++number)
            platform.put(contractName(number), 0, std::string(contractBytes, 'x'));

        const std::size_t domains = daemons < 55 ? 3 : 5;
        for (std::size_t number = 0; number < daemons; ++number) {
            const std::size_t domain = number % domains;
            const std::string domainName =
                "domain-" + std::string(1, static_cast<char>('a' + domain));
            const std::string region = domains == 5 && domain > 2 ? "kumamoto" : "flanders";
            start({nameOf(number), domainName, region}, {nameOf(0), nameOf(1), nameOf(2)},
                  1764696000000, false);
        }
    }

    static std::string nameOf(std::size_t number)
    {
        return "10.100.200.100:4" + std::to_string(100 + number);
    }

    /** \returns after how many seconds \a isReached holds, or less than 0 if it never does. */
    template<typename Condition>
    double runUntil(Condition isReached)
    {
        const Instant begin = now();
        while (!isReached()) {
            if (now() - begin > patience)
                return -1;
            runFor(step);
        }
        return secondsOf(now() - begin);
    }

    bool hasEveryoneAlive()
    {
        const std::vector<std::string> running = hosts();
        return std::ranges::all_of(running, [&](const std::string &host) {
            const auto alive = std::ranges::count(membership(host).members(), MemberState::Alive,
                                                  &MemberRecord::state);
            return static_cast<std::size_t>(alive) == running.size();
        });
    }

    /** \returns the time in seconds until all running daemons hold a new version. */
    double spreadChange(std::size_t number)
    {
        const std::string name = contractName(number);
        const std::uint64_t held = platform.contracts.at(name).header.version.sequence;
        platform.put(name, held, std::string(contractBytes, 'y'));
        return runUntil([&] { return holdersOf(name, held + 1) == hosts().size(); });
    }

    Traffic sentByAll()
    {
        Traffic all;
        for (const std::string &host : hosts()) {
            all.messages += sent(host).messages;
            all.bytes += sent(host).bytes;
        }
        return all;
    }

    /** Sets whether messages are also decoded, as in a daemon, while processor time is measured. */
    void setTimed(bool isTimed)
    {
        m_isTimed = isTimed;
    }

    double oldestCertainty()
    {
        Duration oldest{};
        for (const std::string &host : hosts())
            oldest = std::max(oldest, versions(host).unconfirmedDuration(now()));
        return secondsOf(oldest);
    }

private:
    bool m_isTimed = false;
};

struct Point
{
    double daemons = 0;
    double bytes = 0;
    double coreShare = 0;
};

/** Prints the least-squares line through the points. */
void printSlope(const char *what, const std::vector<Point> &points, double Point::*value)
{
    double meanX = 0;
    double meanY = 0;
    for (const Point &point : points) {
        meanX += point.daemons / static_cast<double>(points.size());
        meanY += point.*value / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.daemons - meanX) * (point.*value - meanY);
        variance += (point.daemons - meanX) * (point.daemons - meanX);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    double worst = 0;
    for (const Point &point : points)
        worst = std::max(worst, std::abs(point.*value - meanY - slope * (point.daemons - meanX)));
    std::printf("slope of %s: %.6g a daemon more, from %.6g at none, worst residual %.3g\n", what,
                slope, meanY - slope * meanX, worst);
}

Point measureSteady(Fleet &fleet, std::size_t daemons)
{
    const Traffic before = fleet.sentByAll();
    fleet.setTimed(true);
    const std::clock_t start = std::clock();
    fleet.runFor(std::chrono::seconds{static_cast<int>(steadySeconds)});
    const double processor = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    fleet.setTimed(false);
    const Traffic after = fleet.sentByAll();
    const double span = steadySeconds * static_cast<double>(daemons);
    const Point point{static_cast<double>(daemons),
                      static_cast<double>(after.bytes - before.bytes) / span, processor / span};
    std::printf("  steady: %.1f messages/s and %.0f bytes/s sent a daemon, %.4f%% of a core, "
                "sure to be current as of %.1f s ago at worst\n",
                static_cast<double>(after.messages - before.messages) / span, point.bytes,
                point.coreShare * 100, fleet.oldestCertainty());
    return point;
}

void measureChanges(Fleet &fleet, double loss)
{
    fleet.setLoss(loss);
    std::vector<double> seconds;
    const Traffic before = fleet.sentByAll();
    const Instant begin = fleet.now();
    for (int change = 0; change < changes; ++change) {
        seconds.push_back(fleet.spreadChange(static_cast<std::size_t>(change)));
        fleet.runFor(1s);
    }
    const double span = secondsOf(fleet.now() - begin) * static_cast<double>(fleet.hosts().size());
    const Traffic after = fleet.sentByAll();
    std::ranges::sort(seconds);
    std::printf("  change, %2.0f%% lost: all know after %.2f s median, %.2f s worst of %d%s; "
                "%.0f bytes/s sent a daemon meanwhile\n",
                loss * 100, seconds[changes / 2], seconds.back(), changes,
                seconds.front() < 0 ? " (SOME NEVER)" : "",
                static_cast<double>(after.bytes - before.bytes) / span);
    fleet.setLoss(0);
}

/**
 * Runs until \a isReached holds, for at most 180 s. Prints the most bytes that any daemon sent in
 * one second.
 */
template<typename Condition>
void measurePeak(Fleet &fleet, const char *what, Condition isReached)
{
    std::uint64_t peak = 0;
    int seconds = 0;
    Traffic total = fleet.sentByAll();
    const std::uint64_t atStart = total.bytes;
    for (; seconds < 180 && !isReached(); ++seconds) {
        std::vector<std::uint64_t> before;
        for (const std::string &host : fleet.hosts())
            before.push_back(fleet.sent(host).bytes);
        fleet.runFor(1s);
        std::size_t index = 0;
        for (const std::string &host : fleet.hosts())
            peak = std::max(peak, fleet.sent(host).bytes - before[index++]);
    }
    total = fleet.sentByAll();
    std::printf("  %s: done after %d s%s; %llu bytes in the busiest second of any daemon, %.0f "
                "bytes/s sent a daemon\n",
                what, seconds, isReached() ? "" : " (NOT DONE)",
                static_cast<unsigned long long>(peak),
                static_cast<double>(total.bytes - atStart) / std::max(1, seconds)
                    / static_cast<double>(fleet.hosts().size()));
}

void measureCut(Fleet &fleet)
{
    fleet.setRegionsApart(true);
    fleet.runFor(120s);
    const double inReach = fleet.spreadChange(50);
    fleet.setRegionsApart(false);
    std::printf("  regions apart for 120 s: a change reaches all by the platform after %.2f s\n",
                inReach);
    measurePeak(fleet, "regions together again", [&] { return fleet.hasEveryoneAlive(); });
}

void measureReadersLost(Fleet &fleet)
{
    std::vector<std::string> readers;
    for (const std::string &host : fleet.hosts()) {
        if (fleet.membership(host).reader().host.value() == host)
            readers.push_back(host);
    }
    for (const std::string &host : readers)
        fleet.kill(host);
    std::printf("  all %zu readers lost at once: a change reaches all after %.2f s\n",
                readers.size(), fleet.spreadChange(60));
}

Point measure(std::size_t daemons)
{
    std::printf("%zu daemons\n", daemons);
    Fleet fleet(daemons);
    measurePeak(fleet, "all start at once", [&] {
        return fleet.hasEveryoneAlive()
            && fleet.holdersOf(contractName(contracts - 1), 1) == daemons;
    });
    fleet.runFor(settling);
    const Point point = measureSteady(fleet, daemons);
    for (const double loss : {0.0, 0.05, 0.2})
        measureChanges(fleet, loss);
    fleet.runFor(settling);
    if (daemons >= 55)
        measureCut(fleet);
    measureReadersLost(fleet);
    return point;
}

void printWay(const char *way, std::size_t daemons, const WayCost &cost, double whenLossy)
{
    std::printf("%-28s %4zu daemons: %7.0f messages/s, %8.0f bytes/s, %7.3f%% of a core, all know "
                "after %.2f s, "
                "%.2f s with 5%% lost\n",
                way, daemons, cost.messages, cost.bytes, cost.coreShare * 100,
                cost.secondsUntilAllKnow, whenLossy);
}

} // namespace

int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::size_t largest = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 550;
    std::vector<Point> points;
    for (const std::size_t daemons : {12, 55, 137, 275, 550}) {
        if (daemons > largest)
            continue;
        printWay("all to all", daemons, costOfAllToAll(daemons, 0),
                 costOfAllToAll(daemons, 0.05).secondsUntilAllKnow);
        printWay("tree by domain, its relay", daemons, costOfTree(daemons, 0, false),
                 costOfTree(daemons, 0.05, false).secondsUntilAllKnow);
        printWay("the same, a relay lost", daemons, costOfTree(daemons, 0, true),
                 costOfTree(daemons, 0.05, true).secondsUntilAllKnow);
        points.push_back(measure(daemons));
    }
    printSlope("bytes/s sent", points, &Point::bytes);
    printSlope("share of a core", points, &Point::coreShare);
    return 0;
}
