#define BOOST_TEST_MODULE heavyhitters
#include <boost/test/unit_test.hpp>

#include "version/heavyhitters.h"
#include "version/slicemeter.h"

#include <map>
#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{};

/** Chooses one of 2000 keys; key k is chosen about 1 / (k + 1) times as often as key 0. */
KeyHash skewedKey(std::mt19937_64 &random)
{
    const double place = std::uniform_real_distribution<double>(0.0, 1.0)(random);
    return static_cast<KeyHash>(std::pow(2000.0, place)) - 1;
}

} // namespace

BOOST_AUTO_TEST_CASE(boundsHoldForEveryKeyAndMemoryStaysBounded)
{
    HeavyHitters sketch(64, 10s, start);
    std::map<KeyHash, double> trueCounts;
    std::mt19937_64 random(1);
    for (int i = 0; i < 50'000; ++i) {
        const KeyHash key = skewedKey(random);
        sketch.add(key, start);
        trueCounts[key] += 1.0;
    }
    BOOST_TEST(sketch.count() == 64u);
    const HeavyHitterReport report = sketch.report(start, 64);
    const double perSecond = std::log(2.0) / 10.0;
    std::map<KeyHash, HeavyHitter> named;
    for (const HeavyHitter &hitter : report.hitters) {
        named[hitter.key] = hitter;
        BOOST_TEST(hitter.rate >= trueCounts[hitter.key] * perSecond * 0.999999);
        BOOST_TEST(hitter.certainRate() <= trueCounts[hitter.key] * perSecond * 1.000001);
    }
    for (const auto &[key, count] : trueCounts) {
        if (count > 50'000.0 / 64.0)
            BOOST_TEST(named.contains(key));
        if (!named.contains(key))
            BOOST_TEST(count * perSecond <= report.unlistedRate * 1.000001);
    }
    BOOST_TEST(report.hitters.front().key == 0u);
    BOOST_TEST(sketch.report(start, 5).hitters.size() == 5u);
}

BOOST_AUTO_TEST_CASE(olderHotKeyDecaysBelowANewerOne)
{
    HeavyHitters sketch(8, 10s, start);
    sketch.add(1, start, 1000.0);
    sketch.add(2, start + 40s, 100.0);
    const HeavyHitterReport report = sketch.report(start + 40s, 8);
    BOOST_TEST(report.hitters.front().key == 2u);
    BOOST_TEST(report.hitters.back().rate == report.hitters.front().rate * 0.625,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(countsSurviveADayOfDecay)
{
    HeavyHitters sketch(8, 10s, start);
    SliceMeter meter(std::vector<SliceRange>{{0, 9}}, 10s, start);
    for (int second = 0; second < 86'400; second += 5) {
        sketch.add(7, start + std::chrono::seconds{second}, 50.0);
        meter.add(7, start + std::chrono::seconds{second}, 50.0);
    }
    const Instant end = start + 86'400s;
    BOOST_TEST(sketch.report(end, 1).hitters.front().rate == 8.4,
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(meter.loads(end).front().load == 8.4, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(mergedReportsBoundTheSum)
{
    const HeavyHitterReport first{{{1, 100, 5}, {2, 50, 0}}, 10};
    const HeavyHitterReport second{{{1, 70, 0}, {3, 40, 1}}, 20};
    const HeavyHitterReport merged = mergedReports(std::vector{first, second}, 2);
    BOOST_TEST(merged.hitters.size() == 2u);
    BOOST_TEST((merged.hitters[0] == HeavyHitter{1, 170, 5}));
    BOOST_TEST((merged.hitters[1] == HeavyHitter{2, 70, 20}));
    BOOST_TEST(merged.unlistedRate == 50.0);
}

BOOST_AUTO_TEST_CASE(metersMergeAcrossDifferentSlices)
{
    const LoadReport older{{{{0, 99}, 60}}, {{50, 40}}};
    const LoadReport newer{{{{0, 49}, 5}, {{50, 50}, 30}, {{51, 99}, 4}}, {{50, 30}}};
    const std::vector<SliceRange> slices{{0, 49}, {50, 50}, {51, 99}};
    const LoadReport merged = mergedLoads(slices, std::vector{older, newer});
    BOOST_TEST(merged.slices[0].load == 15.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(merged.slices[1].load == 70.2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(merged.slices[2].load == 13.8, boost::test_tools::tolerance(1e-9));
    BOOST_TEST((merged.hotKeys == std::vector<KeyLoad>{{50, 70}}));
}

BOOST_AUTO_TEST_CASE(hotKeyCountMovesToItsOwnSlice)
{
    SliceMeter meter(std::vector<SliceRange>{{0, 100}}, 10s, start);
    meter.add(50, start, 90.0);
    meter.add(3, start, 10.0);
    const double perSecond = std::log(2.0) / 10.0;
    const std::vector<KeyLoad> hotKeys{{50, 90.0 * perSecond}};
    meter.changeSlices(std::vector<SliceRange>{{0, 49}, {50, 50}, {51, 100}}, hotKeys, start + 10s);
    const auto loads = meter.loads(start + 10s);
    // Half of the count has decayed, so the key's load exceeds the remaining load of the slice.
    BOOST_TEST(loads[1].load == 90.0 * perSecond, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(loads[0].load == 0.0);
    meter.add(200, start + 10s);
    BOOST_TEST((meter.loads(start + 10s) == loads));
}

BOOST_AUTO_TEST_CASE(boundedLoadsPreserveTheSumAndTheBusiestSlices)
{
    std::vector<SliceLoad> loads;
    for (KeyHash i = 0; i < 100; ++i)
        loads.push_back({{i * 10, i * 10 + 9}, i % 20 == 7 ? 50.0 : 1.0});
    const auto bounded = boundedLoads(loads, 11);
    BOOST_TEST(bounded.size() == 11u);
    double sum = 0;
    for (const SliceLoad &load : bounded)
        sum += load.load;
    BOOST_TEST(sum == 345.0);
    BOOST_TEST((bounded[1] == SliceLoad{{70, 79}, 50.0}));
    BOOST_TEST(boundedLoads(loads, 1).size() == 1u);
}
