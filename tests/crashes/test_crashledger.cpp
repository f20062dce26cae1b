#define BOOST_TEST_MODULE CrashLedgers

#include "process/crashledger.h"

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

/** Three daemons, and the rows that they write, which all see at once. */
struct Daemons
{
    Daemons()
    {
        for (const HostName &host : hosts) {
            ledgers.emplace(host, CrashLedger{host});
            ledgers.at(host).rowsSeen();
        }
    }

    CrashLedger &at(std::size_t index)
    {
        return ledgers.at(hosts[index]);
    }

    /** Has \a index see the end of a server under \a request, sent by what it knew. */
    void see(std::size_t index, const RequestFingerprint &request, const ServerName &ended)
    {
        const Quarantine known = quarantineAt(index);
        const auto after = known.endedUnder(request);
        const CrashReport report{request, ended, {after.begin(), after.end()}};
        at(index).reported({&report, 1}, now);
        spread();
    }

    void answer(std::size_t index, const RequestFingerprint &request)
    {
        at(index).answered(request, now);
        spread();
    }

    /** Carries out all writes that are due, and shows them to all. */
    void spread()
    {
        for (auto &[host, ledger] : ledgers) {
            const auto write = ledger.dueWrite(now);
            if (!write)
                continue;
            ++writes;
            rows[host] = {++version, write->row};
            ledger.written(RowWriteEnd::Done, version, now);
        }
        for (auto &[host, ledger] : ledgers) {
            for (const auto &[writer, row] : rows)
                ledger.rowSeen(writer, row.first, row.second, now);
        }
    }

    void pass(Duration span)
    {
        now += span;
        spread();
    }

