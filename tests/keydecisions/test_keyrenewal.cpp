#define BOOST_TEST_MODULE KeyRenewal

#include "process/keyrenewal.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>

using namespace bulrush;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const Instant now{100s};
const ServiceName service{"s"};
constexpr std::size_t servers = 40;

/** How a daemon comes to a new connection to a server. */
enum class Path {
    DaemonStart,
    ConnectionLost,
    UnreportedClose, ///< as when the server announced it, or its kernel closes an idle one
};
constexpr std::array allPaths{Path::DaemonStart, Path::ConnectionLost, Path::UnreportedClose};

std::ostream &operator<<(std::ostream &out, Path path)
{
    return out << static_cast<int>(path);
}

/** Servers of the daemon's own failure domain, and a few of another one. */
struct Fixture
{
    ServerDirectory directory;
    KeyAssignment assignment{service, 1, {}};
    KeyTimings timings;
    KeyRenewal renewal{DomainName{"a"}, timings};

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
        begin();
    }

    /** All servers are connected for a long time, and the store answers. */
    void begin()
    {
        renewal = KeyRenewal{DomainName{"a"}, timings};
        renewal.setAssignment(assignment);
        for (Duration before = 19s; before >= 1s; before -= 1s)
            renewal.recordStoreAnswer(now - before);
        for (const OwnedRange &owned : assignment.ranges)
            renewal.recordConnection(owned.owner, now - 19s);
        confirm(now);
    }

    void confirm(Instant until)
    {
        renewal.recordStoreAnswer(until);
        renewal.recordServerRecords(until);
    }

    /** \returns how long the record of an ended run can be seen. */
    Duration recordLifetime() const
    {
        return timings.records.maxAfterEnd();
    }

    /** \returns the number of grants sent within \a duration while the store answers. */
    std::size_t grantsWithin(Duration from, Duration duration)
    {
        std::size_t count = 0;
        for (Duration passed = from; passed < from + duration; passed += 100ms) {
            confirm(now + passed);
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

// The heartbeats of the servers decide how long the record of an ended run is seen. With waits that
// did not follow them, a server's next run got its keys under the fencing tokens of its
// predecessor.
BOOST_DATA_TEST_CASE(everyNewConnectionWaitsForTheRecordOfAnEndedRun,
                     data::make({500, 870, 1500}) * data::make(allPaths), heartbeatMs, path)
{
    Fixture world;
    world.timings.records.heartbeat = std::chrono::milliseconds{heartbeatMs};
    world.begin();
    const ServerName server = world.keepOneServer();
    if (path == Path::DaemonStart) {
        world.renewal = KeyRenewal{DomainName{"a"}, world.timings};
        world.renewal.setAssignment(world.assignment);
        world.confirm(now);
    } else if (path == Path::ConnectionLost) {
        world.renewal.recordConnectionLost(server);
    }
    world.renewal.recordConnection(server, now);
    // A record stays for three intervals, and a feed may miss its removal for a second.
    const Duration seen = 3 * world.timings.records.heartbeat + 1s;
    BOOST_TEST(world.grantsWithin(0s, seen) == 0U);
    BOOST_TEST(world.grantsWithin(seen, world.recordLifetime() - seen + 100ms) == 1U);
}

BOOST_FIXTURE_TEST_CASE(storeOutageExtendsTheSuspectPeriod, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnectionLost(server);
    renewal.recordConnection(server, now);
    // The store does not answer for 3 s, so that a run started meanwhile cannot write its record.
    BOOST_TEST(grantsWithin(3s, recordLifetime()) == 0U);
    BOOST_TEST(grantsWithin(3s + recordLifetime(), 1s) == 1U);
}

// Other rows of the store may be confirmed while a change of the servers' records is on its way.
BOOST_FIXTURE_TEST_CASE(onlyConfirmedRecordsShowWhichRunAConnectionLeadsTo, Fixture)
{
    const ServerName server = keepOneServer();
    renewal.recordConnection(server, now);
    for (Duration passed{}; passed < 2 * recordLifetime(); passed += 100ms) {
        renewal.recordStoreAnswer(now + passed);
        BOOST_TEST(renewal.due(directory, now + passed).empty());
    }
    BOOST_TEST(grantsWithin(2 * recordLifetime(), 100ms) == 1U);
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

// Keys that nobody may renew would be lost until the record of an ended run is gone.
BOOST_FIXTURE_TEST_CASE(startedPlannerRaisesTheFenceOfAServerInDoubt, Fixture)
{
    const ServerName server = keepOneServer();
    renewal = KeyRenewal{DomainName{"a"}, timings};
    renewal.setAssignment(assignment);
    confirm(now);
    renewal.recordConnection(server, now);
    BOOST_TEST(renewal.due(directory, now).empty());
    BOOST_TEST(!renewal.needsHigherFence(service, assignment.ranges[0], now));
    renewal.setPlanner(true);
    BOOST_TEST(renewal.needsHigherFence(service, assignment.ranges[0], now));
    assignment.sequence = 2;
    assignment.ranges[0].fence = 2;
    renewal.setAssignment(assignment);
    BOOST_TEST(!renewal.needsHigherFence(service, assignment.ranges[0], now));
    BOOST_TEST(grantsWithin(0s, 100ms) == 1U);
}

BOOST_FIXTURE_TEST_CASE(plannerRaisesAFenceOnlyBeforeKeysAreLost, Fixture)
{
    renewal.setPlanner(true);
    const ServerName server = keepOneServer();
    const OwnedRange &owned = assignment.ranges[0];
    renewal.recordGranted(server, now);
    renewal.recordConnectionLost(server);
    renewal.recordConnection(server, now + 100ms);
    confirm(now + 200ms);
    BOOST_TEST(!renewal.needsHigherFence(service, owned, now + 200ms));
    const Instant lead = now + timings.hold - timings.fenceRaiseLead;
    confirm(lead);
    BOOST_TEST(!renewal.needsHigherFence(service, owned, lead - 1ms));
    BOOST_TEST(renewal.needsHigherFence(service, owned, lead));
}

// An answer may announce that its connection closes, which must not cost a commit each time.
BOOST_AUTO_TEST_CASE(plannerRaisesNoFenceIfTheConnectionIsConfirmedInTime)
{
    Fixture world;
    world.timings.records.heartbeat = 870ms;
    world.begin();
    world.renewal.setPlanner(true);
    const ServerName server = world.keepOneServer();
    world.renewal.recordGranted(server, now);
    world.renewal.recordConnection(server, now + 1ms);
    for (Duration passed{}; passed < world.timings.hold; passed += 50ms) {
        world.confirm(now + passed);
        world.renewal.due(world.directory, now + passed);
        BOOST_TEST(
            !world.renewal.needsHigherFence(service, world.assignment.ranges[0], now + passed));
    }
}
