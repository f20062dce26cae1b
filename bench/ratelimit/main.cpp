#include "limitedfleet.h"

#include <cstdio>
#include <cstdlib>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr unsigned defaultSeed = 20261;

struct NamedWay
{
    const char *name;
    LimitWay way;
};

std::vector<LimitScenario> scenarios()
{
    LimitScenario even;
    even.name = "even demand, 1.5 times the limit";
    LimitScenario hot;
    hot.name = "half of the demand at one daemon, 1.5 times";
    hot.hotShare = 0.5;
    LimitScenario light = hot;
    light.name = "half of the demand at one daemon, 0.9 times";
    light.demand = 0.9;
    LimitScenario moving = hot;
    moving.name = "the same, the hot daemon changes each 10 s, 1.5 times";
    moving.hotMoves = 10s;
    LimitScenario domain;
    domain.name = "all demand in one domain, 1.5 times";
    domain.isOneDomain = true;
    LimitScenario cutDaemon = hot;
    cutDaemon.name = "hot daemon cut off for 20 s, 1.5 times";
    cutDaemon.isDaemonCut = true;
    LimitScenario cutDomain = hot;
    cutDomain.name = "hot domain cut off for 30 s, 1.5 times";
    cutDomain.isDomainCut = true;
    LimitScenario replaced = hot;
    replaced.name = "a daemon replaced each 5 s, 1.5 times";
    replaced.replaced = 5s;
    return {even, hot, light, moving, domain, cutDaemon, cutDomain, replaced};
}

} // namespace

/**
 * Compares methods that limit the request rate of an organisation over 12 daemons. Prints for each
 * the ratio of the most requests admitted in any 10 s to the limit, the ratio of admitted requests
 * to those that could be admitted, and the messages per second and daemon. The seed is the first
 * argument.
 */
int main(int argc, char **argv)
{
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : defaultSeed;
    const NamedWay ways[] = {
        {"even split", EvenSplit{}},
        {"shares by demand, loans", DemandShares{}},
        {"credits of 20", Credits{20.0}},
        {"credits of 5", Credits{5.0}},
    };
    std::printf("seed %u; limit 1000 a second, 12 daemons in 3 domains, 60 s\n", seed);
    for (const LimitScenario &scenario : scenarios()) {
        std::printf("\n%s\n%-26s %8s %8s %8s\n", scenario.name.c_str(), "way", "most", "usable",
                    "msgs/s");
        for (const NamedWay &named : ways) {
            const LimitFigures figures = LimitedFleet{named.way, scenario, seed}.run();
            std::printf("%-26s %8.3f %8.3f %8.1f\n", named.name, figures.most, figures.usable,
                        figures.messages);
        }
    }
    return 0;
}
