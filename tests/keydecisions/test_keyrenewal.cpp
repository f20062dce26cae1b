#define BOOST_TEST_MODULE KeyRenewal

#include "process/keyrenewal.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant now{100s};
const ServiceName service{"s"};
constexpr std::size_t servers = 40;

/** Servers of the own domain, and a few of another one. */
struct Fixture
{
    ServerDirectory directory;
    KeyAssignment assignment{service, 1, {}};
    KeyTimings timings;
    KeyRenewal renewal{DomainName{"a"}, now - 10s, timings};

    Fixture()
    {
        for (std::size_t i = 0; i < servers; ++i) {
            const ServerName id{"s" + std::to_string(i)};
            const DomainName domain{i % 4 == 0 ? "b" : "a"};
            directory.take({id, service, {"10.0.0.2", 80}, domain, 3, false, {}}, now - 1s,
                           now - 1s);
            const auto first = static_cast<KeyPlace>(i * 100);
            assignment.ranges.push_back({{first, first + 99}, id, 1, {}, {}, 0});
        }
        renewal.setAssignment(assignment);
        // Connected for long, with a store that answers.
        for (Duration before = 9s; before >= 1s; before -= 1s)
            renewal.storeAnswered(now - before);
        for (const OwnedRange &owned : assignment.ranges)
            renewal.connectionMade(owned.owner, now - 9s);
        renewal.storeAnswered(now);
    }

    /** \returns how many ranges are granted within \a span while the store answers. */
    std::size_t grantedWithin(Duration from, Duration span)
    {
        std::size_t count = 0;
        for (Duration passed = from; passed < from + span; passed += 100ms) {
            renewal.storeAnswered(now + passed);
            count += renewal.due(directory, now + passed).size();
        }
        return count;
    }

    /** Leaves the first server of the own domain alone in the assignment. */
    ServerName onlyOne()
    {
        assignment.ranges = {assignment.ranges[1]};
        renewal.setAssignment(assignment);
        return assignment.ranges[0].owner;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(theServersOfTheOwnDomainAreRenewed, Fixture)
{
    BOOST_TEST(renewal.due(directory, now).size() == 30U);
}

BOOST_FIXTURE_TEST_CASE(thePlannerRenewsAll, Fixture)
{
    renewal.setPlanner(true);
    BOOST_TEST(renewal.due(directory, now).size() == servers);
}

BOOST_FIXTURE_TEST_CASE(allIsGrantedOnceMoreBeforeTheRightEnds, Fixture)
{
    Instant last;
    for (Duration passed{}; passed < 6s; passed += 100ms) {
        if (!renewal.due(directory, now + passed).empty())
            last = now + passed;
    }
    const Instant end = now + timings.renewalRight;
    BOOST_TEST((last < end));
    BOOST_TEST((last >= end - KeyRenewal::lastRound));
}

BOOST_FIXTURE_TEST_CASE(aServerWhoseConnectionWasLostIsGrantedOnceItsRecordHasStood, Fixture)
{
    const ServerName server = onlyOne();
    renewal.connectionLost(server);
    BOOST_TEST(grantedWithin(0s, 1s) == 0U);
    renewal.connectionMade(server, now + 1s);
    BOOST_TEST(grantedWithin(1s, timings.recordLapse) == 0U);
    BOOST_TEST(grantedWithin(1s + timings.recordLapse, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(aGrantWithoutAnAnswerCastsAShortDoubt, Fixture)
{
    const ServerName server = onlyOne();
    renewal.connectionGivenUp(server);
    renewal.connectionMade(server, now);
    BOOST_TEST(grantedWithin(0s, timings.recordNotice) == 0U);
    BOOST_TEST(grantedWithin(timings.recordNotice, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(whatAnOutageOfTheStoreHidesIsWaitedFor, Fixture)
{
    const ServerName server = onlyOne();
    renewal.connectionLost(server);
    renewal.connectionMade(server, now);
    // No answer for 3 s: a run that started meanwhile could not write its record.
    BOOST_TEST(grantedWithin(3s, timings.recordLapse) == 0U);
    BOOST_TEST(grantedWithin(3s + timings.recordLapse, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(aFenceThatNoOtherRunCanHaveIsGrantedAtOnce, Fixture)
{
    const ServerName server = onlyOne();
    renewal.connectionLost(server);
    renewal.connectionMade(server, now);
    BOOST_TEST(grantedWithin(0s, 200ms) == 0U);
    assignment.sequence = 2;
    assignment.ranges[0].fence = 2;
    renewal.setAssignment(assignment);
    BOOST_TEST(grantedWithin(200ms, 200ms) == 1U);
}

BOOST_FIXTURE_TEST_CASE(aConnectionThatTheServerOnlyClosedCastsNoDoubt, Fixture)
{
    const ServerName server = onlyOne();
    renewal.connectionMade(server, now);
    BOOST_TEST(grantedWithin(0s, 200ms) == 1U);
}
