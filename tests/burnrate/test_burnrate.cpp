#define BOOST_TEST_MODULE BurnRate

#include "golden.h"
#include "version/burnreport.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace bulrush::io;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

const OrganisationName leuvensport{"leuvensport"};
const OrganisationName hinokuni{"hinokuni, \"desk\" <jp>"};
const OperationName deposit{"deposit"};
const OperationName status{"status"};
const OperationName booking{"booking"};
const ServiceTarget depositTarget{0.999, 2s};
const ServiceTarget statusTarget{0.99, 500ms};

/** Records \a requests per minute for \a minutes; in each minute, \a bad of them are refused. */
void recordMinutes(BurnRecorder &recorder, Instant &now, int minutes, int requests, int bad)
{
    for (int minute = 0; minute < minutes; ++minute) {
        now += 1min;
        for (int request = 0; request < requests; ++request) {
            const bool isBad = request < bad;
            recorder.record(now, leuvensport, deposit,
                            isBad ? ServiceOutcome::NotRun : ServiceOutcome::Answered,
                            Duration(1ms) * (10 + request));
        }
    }
}

BurnRow depositRow(BurnRecorder &recorder, Instant now)
{
    const std::vector<BurnSnapshot> snapshots{
        recorder.snapshot(now, HostName{"a1"}, Incarnation{"a1#1"})};
    return burnReport(snapshots, {}).rows.at(0);
}

/**
 * \returns the report on two daemons, one of which started recently, of three that are expected.
 */
BurnReport sessionReport()
{
    Instant now{};
    BurnRecorder longRunning(now);
    longRunning.setTarget(leuvensport, deposit, depositTarget);
    longRunning.setTarget(hinokuni, status, statusTarget);
    longRunning.setTarget(leuvensport, booking, statusTarget);
    recordMinutes(longRunning, now, 80 * 60, 20, 0);
    for (int request = 0; request < 400; ++request)
        longRunning.record(now, hinokuni, status, ServiceOutcome::Answered,
                           request < 8 ? 700ms : 40ms);
    for (int request = 0; request < 400; ++request)
        longRunning.record(now, leuvensport, booking,
                           request < 1 ? ServiceOutcome::Unknown : ServiceOutcome::Answered, 40ms);

    BurnRecorder recentlyStarted(now);
    recentlyStarted.setTarget(leuvensport, deposit, {0.9995, 2s});
    recordMinutes(recentlyStarted, now, 70, 20, 2);
    const std::vector<BurnSnapshot> snapshots{
        recentlyStarted.snapshot(now, HostName{"b1"}, Incarnation{"b1#9"}),
        longRunning.snapshot(now, HostName{"a1"}, Incarnation{"a1#1"}),
    };
    const std::vector<HostName> expected{HostName{"a1"}, HostName{"b1"}, HostName{"c1"}};
    return burnReport(snapshots, expected);
}

std::error_code errorOf(std::string_view text)
{
    BurnSnapshot snapshot;
    return decodeBurnSnapshot(text, snapshot);
}

} // namespace

BOOST_AUTO_TEST_CASE(lateRefusedAndUnknownAreBadAndCallerErrorsAreNot)
{
    BurnRecorder recorder(Instant{});
    recorder.setTarget(leuvensport, deposit, depositTarget);
    const Instant now{1s};
    recorder.record(now, leuvensport, deposit, ServiceOutcome::Answered, 2s);
    recorder.record(now, leuvensport, deposit, ServiceOutcome::Answered, 2001ms);
    recorder.record(now, leuvensport, deposit, ServiceOutcome::NotRun, 1ms);
    recorder.record(now, leuvensport, deposit, ServiceOutcome::Unknown, 1ms);
    recorder.record(now, leuvensport, deposit, ServiceOutcome::CallerError, 1ms);
    recorder.record(now, leuvensport, status, ServiceOutcome::NotRun, 1ms);

    const BurnRow row = depositRow(recorder, now);
    for (const WindowBurn &window : row.windows)
        BOOST_TEST((window.counted == GoodBad{1, 3}));
    BOOST_TEST(recorder.ignored() == 1U);
}

