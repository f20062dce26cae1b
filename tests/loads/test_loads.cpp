#define BOOST_TEST_MODULE Loads

#include "process/jsonreader.h"
#include "version/loadreportcodec.h"
#include "version/loadreporttable.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const ServiceName catalogue{"catalogue"};
const Incarnation d1{"d1"};
const Incarnation d2{"d2"};
constexpr Instant start{1000s};
constexpr std::size_t maxBytes = 24'000;

LoadReport smallReport()
{
    return {{{{0, 99}, 1.25}, {{100, 100}, 40.0}}, {{100, 39.5}}};
}

/** \returns a report with the given number of entries, each with the maximum number of digits. */
LoadReport largestReport(std::size_t slices, std::size_t keys)
{
    constexpr KeyHash step = std::numeric_limits<KeyHash>::max() / 1000;
    LoadReport report;
    for (std::size_t i = 0; i < slices; ++i)
        report.slices.push_back({{step * i, step * (i + 1) - 1}, 1e300});
    for (std::size_t i = 0; i < keys; ++i)
        report.hotKeys.push_back({step * i, 1e300});
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(decodedReportsEqualEncodedReports)
{
    const std::map<ServiceName, LoadReport> reports{{catalogue, smallReport()},
                                                    {ServiceName{"scores"}, {}}};
    const std::string text = io::toCompactJson(io::encodeLoadReports(reports));
    const auto read = io::decodeLoadReports(io::parseJson(text));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == reports));
}

BOOST_AUTO_TEST_CASE(largestReportFitsSizeLimit)
{
    const Json::Value json =
        io::encodeLoadReport(largestReport(io::maxReportedSlices, io::maxReportedKeys));
    BOOST_TEST(io::toCompactJson(json).size() <= maxBytes);
    BOOST_TEST(io::decodeLoadReport(json).has_value());
}

BOOST_AUTO_TEST_CASE(reportOutsideLimitsIsRejected)
{
    const auto isRead = [](const LoadReport &report) {
        return io::decodeLoadReport(io::encodeLoadReport(report)).has_value();
    };
    BOOST_TEST(!isRead(largestReport(io::maxReportedSlices + 1, 0)));
    BOOST_TEST(!isRead(largestReport(0, io::maxReportedKeys + 1)));
    BOOST_TEST(!isRead({{{{0, 9}, 1.0}, {{9, 20}, 1.0}}, {}}));
    BOOST_TEST(!isRead({{{{9, 0}, 1.0}}, {}}));
    BOOST_TEST(!isRead({{}, {{5, 1.0}, {5, 1.0}}}));
    Json::Value json = io::encodeLoadReport(smallReport());
    json["slices"][0]["milliLoad"] = "much";
    BOOST_TEST(!io::decodeLoadReport(json).has_value());
    BOOST_TEST(!io::decodeLoadReports(Json::Value{"none"}).has_value());
}

BOOST_AUTO_TEST_CASE(latestReportsOfAllDaemonsAreSummed)
{
    const std::vector<SliceRange> slices{{0, 99}, {100, 100}};
    LoadReportTable reportTable{10s};
    BOOST_TEST((reportTable.merged(catalogue, slices, 0) == LoadReport{}));
    reportTable.note(d1, {{catalogue, {{{{0, 99}, 500.0}}, {}}}}, start);
    reportTable.note(d1, {{catalogue, smallReport()}}, start + 2s);
    reportTable.note(d2, {{catalogue, smallReport()}}, start + 4s);
    const LoadReport sum = reportTable.merged(catalogue, slices, 82.0);
    BOOST_REQUIRE_EQUAL(sum.slices.size(), 2U);
    BOOST_TEST(sum.slices[1].load == 80.0);
    BOOST_TEST(sum.hotKeys.at(0).load == 79.0);
    BOOST_TEST((reportTable.merged(catalogue, slices, 83.0) == LoadReport{}));

    reportTable.expire(start + 12s);
    BOOST_TEST(reportTable.merged(catalogue, slices, 0).slices[1].load == 40.0);
    reportTable.expire(start + 14s);
    BOOST_TEST((reportTable.merged(catalogue, slices, 0) == LoadReport{}));
}

BOOST_AUTO_TEST_CASE(metersCountAgainAfterHoursWithoutRequests)
{
    const std::vector<SliceRange> slices{{0, 99}};
    SliceMeter meter{slices, 5s, start};
    HeavyHitters keys{4, 5s, start};
    meter.add(7, start);
    keys.add(7, start);
    BOOST_TEST(meter.loads(start + 2h).at(0).load < 1e-6);
    const Instant later = start + 3h;
    for (int i = 0; i < 10; ++i) {
        meter.add(7, later);
        keys.add(7, later);
    }
    // Ten simultaneous requests correspond to a rate of ten times ln 2 per half-life of 5 s.
    constexpr double expected = 10 * 0.693147 / 5;
    BOOST_TEST(std::abs(meter.loads(later).at(0).load - expected) < 1e-3);
    BOOST_TEST(std::abs(keys.report(later, 1).hitters.at(0).certainRate() - expected) < 1e-3);
}
