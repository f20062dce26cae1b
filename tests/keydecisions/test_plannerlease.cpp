#define BOOST_TEST_MODULE PlannerLease

#include "process/plannerlease.h"
#include "support/storeversions.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const Incarnation self{"me"};
const Incarnation other{"other"};
const Incarnation earlierRun{"earlier run"};
const Endpoint address{"10.0.0.1", 80};
constexpr Duration takeoverDelay = 100ms;

struct Fixture
{
    PlannerLease lease{self, address, takeoverDelay};

    void takeLease(Instant now)
    {
        lease.applyRow(versionAt(0), {}, now - takeoverDelay);
        const auto write = lease.advance(now);
        BOOST_REQUIRE(write.has_value());
        BOOST_TEST(write->expectedVersion == 0U);
        lease.handleWriteResult(RowWriteResult::Done, versionAt(5), now + 5ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(doesNotWriteBeforeTheRowIsKnown, Fixture)
{
    BOOST_TEST(!lease.advance(start).has_value());
}

BOOST_FIXTURE_TEST_CASE(takesAndRenewsAMissingRow, Fixture)
{
    takeLease(start);
    BOOST_TEST(lease.isHeld(start + 1s));
    BOOST_TEST(lease.version() == versionAt(5));
    BOOST_TEST(!lease.advance(start + 1s).has_value());
    const auto renewal = lease.advance(start + PlannerLease::renewalInterval + 10ms);
    BOOST_REQUIRE(renewal.has_value());
    BOOST_TEST(renewal->expectedVersion == 5U);
    BOOST_TEST(renewal->row.renewals == 2U);
}

BOOST_FIXTURE_TEST_CASE(leaseExpiresCountedFromTheSendTime, Fixture)
{
    takeLease(start);
    BOOST_TEST(lease.isHeld(start + PlannerLease::leaseDuration - 1ms));
    BOOST_TEST(!lease.isHeld(start + PlannerLease::leaseDuration));
}

BOOST_FIXTURE_TEST_CASE(doesNotTakeOverARowThatChanges, Fixture)
{
    Instant now = start;
    for (std::uint64_t version = 1; version < 10; ++version) {
        lease.applyRow(versionAt(version), {other, address, version}, now);
        now += PlannerLease::takeoverTimeout - 1ms;
        BOOST_TEST(!lease.advance(now).has_value());
    }
    const auto write = lease.advance(now + takeoverDelay + 1ms);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->expectedVersion == 9U);
}

BOOST_FIXTURE_TEST_CASE(takesAResignedLeaseAfterTheTakeoverDelay, Fixture)
{
    lease.applyRow(versionAt(1), {{}, address, 4}, start);
    BOOST_TEST(!lease.advance(start + takeoverDelay - 1ms).has_value());
    BOOST_TEST(lease.advance(start + takeoverDelay).has_value());
}

BOOST_FIXTURE_TEST_CASE(detectsAnUnansweredWriteByItsRow, Fixture)
{
    lease.applyRow(versionAt(0), {}, start - takeoverDelay);
    const auto write = lease.advance(start);
    BOOST_REQUIRE(write.has_value());
    lease.applyRow(versionAt(7), write->row, start + 300ms);
    BOOST_TEST(lease.isHeld(start + 1s));
    lease.handleWriteResult(RowWriteResult::Unknown, versionAt(0), start + 1500ms);
    BOOST_TEST(lease.isHeld(start + 2s));
}

BOOST_FIXTURE_TEST_CASE(replacedHolderDoesNotHoldTheLease, Fixture)
{
    takeLease(start);
    lease.applyRow(versionAt(6), {other, address, 3}, start + 500ms);
    BOOST_TEST(!lease.isHeld(start + 600ms));
}

BOOST_FIXTURE_TEST_CASE(ignoresOlderRows, Fixture)
{
    takeLease(start);
    lease.applyRow(versionAt(4), {other, address, 3}, start + 500ms);
    BOOST_TEST(lease.isHeld(start + 600ms));
}

BOOST_FIXTURE_TEST_CASE(resigningWritesOnceAndIsPermanent, Fixture)
{
    takeLease(start);
    lease.resign();
    BOOST_TEST(!lease.isHeld(start + 100ms));
    const auto write = lease.advance(start + 100ms);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->row.holder.isEmpty());
    lease.handleWriteResult(RowWriteResult::Done, versionAt(8), start + 110ms);
    BOOST_TEST(!lease.advance(start + 60s).has_value());
}

BOOST_FIXTURE_TEST_CASE(retriesAFailedWriteAfterADelay, Fixture)
{
    takeLease(start);
    Instant now = start + PlannerLease::renewalInterval + 10ms;
    int writes = 0;
    for (const Instant end = now + 4s; now < end; now += 5ms) {
        if (!lease.advance(now))
            continue;
        BOOST_TEST(lease.isWriting());
        ++writes;
        lease.handleWriteResult(RowWriteResult::Refused, versionAt(0), now + 4ms);
        BOOST_TEST(!lease.isWriting());
    }
    BOOST_TEST(writes >= 9);
    BOOST_TEST(writes <= 10);
}

BOOST_AUTO_TEST_CASE(weakHostsTakeTheLeaseLast)
{
    Duration longest{};
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        longest = std::max(longest, plannerTakeoverDelay(hash, 0.2));
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        BOOST_TEST((plannerTakeoverDelay(hash, 0.1) > longest));
    BOOST_TEST((plannerTakeoverDelay(1, 0.5) != plannerTakeoverDelay(2, 0.5)));
}

BOOST_FIXTURE_TEST_CASE(givesTheLeaseUpWhileOthersShouldPlan, Fixture)
{
    takeLease(start);
    lease.setYielding(true);
    BOOST_TEST(!lease.isHeld(start + 1s));
    const auto write = lease.advance(start + 1s);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->row.holder.isEmpty());
    lease.handleWriteResult(RowWriteResult::Done, versionAt(6), start + 1s + 5ms);
    BOOST_TEST(!lease.advance(start + 30s).has_value());
    lease.setYielding(false);
    BOOST_TEST(lease.advance(start + 30s).has_value());
}

