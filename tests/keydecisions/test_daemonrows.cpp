#define BOOST_TEST_MODULE DaemonRows

#include "process/keycoordinator.h"
#include "support/storeversions.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const HostName self{"self"};
const Incarnation run{"self/1"};
const ServiceName service{"catalogue"};
constexpr std::uint64_t rowsVersion = 40;

HostName hostOf(std::size_t index)
{
    return HostName{"host-" + std::to_string(index)};
}

std::uint64_t versionOf(std::size_t index)
{
    return 10 + index;
}

/** A coordinator and the rows that it receives. */
struct Fixture
{
    KeyCoordinator coordinator{{self, run, DomainName{"a"}, {"10.0.0.1", 80}, 0ms}, start};
    ServerDirectory servers;
    std::vector<ServiceName> keyed{service};
    Instant now = start;

    std::vector<KeyAction> advance(Duration duration)
    {
        now += duration;
        return coordinator.advance(servers, keyed, now);
    }

    void applyRows()
    {
        coordinator.applyPlannerRow(versionAt(0), {}, now);
        coordinator.markRowsApplied(versionAt(rowsVersion), now);
    }

    /** \returns the write of the daemon's own row among \a actions, or null. */
    static const WriteDaemonRow *registration(const std::vector<KeyAction> &actions)
    {
        for (const KeyAction &action : actions) {
            if (const auto *write = std::get_if<WriteDaemonRow>(&action))
                return write;
        }
        return nullptr;
    }

    /** Lets the daemon write its row, as \a version. */
    void registerSelf(std::uint64_t version)
    {
        const std::vector<KeyAction> actions = advance(100ms);
        const WriteDaemonRow *write = registration(actions);
        BOOST_REQUIRE(write);
        coordinator.handleDaemonRowResult(RowWriteResult::Done, versionAt(version), now);
        coordinator.applyDaemonRow(self, versionAt(version), write->row, now);
        coordinator.markRowsApplied(versionAt(version), now);
    }
};

/** A planner with \a daemons other daemons that waits for a server without an answer. */
struct PlannerFixture : Fixture
{
    std::size_t daemons = 80;

    void startPlanning()
    {
        applyRows();
        for (std::size_t i = 0; i < daemons; ++i)
            coordinator.applyDaemonRow(
                hostOf(i), versionAt(versionOf(i)),
                DaemonRow{Incarnation{hostOf(i).value() + "/1"}, {"10.0.1.1", 80}}, now);
        KeyAssignment assignment;
        assignment.service = service;
        assignment.sequence = 2;
        assignment.ranges = {
            {{0, keyPositionCount - 1}, ServerName{"new"}, 2, {}, ServerName{"old"}, 2}};
        coordinator.applyAssignment(assignment, versionAt(rowsVersion), now);
        advance(100ms);
        coordinator.handlePlannerRowResult(RowWriteResult::Done, versionAt(rowsVersion + 1), now);
        advance(100ms);
        BOOST_REQUIRE(coordinator.isPlanning());
    }

    void answer(std::size_t index)
    {
        coordinator.recordRenewerAnswer({hostOf(index),
                                         Incarnation{hostOf(index).value() + "/1"},
                                         service,
                                         2,
                                         {{ServerName{"old"}, 0ms}}},
                                        now);
    }

    /** Confirms the renewal of the planner's lease if one is among \a actions. */
    void renewLease(const std::vector<KeyAction> &actions)
    {
        for (const KeyAction &action : actions) {
            if (const auto *write = std::get_if<WritePlannerRow>(&action))
                coordinator.handlePlannerRowResult(
                    RowWriteResult::Done, versionAt(write->write.expectedVersion + 1), now);
        }
    }

