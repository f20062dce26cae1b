#define BOOST_TEST_MODULE EraRecovery

#include "process/erarecovery.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
/** Time from the first rows of the era until the daemon plans. */
constexpr Duration eraAge = 4s;
const std::vector<HostName> hosts{HostName{"a"}, HostName{"b"}, HostName{"c"}};

Incarnation runOf(const HostName &host)
{
    return Incarnation{host.value() + "/1"};
}

/** Three daemons with rows, of which the first one planned last. */
struct Fixture
{
    KeyTimings timings;
    RenewerRegistry registry{timings};
    EraRecovery recovery{timings};

    Fixture()
    {
        for (const HostName &host : hosts)
            registry.applyRow(host, {runOf(host), {"10.0.0.1", 80}}, {2, 1});
        recovery.begin(start - eraAge, start);
    }

    void answer(const HostName &host, Duration uptime, const Incarnation &planner,
                const StoreVersion &plannerVersion, Instant now)
    {
        recovery.recordAnswer({host, runOf(host), uptime, planner, plannerVersion, {}}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(continuesOnceAllDaemonsHaveAnswered, Fixture)
{
    answer(hosts[0], 60s, runOf(hosts[0]), {1, 70}, start + 5ms);
    answer(hosts[1], 60s, runOf(hosts[0]), {1, 70}, start + 5ms);
    BOOST_TEST((recovery.step(registry, start + 10ms) == EraRecovery::Step::Wait));
    answer(hosts[2], 60s, runOf(hosts[0]), {1, 70}, start + 10ms);
    BOOST_TEST((recovery.step(registry, start + 10ms) == EraRecovery::Step::Continue));
}

BOOST_FIXTURE_TEST_CASE(silentDaemonDelaysByTheTimeoutIfTheLastPlannerAnswers, Fixture)
{
    answer(hosts[0], 60s, runOf(hosts[0]), {1, 70}, start);
    answer(hosts[1], 60s, runOf(hosts[0]), {1, 70}, start);
    const Instant timeout = start + EraRecovery::answerTimeout;
    BOOST_TEST((recovery.step(registry, timeout - 1ms) == EraRecovery::Step::Wait));
    BOOST_TEST((recovery.step(registry, timeout) == EraRecovery::Step::Continue));
}

BOOST_FIXTURE_TEST_CASE(waitsForTheHoldsOfASilentLastPlanner, Fixture)
{
    answer(hosts[1], 60s, runOf(hosts[0]), {1, 70}, start);
    answer(hosts[2], 60s, runOf(hosts[1]), {1, 60}, start);
    const Instant ended = start - eraAge + timings.staleGrantPeriod() + timings.maxHold();
    BOOST_TEST((recovery.step(registry, ended - 1ms) == EraRecovery::Step::Wait));
    BOOST_TEST((recovery.step(registry, ended) == EraRecovery::Step::RaiseFences));
}

BOOST_FIXTURE_TEST_CASE(plannerOfALaterEraIsTheLastOne, Fixture)
{
    answer(hosts[1], 60s, runOf(hosts[0]), {1, 99}, start);
    answer(hosts[2], 60s, runOf(hosts[1]), {2, 60}, start);
    BOOST_TEST((recovery.step(registry, start + EraRecovery::answerTimeout)
                == EraRecovery::Step::Continue));
}

BOOST_FIXTURE_TEST_CASE(waitsForTheHoldsOfEarlierRunsIfAllDaemonsHaveRestarted, Fixture)
{
    for (const HostName &host : hosts)
        answer(host, 1s, {}, {}, start);
    const Instant ended = start - 1s + timings.maxHold();
    BOOST_TEST((recovery.step(registry, ended - 1ms) == EraRecovery::Step::Wait));
    BOOST_TEST((recovery.step(registry, ended) == EraRecovery::Step::RaiseFences));
}

BOOST_FIXTURE_TEST_CASE(waitsForAnswersOnlyForATime, Fixture)
{
    answer(hosts[0], 60s, {}, {}, start);
    BOOST_TEST(!recovery.areAnswersIn(registry, start + EraRecovery::answerTimeout - 1ms));
    BOOST_TEST(recovery.areAnswersIn(registry, start + EraRecovery::answerTimeout));
    answer(hosts[1], 60s, {}, {}, start);
    answer(hosts[2], 60s, {}, {}, start);
    BOOST_TEST(recovery.areAnswersIn(registry, start));
}

BOOST_FIXTURE_TEST_CASE(queriesEachDaemonUntilItAnswers, Fixture)
{
    BOOST_TEST(recovery.dueQueries(registry, start).size() == hosts.size());
    BOOST_TEST(recovery.dueQueries(registry, start + 10ms).empty());
    answer(hosts[0], 60s, {}, {}, start + 20ms);
    const Instant again = start + EraRecovery::queryRetryDelay;
    BOOST_TEST(recovery.dueQueries(registry, again).size() == hosts.size() - 1);
}

BOOST_AUTO_TEST_CASE(sequencesOfAnEraAreAboveAllOfEarlierEras)
{
    KeyAssignment copied;
    copied.sequence = 40;
    copied.era = 1;
    KeyAssignment lost = copied;
    lost.sequence = 40 + sequencesPerEra / 2;
    const std::uint64_t second = firstSequenceOf(2, copied);
    BOOST_TEST(second > lost.sequence);
    // The second restore brings back the same copy, and what was committed in era 2 is unknown.
    BOOST_TEST(firstSequenceOf(3, copied) > second + sequencesPerEra / 2);
    BOOST_TEST(firstSequenceOf(3, lost) > firstSequenceOf(3, copied));
}
