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

/** Servers of the daemon's own failure domain, and a few of another one. */
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
            directory.applyRecord({id, service, {"10.0.0.2", 80}, domain, 3, false, {}}, now - 1s,
                                  now - 1s);
            const auto first = static_cast<KeyPosition>(i * 100);
            assignment.ranges.push_back({{first, first + 99}, id, 1, {}, {}, 0});
        }
        renewal.setAssignment(assignment);
        // All servers are connected for a long time, and the store answers.
        for (Duration before = 9s; before >= 1s; before -= 1s)
            renewal.recordStoreAnswer(now - before);
        for (const OwnedRange &owned : assignment.ranges)
            renewal.recordConnection(owned.owner, now - 9s);
        renewal.recordStoreAnswer(now);
    }

    /** \returns the number of grants sent within \a duration while the store answers. */
    std::size_t grantsWithin(Duration from, Duration duration)
    {
        std::size_t count = 0;
        for (Duration passed = from; passed < from + duration; passed += 100ms) {
            renewal.recordStoreAnswer(now + passed);
            count += renewal.due(directory, now + passed).size();
        }
        return count;
    }

    /** Reduces the assignment to the range of the first server of the own domain. */
    ServerName keepOneServer()
    {
        assignment.ranges = {assignment.ranges[1]};
        renewal.setAssignment(assignment);
        return assignment.ranges[0].owner;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(renewsServersOfTheOwnDomain, Fixture)
{
    BOOST_TEST(renewal.due(directory, now).size() == 30U);
}

BOOST_FIXTURE_TEST_CASE(plannerRenewsAllServers, Fixture)
{
    renewal.setPlanner(true);
    BOOST_TEST(renewal.due(directory, now).size() == servers);
}

BOOST_FIXTURE_TEST_CASE(grantsAllRangesOnceMoreBeforeTheRightExpires, Fixture)
{
    Instant last;
    for (Duration passed{}; passed < 6s; passed += 100ms) {
        if (!renewal.due(directory, now + passed).empty())
            last = now + passed;
    }
    const Instant end = now + timings.renewalValidity;
    BOOST_TEST((last < end));
    BOOST_TEST((last >= end - KeyRenewal::finalRenewalPeriod));
}

BOOST_FIXTURE_TEST_CASE(grantsOverANewConnectionOnceTheRecordIsConfirmed, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnectionLost(server);
    BOOST_TEST(grantsWithin(0s, 1s) == 0U);
    renewal.recordConnection(server, now + 1s);
    BOOST_TEST(grantsWithin(1s, timings.recordExpiry) == 0U);
    BOOST_TEST(grantsWithin(1s + timings.recordExpiry, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(unansweredGrantMakesTheConnectionBrieflySuspect, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnectionReset(server);
    renewal.recordConnection(server, now);
    BOOST_TEST(grantsWithin(0s, timings.recordUpdateDelay) == 0U);
    BOOST_TEST(grantsWithin(timings.recordUpdateDelay, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(storeOutageExtendsTheSuspectPeriod, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnectionLost(server);
    renewal.recordConnection(server, now);
    // The store does not answer for 3 s, so that a run started meanwhile cannot write its record.
    BOOST_TEST(grantsWithin(3s, timings.recordExpiry) == 0U);
    BOOST_TEST(grantsWithin(3s + timings.recordExpiry, 1s) == 1U);
}

BOOST_FIXTURE_TEST_CASE(grantsAFenceThatNoOtherRunCanHaveAtOnce, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnectionLost(server);
    renewal.recordConnection(server, now);
    BOOST_TEST(grantsWithin(0s, 200ms) == 0U);
    assignment.sequence = 2;
    assignment.ranges[0].fence = 2;
    renewal.setAssignment(assignment);
    BOOST_TEST(grantsWithin(200ms, 200ms) == 1U);
}

BOOST_FIXTURE_TEST_CASE(reconnectWithoutLossIsNotSuspect, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnection(server, now);
    BOOST_TEST(grantsWithin(0s, 200ms) == 1U);
}