    /**
     * Simulates \a duration, while the first \a answering daemons answer. \returns all removals.
     */
    std::vector<RemoveDaemonRows> removalsWithin(Duration duration, std::size_t answering)
    {
        std::vector<RemoveDaemonRows> removals;
        for (const Instant end = now + duration; now < end;) {
            const std::vector<KeyAction> actions = advance(100ms);
            renewLease(actions);
            for (const KeyAction &action : actions) {
                if (const auto *removal = std::get_if<RemoveDaemonRows>(&action))
                    removals.push_back(*removal);
            }
            for (std::size_t i = 0; i < answering; ++i)
                answer(i);
        }
        return removals;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(rewritesALostRowWithOneCall, Fixture)
{
    applyRows();
    registerSelf(50);
    coordinator.applyDaemonRow(self, versionAt(60), std::nullopt, now);
    const std::vector<KeyAction> actions = advance(5s);
    const WriteDaemonRow *write = registration(actions);
    BOOST_REQUIRE(write);
    BOOST_TEST(write->expectedVersion == 0U);
}

// Guards against seconds without a planner after all daemons ended at once.
BOOST_FIXTURE_TEST_CASE(resumesPlanningOfTheEarlierRunOfItsHost, Fixture)
{
    const Incarnation earlierRun{"self/0"};
    coordinator.applyPlannerRow(versionAt(30), {earlierRun, {"10.0.0.1", 80}, 4}, now);
    coordinator.applyDaemonRow(self, versionAt(20), DaemonRow{earlierRun, {"10.0.0.1", 80}}, now);
    coordinator.markRowsApplied(versionAt(rowsVersion), now);
    const std::vector<KeyAction> actions = advance(100ms);
    BOOST_TEST(std::ranges::any_of(actions, [](const KeyAction &action) {
        return std::holds_alternative<WritePlannerRow>(action);
    }));
    coordinator.handlePlannerRowResult(RowWriteResult::Done, versionAt(rowsVersion + 1), now);
    advance(100ms);
    BOOST_TEST(coordinator.isPlanning());
}

BOOST_FIXTURE_TEST_CASE(backsOffWhenTheRowCannotBeWritten, Fixture)
{
    applyRows();
    int attempts = 0;
    for (int i = 0; i < 300; ++i) {
        const std::vector<KeyAction> actions = advance(100ms);
        if (!registration(actions))
            continue;
        ++attempts;
        coordinator.handleDaemonRowResult(RowWriteResult::Refused, versionAt(0), now);
    }
    // The delay starts at 0.5 s and doubles up to 8 s, which gives 6 to 8 attempts in half a
    // minute.
    BOOST_TEST(attempts <= 9);
    BOOST_TEST(attempts >= 5);
}

BOOST_FIXTURE_TEST_CASE(stalledPlannerConsidersNoDaemonLost, PlannerFixture)
{
    startPlanning();
    BOOST_TEST(removalsWithin(500ms, daemons).empty());
    // Queries are in flight when the planner's host freezes, so that answers stay unread.
    removalsWithin(500ms, daemons - 15);
    const std::vector<KeyAction> actions = advance(1900ms);
    BOOST_TEST(coordinator.isPlanning());
    BOOST_TEST(std::ranges::none_of(actions, [](const KeyAction &action) {
        return std::holds_alternative<RemoveDaemonRows>(action);
    }));
    BOOST_TEST(removalsWithin(5s, daemons).empty());
}

BOOST_FIXTURE_TEST_CASE(doesNotRemoveManySilentDaemonsSoon, PlannerFixture)
{
    startPlanning();
    // The planner's own connection is the more likely cause, so the timeout is longer than for a
    // single daemon.
    BOOST_TEST(removalsWithin(4s, daemons / 2).empty());
}

BOOST_FIXTURE_TEST_CASE(removesRowsOfLostDaemonsInOneCall, PlannerFixture)
{
    startPlanning();
    const std::vector<RemoveDaemonRows> removals = removalsWithin(3500ms, daemons - 15);
    BOOST_REQUIRE(removals.size() == 1U);
    BOOST_TEST(removals.front().rows.size() == 15U);
    BOOST_TEST(removals.front().plannerVersion > rowsVersion);
}

BOOST_FIXTURE_TEST_CASE(backsOffWhenRemovalsFail, PlannerFixture)
{
    startPlanning();
    int attempts = 0;
    for (const Instant end = now + 20s; now < end;) {
        const std::vector<KeyAction> actions = advance(100ms);
        renewLease(actions);
        for (std::size_t i = 0; i < daemons - 1; ++i)
            answer(i);
        for (const KeyAction &action : actions) {
            if (!std::holds_alternative<RemoveDaemonRows>(action))
                continue;
            ++attempts;
            coordinator.handleRemovalResult(RowWriteResult::Refused, now);
        }
    }
    BOOST_TEST(attempts >= 3);
    BOOST_TEST(attempts <= 8);
}
