#define BOOST_TEST_MODULE RenewerRegistry

#include "process/grantlog.h"
#include "process/renewerregistry.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
constexpr Duration maxCallDuration = 500ms;
const ServiceName service{"s"};
const ServerName lost{"lost"};
const HostName one{"one"};
const HostName two{"two"};

DaemonRow row(const std::string &incarnation)
{
    return {Incarnation{incarnation}, {"10.0.0.1", 80}};
}

RenewerAnswer answer(const HostName &host, const std::string &incarnation, std::uint64_t sequence,
                     Duration ago)
{
    return {host, Incarnation{incarnation}, service, sequence, {{lost, ago}}};
}

struct Fixture
{
    KeyTimings timings;
    RenewerRegistry registry{timings};

    Fixture()
    {
        registry.applyRow(one, row("one/1"), {0, 1});
        registry.applyRow(two, row("two/1"), {0, 2});
    }

    Instant freeAt() const
    {
        return registry.freeAt(service, 5, lost, start);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(daemonWithoutAnswerMayGrantUntilItsRightExpires, Fixture)
{
    BOOST_TEST((freeAt() == start + timings.staleGrantPeriod() + timings.maxHold()));
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    BOOST_TEST((freeAt() == start + timings.staleGrantPeriod() + timings.maxHold()));
}

BOOST_FIXTURE_TEST_CASE(lastGrantCountsOnceAllHaveAnswered, Fixture)
{
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    registry.recordAnswer(answer(two, "two/1", 6, 1s), start + 200ms);
    BOOST_TEST((freeAt() == start - 800ms + timings.maxHold()));
}

BOOST_FIXTURE_TEST_CASE(ignoresAnswersBasedOnAnEarlierAssignment, Fixture)
{
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    registry.recordAnswer(answer(two, "two/1", 4, 2s), start + 100ms);
    BOOST_TEST((freeAt() == start + timings.staleGrantPeriod() + timings.maxHold()));
}

BOOST_FIXTURE_TEST_CASE(ignoresAnswersOfAnEarlierRun, Fixture)
{
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    registry.recordAnswer(answer(two, "two/1", 5, 2s), start + 100ms);
    registry.applyRow(two, row("two/2"), {0, 9});
    BOOST_TEST((freeAt() == start + timings.staleGrantPeriod() + timings.maxHold()));
}

BOOST_FIXTURE_TEST_CASE(considersADaemonForAWhileAfterItsRowIsRemoved, Fixture)
{
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    registry.applyRowRemoval(two, start - 3s);
    BOOST_TEST((freeAt() == start - 3s + timings.staleGrantPeriod() + timings.maxHold()));
    registry.removeExpired(start + 20s);
    BOOST_TEST((freeAt() == start - 1900ms + timings.maxHold()));
}

BOOST_FIXTURE_TEST_CASE(silentDaemonIsLost, Fixture)
{
    registry.recordQuery(one, start);
    registry.recordQuery(two, start);
    registry.recordAnswer(answer(one, "one/1", 5, 2s), start + 100ms);
    registry.recordQuery(two, start + 700ms);
    BOOST_TEST(registry.lost(start + 1s).empty());
    const auto lostDaemons = registry.lost(start + RenewerRegistry::lostTimeout);
    BOOST_REQUIRE(lostDaemons.size() == 1U);
    BOOST_TEST(lostDaemons.front().host.value() == "two");
}

BOOST_AUTO_TEST_CASE(grantWithoutAConnectionDidNotArrive)
{
    GrantLog log{start, maxCallDuration};
    log.recordSent(lost, start + 1s);
    log.recordResult(lost, true, start + 1020ms);
    log.recordSent(lost, start + 3s);
    // It may arrive until its call ends.
    BOOST_TEST((log.lastAgo(lost, start + 3100ms) == -400ms));
    log.recordResult(lost, false, start + 3200ms);
    BOOST_TEST((log.lastAgo(lost, start + 4s) == 2980ms));
}

BOOST_AUTO_TEST_CASE(unansweredGrantMayHaveArrivedUntilItsCallEnded)
{
    GrantLog log{start, maxCallDuration};
    log.recordSent(lost, start + 1s);
    // The daemon was frozen and gets the result of the call late.
    log.recordResult(lost, true, start + 9s);
    BOOST_TEST((log.lastAgo(lost, start + 10s) == 8500ms));
}

BOOST_AUTO_TEST_CASE(earlierRunMayHaveGrantedUntilTheStart)
{
    const GrantLog log{start, maxCallDuration};
    BOOST_TEST((log.lastAgo(lost, start + 4s) == 4s));
}
