#define BOOST_TEST_MODULE CrashLedgers

#include "process/crashregistry.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint bad{{"GET", "shop.example", "/bad", ""}};
const RequestFingerprint good{{"GET", "shop.example", "/good", ""}};
const std::vector<HostName> hosts{HostName{"a1"}, HostName{"a2"}, HostName{"b1"}};

ServerName server(int number)
{
    return ServerName{"s" + std::to_string(number)};
}

/** Three daemons and their rows, which all daemons receive immediately. */
struct Daemons
{
    Daemons()
    {
        for (const HostName &host : hosts) {
            registries.emplace(host, CrashRegistry{host});
            registries.at(host).markRowsComplete();
        }
    }

    CrashRegistry &at(std::size_t index)
    {
        return registries.at(hosts[index]);
    }

    /** Reports to daemon \a index that a server crashed under \a request. */
    void reportCrash(std::size_t index, const RequestFingerprint &request,
                     const ServerName &crashed)
    {
        const Quarantine quarantine = quarantineAt(index);
        const auto after = quarantine.crashedServers(request);
        const CrashReport report{request, crashed, {after.begin(), after.end()}};
        at(index).reported({&report, 1}, now);
        replicate();
    }

    void answerRequest(std::size_t index, const RequestFingerprint &request)
    {
        at(index).answered(request, now);
        replicate();
    }

    /** Executes all due writes and delivers all rows to all daemons. */
    void replicate()
    {
        for (auto &[host, registry] : registries) {
            const auto write = registry.startDueWrite(now);
            if (!write)
                continue;
            ++writes;
            rows[host] = {++version, write->row};
            registry.handleWriteResult(RowWriteResult::Done, {0, version}, now);
        }
        for (auto &[host, registry] : registries) {
            for (const auto &[writer, row] : rows)
                registry.applyRow(writer, {0, row.first}, row.second, now);
        }
    }

    void advance(Duration duration)
    {
        now += duration;
        replicate();
    }

    Quarantine quarantineAt(std::size_t index)
    {
        if (const auto next = at(index).takeUpdate(now))
            quarantines[index] = *next;
        return quarantines[index];
    }

    bool isBlockedEverywhere(const RequestFingerprint &request)
    {
        return quarantineAt(0).blocks(request) && quarantineAt(1).blocks(request)
            && quarantineAt(2).blocks(request);
    }

    bool isBlockedAnywhere(const RequestFingerprint &request)
    {
        return quarantineAt(0).blocks(request) || quarantineAt(1).blocks(request)
            || quarantineAt(2).blocks(request);
    }

