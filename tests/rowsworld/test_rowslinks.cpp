#define BOOST_TEST_MODULE RowsLinks

#include "rowsworld.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Within which a configuration is to be in force where the drain bound is three seconds. */
constexpr Duration configBound = 3s;
/** What is added to that for daemons that the store turns away. */
constexpr Duration configStretch = 6s;

} // namespace

// A narrow link carries one such configuration in 0.2 s.
BOOST_AUTO_TEST_CASE(aLargeConfigurationComesInTimeWhereOnlyHostsWithNarrowLinksReachTheStore)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        RowsScenario scenario;
        scenario.domains = 4;
        scenario.daemonsPerDomain = 25;
        scenario.strongPerDomain = 2;
        scenario.configBytes = 250'000;
        scenario.seed = seed;
        RowsWorld world{scenario};
        world.play(10s);
        std::mt19937_64 random{seed};
        for (std::size_t i = 0; i < world.daemonCount(); ++i) {
            if (random() % 3 == 0)
                world.setStore(i, StoreState::Refusing);
        }
        for (std::size_t domain = 0; domain < scenario.domains; ++domain) {
            for (std::size_t rank = 0; rank < scenario.strongPerDomain; ++rank)
                world.setStore(world.daemonOf(domain, rank), StoreState::Refusing);
        }
        world.play(700ms);
        const std::uint64_t before = world.relayedBytes();
        world.changeConfig();
        world.play(configBound);
        BOOST_TEST(world.behindCount() == 0U,
                   world.behindCount() << " daemons that the store answers, seed " << seed);
        world.play(configStretch);
        BOOST_TEST(world.allBehindCount() == 0U,
                   world.allBehindCount() << " daemons in all, seed " << seed);
        // A copy for each daemon, and one for each that was sent in vain.
        BOOST_TEST(world.relayedBytes() - before <= 2 * world.daemonCount() * scenario.configBytes);
    }
}