BOOST_AUTO_TEST_CASE(countsExpireWithEachWindow)
{
    Instant now{};
    BurnRecorder recorder(now);
    recorder.setTarget(leuvensport, deposit, depositTarget);
    recordMinutes(recorder, now, 1, 10, 10);
    const auto badAfter = [&](Duration span) {
        std::vector<std::uint64_t> bad;
        for (const WindowBurn &window : depositRow(recorder, now + span).windows)
            bad.push_back(window.counted.bad);
        return bad;
    };
    using Counts = std::vector<std::uint64_t>;
    BOOST_TEST(badAfter(4min + 49s) == (Counts{10, 10, 10, 10}));
    BOOST_TEST(badAfter(5min) == (Counts{0, 10, 10, 10}));
    BOOST_TEST(badAfter(1h) == (Counts{0, 0, 10, 10}));
    BOOST_TEST(badAfter(6h) == (Counts{0, 0, 0, 10}));
    BOOST_TEST(badAfter(72h) == (Counts{0, 0, 0, 0}));
    BOOST_TEST(badAfter(24h * 365) == (Counts{0, 0, 0, 0}));
}

BOOST_AUTO_TEST_CASE(fastBurnNeedsBothShortWindowsAndSlowBothLong)
{
    Instant now{};
    BurnRecorder recorder(now);
    recorder.setTarget(leuvensport, deposit, depositTarget);
    recordMinutes(recorder, now, 72 * 60, 100, 0);
    BOOST_TEST(depositRow(recorder, now).budgetLeft == 1.0);

    recordMinutes(recorder, now, 5, 100, 10);
    BurnRow row = depositRow(recorder, now);
    BOOST_TEST(row.windows[0].rate >= fastBurnRate);
    BOOST_TEST(!row.isBurningFast);

    recordMinutes(recorder, now, 10, 100, 10);
    row = depositRow(recorder, now);
    BOOST_TEST(row.isBurningFast);
    BOOST_TEST(!row.isBurningSlowly);

    recordMinutes(recorder, now, 50, 100, 10);
    row = depositRow(recorder, now);
    BOOST_TEST(row.isBurningSlowly);
    BOOST_TEST(row.budgetLeft < 0);

    recordMinutes(recorder, now, 10, 100, 0);
    BOOST_TEST(!depositRow(recorder, now).isBurningFast);
}

BOOST_AUTO_TEST_CASE(quantilesAreUpperEdgesOfTheirBins)
{
    LatencyHistogram histogram;
    BOOST_TEST(!histogram.quantile(0.5).has_value());
    for (int count = 0; count < 99; ++count)
        histogram.record(20ms);
    histogram.record(3s);
    BOOST_TEST((*histogram.quantile(0.5) >= 20ms && *histogram.quantile(0.5) <= 27ms));
    BOOST_TEST((*histogram.quantile(0.99) <= 27ms));
    BOOST_TEST((*histogram.quantile(1) >= 3s && *histogram.quantile(1) <= 4s));

    LatencyHistogram merged = *LatencyHistogram::fromCounts(histogram.counts());
    merged.merge(histogram);
    merged.record(0s);
    merged.record(1h);
    BOOST_TEST(merged.total() == 202U);
    BOOST_TEST((*merged.quantile(1) == 100s));
    BOOST_TEST((*merged.quantile(0) == 1ms));
}