BOOST_FIXTURE_TEST_CASE(doesNotTakeTheLeaseWhileOthersShouldPlan, Fixture)
{
    lease.setYielding(true);
    lease.applyRow(versionAt(5), {other, address, 1}, start);
    BOOST_TEST(!lease.advance(start + 30s).has_value());
}

BOOST_FIXTURE_TEST_CASE(resumesTheLeaseOfAnEarlierRunAtOnce, Fixture)
{
    lease.applyRow(versionAt(5), {earlierRun, address, 7}, start);
    BOOST_TEST(!lease.advance(start).has_value());
    lease.recordEarlierRun(earlierRun);
    const auto write = lease.advance(start);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->expectedVersion == 5U);
    BOOST_TEST((write->row == PlannerRow{self, address, 8, 0, true}));
    lease.handleWriteResult(RowWriteResult::Done, versionAt(6), start + 5ms);
    BOOST_TEST(lease.isHeld(start + 5ms));
    const auto renewal = lease.advance(start + 5ms + PlannerLease::renewalInterval);
    BOOST_REQUIRE(renewal.has_value());
    BOOST_TEST(!renewal->row.isResumed);
}

BOOST_FIXTURE_TEST_CASE(runThatEndedBeforeItsFirstRenewalIsNotResumed, Fixture)
{
    lease.recordEarlierRun(earlierRun);
    lease.applyRow(versionAt(5), {earlierRun, address, 7, 0, true}, start);
    const Duration timeout = PlannerLease::takeoverTimeout + takeoverDelay;
    BOOST_TEST(!lease.advance(start + timeout - 1ms).has_value());
    const auto write = lease.advance(start + timeout);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(!write->row.isResumed);
}

BOOST_FIXTURE_TEST_CASE(leaseOfAnotherHostIsNotResumed, Fixture)
{
    lease.recordEarlierRun(earlierRun);
    lease.applyRow(versionAt(5), {other, address, 7}, start);
    BOOST_TEST(!lease.advance(start + PlannerLease::takeoverTimeout).has_value());
}

BOOST_FIXTURE_TEST_CASE(resumesALateRenewalOfTheEarlierRun, Fixture)
{
    lease.recordEarlierRun(earlierRun);
    lease.applyRow(versionAt(5), {earlierRun, address, 7}, start);
    BOOST_REQUIRE(lease.advance(start).has_value());
    lease.handleWriteResult(RowWriteResult::Refused, versionAt(0), start + 5ms);
    lease.applyRow(versionAt(6), {earlierRun, address, 8}, start + 10ms);
    const auto write = lease.advance(start + 5ms + PlannerLease::retryInterval);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->expectedVersion == 6U);
}

BOOST_FIXTURE_TEST_CASE(doesNotResumeTheLeaseWhileOthersShouldPlan, Fixture)
{
    lease.recordEarlierRun(earlierRun);
    lease.setYielding(true);
    lease.applyRow(versionAt(5), {earlierRun, address, 7}, start);
    BOOST_TEST(!lease.advance(start + 30s).has_value());
}

BOOST_FIXTURE_TEST_CASE(lastHolderClaimsTheLeaseOfARestoredStoreAtOnce, Fixture)
{
    takeLease(start);
    // The copy has an earlier planner, under a version number that has been in use since.
    lease.applyRow({1, 4}, {other, address, 1}, start + 500ms);
    BOOST_TEST(!lease.isHeld(start + 500ms));
    const auto write = lease.advance(start + 500ms);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->expectedVersion == 4U);
    lease.handleWriteResult(RowWriteResult::Done, {1, 5}, start + 505ms);
    BOOST_TEST(lease.isHeld(start + 505ms));
}

BOOST_FIXTURE_TEST_CASE(leaseOfAnEarlierEraDoesNotLastInARestoredStore, Fixture)
{
    takeLease(start);
    lease.applyRow({1, 4}, {self, address, 1}, start + 500ms);
    BOOST_TEST(!lease.isHeld(start + 500ms));
}

BOOST_FIXTURE_TEST_CASE(earlierHolderInTheCopyWaitsForTheLastOne, Fixture)
{
    lease.applyRow(versionAt(70), {other, address, 9}, start);
    lease.applyRow({1, 4}, {self, address, 1}, start + 500ms);
    BOOST_TEST(!lease.advance(start + 500ms).has_value());
    BOOST_TEST(lease.advance(start + 500ms + PlannerLease::renewalInterval).has_value());
}

BOOST_FIXTURE_TEST_CASE(lastHolderLeavesTheLeaseToWhoeverTookItInTheNewEra, Fixture)
{
    takeLease(start);
    lease.applyRow({1, 5}, {other, address, 1, 1}, start + 500ms);
    BOOST_TEST(!lease.advance(start + 500ms).has_value());
    Fixture later;
    later.takeLease(start);
    // The other daemon took the lease after a timeout, and did not know of the restore.
    later.lease.applyRow({1, 5}, {other, address, 2, 0}, start + 500ms);
    BOOST_TEST(!later.lease.advance(start + 500ms).has_value());
}