    Quarantine quarantineAt(std::size_t index)
    {
        if (const auto next = at(index).changed(now))
            known[index] = *next;
        return known[index];
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
    std::map<HostName, CrashLedger> ledgers;
    std::map<HostName, std::pair<std::uint64_t, CrashRow>> rows;
    std::map<std::size_t, Quarantine> known;
    std::uint64_t version = 0;
    int writes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(threeEndsSeenByThreeDaemonsBlockARequestAtAll, Daemons)
{
    see(0, bad, server(1));
    see(1, bad, server(2));
    BOOST_TEST(!isBlockedAnywhere(bad));
    see(2, bad, server(3));
    BOOST_TEST(isBlockedEverywhere(bad));
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(oneServerThatEndsUnderManyIsOneEnd, Daemons)
{
    for (std::size_t i = 0; i < hosts.size(); ++i)
        see(i, bad, server(1));
    BOOST_TEST(!isBlockedAnywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(aPopularRequestAtServersThatFallTogetherIsNotBlocked, Daemons)
{
    // All were sent before any of the ends was known.
    for (int i = 1; i <= 5; ++i) {
        const CrashReport report{good, server(i), {}};
        at(static_cast<std::size_t>(i) % hosts.size()).reported({&report, 1}, now);
    }
    spread();
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(aRequestThatIsAnsweredInBetweenIsNotBlocked, Daemons)
{
    for (int i = 1; i <= 6; ++i) {
        see(0, good, server(i));
        answer(1, good);
        pass(CrashLedger::longestScatter);
    }
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(anAnswerThatOthersHaveNotHeardOfGoesAlongWithTheNextReport, Daemons)
{
    see(0, good, server(1));
    // With one end nothing is told: most requests that a crash broke off are answered later.
    const int before = writes;
    answer(1, good);
    pass(CrashLedger::longestScatter);
    BOOST_TEST(writes == before);
    see(1, good, server(2));
    BOOST_TEST(quarantineAt(0).endedUnder(good).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(anAnswerThatCameLateLiftsTheBlock, Daemons)
{
    see(0, good, server(1));
    see(1, good, server(2));
    see(2, good, server(3));
    BOOST_TEST(isBlockedEverywhere(good));
    answer(1, good);
    pass(CrashLedger::longestScatter);
    BOOST_TEST(!isBlockedAnywhere(good));
}

BOOST_FIXTURE_TEST_CASE(ofManyThatAnswerOneTells, Daemons)
{
    see(0, good, server(1));
    see(1, good, server(2));
    const int before = writes;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        at(i).answered(good, now);
    for (int i = 0; i < 70; ++i)
        pass(10ms);
    BOOST_TEST(writes == before + 1);
}

BOOST_FIXTURE_TEST_CASE(aDaemonThatStartsKnowsWhatWasKnown, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        see(0, bad, server(i));
    for (const HostName &host : hosts)
        ledgers.at(host) = CrashLedger{host};
    known.clear();
    spread();
    BOOST_TEST(isBlockedEverywhere(bad));
    for (const HostName &host : hosts)
        ledgers.at(host).rowsSeen();
    // What it writes next keeps what its earlier run saw.
    see(0, good, server(4));
    BOOST_TEST(isBlockedEverywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(whatADaemonSawBeforeItKnewItsRowIsToldWithIt, Daemons)
{
    see(0, bad, server(1));
    at(0) = CrashLedger{hosts[0]};
    const CrashReport report{good, server(2), {}};
    at(0).reported({&report, 1}, now);
    spread();
    at(0).rowsSeen();
    spread();
    BOOST_TEST(rows.at(hosts[0]).second.reports.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(aRowThatWasRemovedOrSpoiledIsWrittenAnew, Daemons)
{
    see(0, bad, server(1));
    at(0).rowSeen(hosts[0], ++version, std::nullopt, now);
    const CrashReport second{bad, server(2), {}};
    at(0).reported({&second, 1}, now);
    const auto written = at(0).dueWrite(now);
    BOOST_REQUIRE(written.has_value());
    BOOST_TEST(written->expectedVersion == 0U);
    at(0).written(RowWriteEnd::Done, ++version, now);
    // A word from before the write is no news.
    at(0).rowSeen(hosts[0], version - 1, std::nullopt, now);
    at(0).rowSeen(hosts[0], ++version, CrashRow{}, now);
    const CrashReport third{bad, server(3), {}};
    at(0).reported({&third, 1}, now);
    const auto again = at(0).dueWrite(now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->expectedVersion == version);
    BOOST_TEST(again->row.reports.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(theBlockEnds, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        see(1, bad, server(i));
    pass(CrashLedger::memory - 1s);
    BOOST_TEST(isBlockedEverywhere(bad));
    pass(2s);
    BOOST_TEST(!isBlockedAnywhere(bad));
    BOOST_TEST(rows.at(hosts[1]).second.reports.empty());
}

BOOST_FIXTURE_TEST_CASE(whatADaemonThatIsGoneSawEndsAsWell, Daemons)
{
    for (int i = 1; i <= 3; ++i)
        see(1, bad, server(i));
    ledgers.erase(hosts[1]);
    pass(CrashLedger::memory + 1s);
    BOOST_TEST(!quarantineAt(0).blocks(bad));
    BOOST_TEST(!quarantineAt(2).blocks(bad));
}

BOOST_FIXTURE_TEST_CASE(anOperatorLiftsABlock, Daemons)
{
    for (std::size_t i = 0; i < hosts.size(); ++i)
        see(i, bad, server(static_cast<int>(i)));
    BOOST_TEST(at(2).lift(bad));
    BOOST_TEST(!at(2).lift(good));
    spread();
    BOOST_TEST(!isBlockedAnywhere(bad));
}

BOOST_FIXTURE_TEST_CASE(aRowIsBoundedAndKeepsWhatCameAgain, Daemons)
{
    see(0, bad, server(1));
    see(1, bad, server(2));
    for (int i = 0; i < 1000; ++i) {
        const RequestFingerprint other{{"GET", "shop.example", "/" + std::to_string(i), ""}};
        see(1, other, server(3));
    }
    BOOST_TEST(rows.at(hosts[1]).second.reports.size() == CrashLedger::mostReports);
    see(2, bad, server(4));
    BOOST_TEST(isBlockedEverywhere(bad));
}

BOOST_AUTO_TEST_CASE(aWriteThatWasNotDoneIsRepeatedAfterAPause)
{
    CrashLedger ledger{hosts[0]};
    const Instant now{100s};
    const CrashReport report{bad, server(1), {}};
    ledger.reported({&report, 1}, now);
    // Not before the own row is known: what an earlier run saw would be lost.
    BOOST_TEST(!ledger.dueWrite(now).has_value());
    ledger.rowsSeen();
    BOOST_TEST(ledger.dueWrite(now).has_value());
    BOOST_TEST(!ledger.dueWrite(now).has_value());
    ledger.written(RowWriteEnd::Refused, 0, now);
    BOOST_TEST(!ledger.dueWrite(now).has_value());
    const auto again = ledger.dueWrite(now + CrashLedger::firstPause);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->row.reports.size() == 1U);
    ledger.written(RowWriteEnd::Unknown, 0, now);
    // The lost write was done after all.
    ledger.rowSeen(hosts[0], 7, again->row, now);
    const auto third = ledger.dueWrite(now + 10s);
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST(third->expectedVersion == 7U);
}

BOOST_FIXTURE_TEST_CASE(daemonsThatAreKnownAlreadyAreNoNews, Daemons)
{
    at(0).setDaemons(hosts);
    see(0, bad, server(1));
    BOOST_TEST((at(0).changed(now) != nullptr));
    at(0).setDaemons(hosts);
    BOOST_TEST((at(0).changed(now) == nullptr));
    at(0).setDaemons({hosts[0], hosts[1]});
    BOOST_TEST((at(0).changed(now) != nullptr));
}