BOOST_AUTO_TEST_CASE(reportListsMissingHostsAndCountsEachHostOnce)
{
    Instant now{};
    BurnRecorder recorder(now);
    recorder.setTarget(leuvensport, deposit, depositTarget);
    recordMinutes(recorder, now, 1, 10, 1);
    const BurnSnapshot first = recorder.snapshot(now, HostName{"a1"}, Incarnation{"a1#1"});
    recordMinutes(recorder, now, 1, 10, 1);
    const BurnSnapshot second = recorder.snapshot(now, HostName{"a1"}, Incarnation{"a1#1"});
    const std::vector<BurnSnapshot> snapshots{first, second};
    const std::vector<HostName> expected{HostName{"c1"}, HostName{"a1"}, HostName{"b1"}};

    const BurnReport report = burnReport(snapshots, expected);
    BOOST_TEST((report.rows.at(0).windows[0].counted == GoodBad{18, 2}));
    BOOST_TEST((report.missing == std::vector<HostName>{HostName{"b1"}, HostName{"c1"}}));
    BOOST_TEST(report.partlyObserved == 1U);
    BOOST_TEST((report.minObservedDuration == 2min));

    const std::vector<BurnSnapshot> threads{first, first};
    BOOST_TEST((mergedThreads(threads).series.at(0).windows[0] == GoodBad{18, 2}));
}

BOOST_AUTO_TEST_CASE(snapshotSurvivesARoundTrip)
{
    Instant now{};
    BurnRecorder recorder(now);
    recorder.setTarget(leuvensport, deposit, {0.9995, 1500ms});
    recorder.setTarget(hinokuni, status, statusTarget);
    recordMinutes(recorder, now, 3, 10, 1);
    const BurnSnapshot sent = recorder.snapshot(now, HostName{"a1"}, Incarnation{"a1#1"});

    BurnSnapshot received;
    BOOST_TEST(!decodeBurnSnapshot(encodeBurnSnapshot(sent), received));
    BOOST_TEST((received == sent));
}

BOOST_AUTO_TEST_CASE(invalidSnapshotsGiveDistinctErrors)
{
    BurnRecorder recorder(Instant{});
    recorder.setTarget(leuvensport, deposit, depositTarget);
    const std::string good =
        encodeBurnSnapshot(recorder.snapshot(Instant{}, HostName{"a1"}, Incarnation{"a1#1"}));
    const auto changed = [&](std::string_view from, std::string_view to) {
        std::string text = good;
        const std::size_t place = text.find(from);
        BOOST_REQUIRE(place != std::string::npos);
        return text.replace(place, from.size(), to);
    };
    BOOST_TEST(errorOf("") == BurnReportError::NotJson);
    BOOST_TEST(errorOf("[1]") == BurnReportError::NotJson);
    BOOST_TEST(errorOf(changed("\"format\":1", "\"format\":2")) == BurnReportError::UnknownFormat);
    BOOST_TEST(errorOf(changed("\"a1\"", "7")) == BurnReportError::WrongField);
    BOOST_TEST(errorOf(changed("\"0.99", "\"9.99")) == BurnReportError::WrongField);
    BOOST_TEST(errorOf(changed("\"3d\"", "\"4d\"")) == BurnReportError::WrongWindows);
    BOOST_TEST(errorOf(changed("[0,0,0,0", "[0,0,0")) == BurnReportError::WrongHistogram);
}

BOOST_AUTO_TEST_CASE(reportIsRenderedInEveryForm)
{
    const BurnReport report = sessionReport();
    BOOST_TEST(differenceFromGolden("burnrate/report.txt", burnTable(report)) == "");
    BOOST_TEST(differenceFromGolden("burnrate/report.json", burnJson(report)) == "");
    BOOST_TEST(differenceFromGolden("burnrate/report.csv", burnCsv(report)) == "");
    const std::string page = burnHtml(report, "Made at 2026-12-02 18:00 UTC");
    BOOST_TEST(differenceFromGolden("burnrate/report.html", page) == "");
    BOOST_TEST(page.find("<jp>") == std::string::npos);
    BOOST_TEST(page.find("<script") == std::string::npos);
    BOOST_TEST(page.find("src=") == std::string::npos);
}
