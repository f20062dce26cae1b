#include "process/handover.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const ServiceName catalogue{"catalogue"};
const ServerName s1{"s1"};
const Incarnation d1{"d1"};
constexpr Instant start{1000s};

/** Handover whose orders and commits are confirmed immediately. */
struct HandoverFixture
{
    RoutingLeaseTable book{{}, 1};
    Handover handover{{}, 1, Assignment{}, {}, book};
    std::vector<Assignment> commits;
    int orders = 0;

    HandoverFixture()
    {
        drive(LeadershipExtended{start + 1h}, start);
    }

    void drive(const HandoverEvent &event, Instant now)
    {
        for (const HandoverAction &action : handover.handle(event, now)) {
            if (const auto *order = std::get_if<ServerOrder>(&action)) {
                ++orders;
                drive(OrderConfirmed{order->order, 0}, now);
            }
            if (const auto *commit = std::get_if<CommitAssignment>(&action)) {
                commits.push_back(commit->next);
                drive(CommitCompleted{commit->commit, CommitOutcome::Committed}, now);
            }
        }
    }

    void want(std::vector<SliceRange> ranges, Instant now)
    {
        Assignment wanted{{}, {}, {}, {{s1, d1}}};
        for (const SliceRange &range : ranges)
            wanted.slices.push_back({catalogue, range, s1, {}});
        drive(WantedAssignmentChanged{wanted}, now);
    }

    std::vector<SliceRange> ranges() const
    {
        std::vector<SliceRange> ranges;
        for (const SliceOwner &slice : handover.assignment().slices)
            ranges.push_back(slice.range);
        return ranges;
    }
};

const std::vector<SliceRange> whole{{0, 99}};
const std::vector<SliceRange> split{{0, 49}, {50, 50}, {51, 99}};

} // namespace

BOOST_AUTO_TEST_CASE(splitIsPublishedWithoutMove)
{
    HandoverFixture fixture;
    fixture.want(whole, start + 1s);
    const Fence fence = fixture.handover.assignment().slices.at(0).fence;
    const int orders = fixture.orders;
    fixture.want(split, start + 10s);
    BOOST_TEST((fixture.ranges() == split));
    BOOST_TEST((fixture.commits.back() == fixture.handover.assignment()));
    BOOST_TEST(
        (fixture.handover.assignment().slices.at(1) == SliceOwner{catalogue, {50, 50}, s1, fence}));
    BOOST_TEST(fixture.orders == orders);

    fixture.want(whole, start + 20s);
    BOOST_TEST((fixture.ranges() == whole));
    BOOST_TEST((fixture.handover.assignment().slices.at(0).fence == fence));
    BOOST_TEST(fixture.orders == orders);
}

BOOST_AUTO_TEST_CASE(splitsAreNotPublishedOftenOrDuringOutage)
{
    HandoverFixture fixture;
    fixture.want(whole, start + 1s);
    fixture.want(split, start + 1100ms);
    BOOST_TEST((fixture.ranges() == whole));
    fixture.drive(PlatformOutageChanged{true}, start + 2s);
    fixture.drive(HandoverTick{}, start + 10s);
    BOOST_TEST((fixture.ranges() == whole));
    BOOST_TEST(fixture.commits.size() == 1U);
    fixture.drive(PlatformOutageChanged{false}, start + 11s);
    fixture.drive(PublishedVersionRead{fixture.handover.version()}, start + 12s);
    fixture.drive(HandoverTick{}, start + 13s);
    BOOST_TEST((fixture.ranges() == split));
}

BOOST_AUTO_TEST_CASE(serviceWithoutWantedAssignmentKeepsItsSlices)
{
    HandoverFixture fixture;
    fixture.want(split, start + 1s);
    BOOST_TEST((fixture.ranges() == split));
    fixture.want({}, start + 10s);
    BOOST_TEST((fixture.ranges() == split));
    BOOST_TEST(fixture.commits.size() == 1U);
}
