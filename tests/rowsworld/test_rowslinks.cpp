#define BOOST_TEST_MODULE RowsLinks

#include "rowssimulation.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Time within which a configuration must be in force if the drain time is three seconds. */
constexpr Duration configTimeLimit = 3s;
/** Additional time for daemons whose calls the store refuses. */
constexpr Duration extraTimeIfRefused = 6s;

} // namespace

// Guards against configurations that arrive late where only hosts with narrow links reach the store
// and many daemons request the configuration over these links. Such a link carries one
// configuration of this size in 0.2 s.
BOOST_AUTO_TEST_CASE(largeConfigurationArrivesInTimeOverNarrowLinks)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        RowsScenario scenario;
        scenario.domains = 4;
        scenario.daemonsPerDomain = 25;
        scenario.strongPerDomain = 2;
        scenario.configBytes = 250'000;
        scenario.seed = seed;
        RowsSimulation simulation{scenario};
        simulation.run(10s);
        std::mt19937_64 random{seed};
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
            if (random() % 3 == 0)
                simulation.setStore(i, StoreState::Refusing);
        }
        for (std::size_t domain = 0; domain < scenario.domains; ++domain) {
            for (std::size_t rank = 0; rank < scenario.strongPerDomain; ++rank)
                simulation.setStore(simulation.daemonAtRank(domain, rank), StoreState::Refusing);
        }
        simulation.run(700ms);
        const std::uint64_t before = simulation.relayedBytes();
        simulation.changeConfig();
        simulation.run(configTimeLimit);
        BOOST_TEST(simulation.outdatedCount() == 0U,
                   simulation.outdatedCount() << " daemons that the store answers, seed " << seed);
        simulation.run(extraTimeIfRefused);
        BOOST_TEST(simulation.allOutdatedCount() == 0U,
                   simulation.allOutdatedCount() << " daemons in all, seed " << seed);
        // One copy for each daemon, and at most one more for each that was sent in vain.
        BOOST_TEST(simulation.relayedBytes() - before
                   <= 2 * simulation.daemonCount() * scenario.configBytes);
    }
}