    Instant now{100s};
    std::map<HostName, CrashRegistry> registries;
    std::map<HostName, std::pair<std::uint64_t, CrashRow>> rows;
    std::map<std::size_t, Quarantine> quarantines;
    std::uint64_t version = 0;
    int writes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(threeCrashesSeenByThreeDaemonsBlockRequestEverywhere, Daemons)
{
    reportCrash(0, bad, server(1));
    reportCrash(1, bad, server(2));
    BOOST_TEST(!isBlockedAnywhere(bad));
    reportCrash(2, bad, server(3));
    BOOST_TEST(isBlockedEverywhere(bad));
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(crashReportedByManyDaemonsCountsOnce, Daemons)
{
    for (std::size_t i = 0; i < hosts.size(); ++i)
        reportCrash(i, bad, server(1));
    BOOST_TEST(!isBlockedAnywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(popularRequestIsNotBlockedWhenServersCrashTogether, Daemons)
{
    // All were sent before any of the crashes was known.
    for (int i = 1; i <= 5; ++i) {
        const CrashReport report{good, server(i), {}};
        at(static_cast<std::size_t>(i) % hosts.size()).reported({&report, 1}, now);
    }
    replicate();
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(requestAnsweredBetweenCrashesIsNotBlocked, Daemons)
{
    for (int i = 1; i <= 6; ++i) {
        reportCrash(0, good, server(i));
        answerRequest(1, good);
        advance(CrashRegistry::maxPublishDelay);
    }
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(unpublishedAnswerIsPublishedWithNextReport, Daemons)
{
    reportCrash(0, good, server(1));
    // After one crash nothing is published: most requests that a crash interrupts succeed later.
    const int before = writes;
    answerRequest(1, good);
    advance(CrashRegistry::maxPublishDelay);
    BOOST_TEST(writes == before);
    reportCrash(1, good, server(2));
    BOOST_TEST(quarantineAt(0).crashedServers(good).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(lateAnswerLiftsBlock, Daemons)
{
    reportCrash(0, good, server(1));
    reportCrash(1, good, server(2));
    reportCrash(2, good, server(3));
    BOOST_TEST(isBlockedEverywhere(good));
    answerRequest(1, good);
    advance(CrashRegistry::maxPublishDelay);
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(onlyOneOfManyDaemonsPublishesAnswer, Daemons)
{
    reportCrash(0, good, server(1));
    reportCrash(1, good, server(2));
    const int before = writes;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        at(i).answered(good, now);
    for (int i = 0; i < 70; ++i)
        advance(10ms);
    BOOST_TEST(writes == before + 1);
}

BOOST_FIXTURE_TEST_CASE(restartedDaemonRestoresQuarantine, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        reportCrash(0, bad, server(i));
    for (const HostName &host : hosts)
        registries.at(host) = CrashRegistry{host};
    quarantines.clear();
    replicate();
    BOOST_TEST(isBlockedEverywhere(bad));
    for (const HostName &host : hosts)
        registries.at(host).markRowsComplete();
    // The next write keeps the reports of the earlier run.
    reportCrash(0, good, server(4));
    BOOST_TEST(isBlockedEverywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(reportsBeforeOwnRowIsReceivedAreMergedIntoRow, Daemons)
{
    reportCrash(0, bad, server(1));
    at(0) = CrashRegistry{hosts[0]};
    const CrashReport report{good, server(2), {}};
    at(0).reported({&report, 1}, now);
    replicate();
    at(0).markRowsComplete();
    replicate();
    BOOST_TEST(rows.at(hosts[0]).second.reports.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(removedOrInvalidRowIsRewritten, Daemons)
{
    reportCrash(0, bad, server(1));
    at(0).applyRow(hosts[0], {0, ++version}, std::nullopt, now);
    const CrashReport second{bad, server(2), {}};
    at(0).reported({&second, 1}, now);
    const auto firstWrite = at(0).startDueWrite(now);
    BOOST_REQUIRE(firstWrite.has_value());
    BOOST_TEST(firstWrite->expectedVersion == 0U);
    at(0).handleWriteResult(RowWriteResult::Done, {0, ++version}, now);
    // A row version from before the write is ignored.
    at(0).applyRow(hosts[0], {0, version - 1}, std::nullopt, now);
    at(0).applyRow(hosts[0], {0, ++version}, CrashRow{}, now);
    const CrashReport third{bad, server(3), {}};
    at(0).reported({&third, 1}, now);
    const auto again = at(0).startDueWrite(now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->expectedVersion == version);
    BOOST_TEST(again->row.reports.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(blockExpires, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        reportCrash(1, bad, server(i));
    advance(CrashRegistry::reportRetention - 1s);
    BOOST_TEST(isBlockedEverywhere(bad));
    advance(2s);
    BOOST_TEST(!isBlockedAnywhere(bad));
    BOOST_TEST(rows.at(hosts[1]).second.reports.empty());
}

BOOST_FIXTURE_TEST_CASE(reportsOfRemovedDaemonExpire, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        reportCrash(1, bad, server(i));
    registries.erase(hosts[1]);
    advance(CrashRegistry::reportRetention + 1s);
    BOOST_TEST(!quarantineAt(0).blocks(bad));
    BOOST_TEST(!quarantineAt(2).blocks(bad));
}

BOOST_FIXTURE_TEST_CASE(operatorLiftsBlock, Daemons)
{
    for (std::size_t i = 0; i < hosts.size(); ++i)
        reportCrash(i, bad, server(static_cast<int>(i)));
    BOOST_TEST(at(2).lift(bad));
    BOOST_TEST(!at(2).lift(good));
    replicate();
    BOOST_TEST(!isBlockedAnywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(rowIsBoundedAndKeepsRepeatedRequests, Daemons)
{
    reportCrash(0, bad, server(1));
    reportCrash(1, bad, server(2));
    for (int i = 0; i < 1000; ++i) {
        const RequestFingerprint other{{"GET", "shop.example", "/" + std::to_string(i), ""}};
        reportCrash(1, other, server(3));
    }
    BOOST_TEST(rows.at(hosts[1]).second.reports.size() == CrashRegistry::maxReports);
    reportCrash(2, bad, server(4));
    BOOST_TEST(isBlockedEverywhere(bad));
}

BOOST_AUTO_TEST_CASE(failedWriteIsRetriedAfterBackoff)
{
    CrashRegistry registry{hosts[0]};
    const Instant now{100s};
    const CrashReport report{bad, server(1), {}};
    registry.reported({&report, 1}, now);
    // No write before the own row is received: it would lose the reports of an earlier run.
    BOOST_TEST(!registry.startDueWrite(now).has_value());
    registry.markRowsComplete();
    BOOST_TEST(registry.startDueWrite(now).has_value());
    BOOST_TEST(!registry.startDueWrite(now).has_value());
    registry.handleWriteResult(RowWriteResult::Refused, {}, now);
    BOOST_TEST(!registry.startDueWrite(now).has_value());
    const auto again = registry.startDueWrite(now + CrashRegistry::minWriteBackoff);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->row.reports.size() == 1U);
    registry.handleWriteResult(RowWriteResult::Unknown, {}, now);
    // The write with the unknown result was executed.
    registry.applyRow(hosts[0], {0, 7}, again->row, now);
    const auto third = registry.startDueWrite(now + 10s);
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST(third->expectedVersion == 7U);
}

BOOST_FIXTURE_TEST_CASE(unchangedDaemonsDoNotChangeQuarantine, Daemons)
{
    at(0).setDaemons(hosts);
    reportCrash(0, bad, server(1));
    BOOST_TEST((at(0).takeUpdate(now) != nullptr));
    at(0).setDaemons(hosts);
    BOOST_TEST((at(0).takeUpdate(now) == nullptr));
    at(0).setDaemons({hosts[0], hosts[1]});
    BOOST_TEST((at(0).takeUpdate(now) != nullptr));
}

BOOST_FIXTURE_TEST_CASE(reportsThatARestoredStoreLacksAreWrittenAgain, Daemons)
{
    reportCrash(0, bad, server(1));
    reportCrash(0, bad, server(2));
    const CrashRow written = rows.at(hosts[0]).second;
    BOOST_TEST(written.reports.size() == 2U);
    // The copy has the first report only, and lacks the row of the third daemon.
    reportCrash(2, bad, server(3));
    const CrashRow copied{{written.reports.front()}, {}};
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        at(i).applyRow(hosts[0], {1, 1}, copied, now);
        at(i).applyRow(hosts[2], {1, 5}, std::nullopt, now);
        // The same rows are read again.
        at(i).applyRow(hosts[0], {1, 1}, copied, now);
        at(i).applyRow(hosts[2], {1, 6}, std::nullopt, now);
        // What is known counts until the daemons have written their rows again.
        BOOST_TEST(quarantineAt(i).blocks(bad));
    }
    const auto first = at(0).startDueWrite(now);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->expectedVersion == 1U);
    BOOST_TEST((first->row == written));
    BOOST_TEST(!at(1).startDueWrite(now).has_value());
    const auto third = at(2).startDueWrite(now);
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST(third->expectedVersion == 0U);
}
