#define BOOST_TEST_MODULE planner
#include <boost/test/unit_test.hpp>

#include "plansession.h"
#include "version/planner.h"

#include <random>
#include <set>

using namespace bulrush;

namespace {

const ServiceName catalogue{"catalogue"};

std::vector<ServerState> serversNamed(std::initializer_list<const char *> names)
{
    std::vector<ServerState> servers;
    for (const char *name : names)
        servers.push_back({.server = ServerName{name}, .service = catalogue});
    return servers;
}

} // namespace

BOOST_AUTO_TEST_CASE(initialSlicesCoverTheKeySpaceForAnyOrderOfServers)
{
    const auto slices = initialSlices(catalogue, serversNamed({"c", "a", "b"}), {});
    BOOST_TEST(slices.size() == 300u);
    BOOST_TEST(slices.front().range.begin == 0u);
    BOOST_TEST(slices.back().range.end == SliceRange{}.end);
    for (std::size_t i = 1; i < slices.size(); ++i)
        BOOST_TEST(slices[i].range.begin == slices[i - 1].range.end + 1);
    BOOST_TEST((slices == initialSlices(catalogue, serversNamed({"a", "b", "c"}), {})));
}

BOOST_AUTO_TEST_CASE(evenLoadMovesNothing)
{
    const auto servers = serversNamed({"a", "b", "c"});
    const auto slices = initialSlices(catalogue, servers, {});
    std::vector<SliceLoad> loads;
    loads.reserve(slices.size());
    for (const SliceOwner &slice : slices)
        loads.push_back({slice.range, 1.0});
    Planner planner({});
    const Plan plan = planner.plan({catalogue, slices, servers, loads, {}}, Instant{});
    BOOST_TEST(plan.isEmpty());
}

BOOST_AUTO_TEST_CASE(aLostServerIsEmptiedInOneRound)
{
    auto servers = serversNamed({"a", "b", "c"});
    const auto slices = initialSlices(catalogue, servers, {});
    servers[1].isLost = true;
    Planner planner({});
    const Plan plan = planner.plan({catalogue, slices, servers, {}, {}}, Instant{});
    BOOST_TEST(plan.moves.size() == 100u);
    for (const SliceOwner &slice : appliedPlan(slices, plan))
        BOOST_TEST((slice.server != servers[1].server));
}

BOOST_AUTO_TEST_CASE(splitsAndMergesChangeNoOwner)
{
    PlanSession session;
    std::mt19937_64 random(1);
    std::size_t changes = 0;
    for (int i = 0; i < 300; ++i) {
        session.hotKeys.clear();
        for (int key = 0; key < 6; ++key)
            session.hotKeys[random()] = 5.0 + static_cast<double>(random() % 60);
        const std::vector<SliceOwner> before = session.slices;
        Plan plan = session.round();
        plan.moves.clear();
        const std::vector<SliceOwner> after = appliedPlan(before, plan);
        changes += plan.merges.size() + plan.splits.size();
        auto old = before.begin();
        KeyHash next = 0;
        for (const SliceOwner &slice : after) {
            BOOST_REQUIRE(slice.range.begin == next);
            next = slice.range.end + 1;
            for (; old != before.end() && old->range.begin <= slice.range.end; ++old)
                BOOST_REQUIRE((old->server == slice.server));
            BOOST_REQUIRE(((old - 1)->server == slice.server));
        }
        BOOST_REQUIRE(next == 0u);
        // The number of slices stays bounded even if the hot keys change in every round.
        BOOST_REQUIRE(session.slices.size() < 4 * 2 * 8 + 6 * 12);
    }
    BOOST_TEST(changes > 300u);
}

BOOST_AUTO_TEST_CASE(excessSlicesMoveToWhereTheyCanMerge)
{
    std::size_t counts[2] = {};
    for (std::uint32_t maximum : {110u, 1000u}) {
        PlannerOptions options = PlanSession::smallOptions();
        options.slicesPerServer = 100;
        options.maximumSlicesPerServer = maximum;
        PlanSession session(options);
        // Each slice is split in two halves, and the second one gets another owner.
        std::vector<SliceOwner> halves;
        for (std::size_t i = 0; i < session.slices.size(); ++i) {
            SliceOwner first = session.slices[i];
            SliceOwner second = first;
            const KeyHash middle = first.range.begin + (first.range.end - first.range.begin) / 2;
            first.range.end = middle;
            second.range.begin = middle + 1;
            second.server = session.slices[(i + 2) % 4].server;
            halves.push_back(first);
            halves.push_back(second);
        }
        session.slices = halves;
        for (int i = 0; i < 100; ++i)
            session.round();
        counts[maximum == 110 ? 0 : 1] = session.slices.size();
    }
    BOOST_TEST(counts[0] <= 110u * 4u);
    BOOST_TEST(counts[1] == 800u);
}

BOOST_AUTO_TEST_CASE(hotKeyMovesAndMergesBackWhenCold)
{
    PlanSession session;
    session.note("even load");
    session.round();
    session.note("two keys become hot on one server");
    const KeyHash first = session.slices[0].range.begin + 1000;
    const KeyHash second = session.slices[4].range.begin + 2000;
    BOOST_TEST((session.slices[0].server == session.slices[4].server));
    session.hotKeys = {{first, 90.0}, {second, 30.0}};
    for (int i = 0; i < 6; ++i)
        session.round();
    session.note("they cool down, and another key becomes hot");
    session.hotKeys = {{first, 0.1}, {session.slices[20].range.begin + 3000, 90.0}};
    for (int i = 0; i < 12; ++i)
        session.round();
    BOOST_TEST(session.matchesGolden("hotkeyshift"));
}

BOOST_AUTO_TEST_CASE(lostServerIsEmptiedBeforeALeavingOne)
{
    PlanSession session;
    session.round();
    session.note("b is leaving while c is lost");
    session.server("b").isLeaving = true;
    session.server("c").isLost = true;
    const Plan plan = session.round();
    BOOST_TEST(plan.moves.size() == 16u);
    BOOST_TEST((plan.moves.front().reason == MoveReason::OwnerLost));
    BOOST_TEST((plan.moves.back().reason == MoveReason::OwnerLeaving));
    session.note("an owner that nobody knows is taken for lost");
    std::erase_if(session.servers, [](const auto &state) { return state.server.value() == "d"; });
    session.round();
    BOOST_TEST(session.matchesGolden("serverlost"));
}

BOOST_AUTO_TEST_CASE(coldServerGetsLoadInSteps)
{
    PlannerOptions options = PlanSession::smallOptions();
    options.coldStep = 0.3;
    PlanSession session(options);
    session.round();
    session.note("e starts cold");
    session.addServer("e");
    session.server("e").isCold = true;
    for (int i = 0; i < 6; ++i) {
        const Plan plan = session.round();
        double toCold = 0;
        for (const MoveSlice &move : plan.moves)
            toCold += keySpaceShare(move.range) * 5.0;
        BOOST_TEST(toCold <= 0.3);
    }
    BOOST_TEST(session.matchesGolden("coldserver"));
}

BOOST_AUTO_TEST_CASE(measuredLoadTakesPrecedenceOverReports)
{
    PlanSession session;
    session.note("a reports ten times its load, b none");
    for (const char *name : {"a", "b", "c", "d"})
        session.server(name).reportedLoad = 80.0;
    session.server("a").reportedLoad = 800.0;
    session.server("b").reportedLoad = 0.0;
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(session.round().moves.empty());
    session.note("no daemon has counted: the reports are all there is");
    session.isMeasured = false;
    session.round();
    BOOST_TEST(!session.round().moves.empty());
    BOOST_TEST(session.matchesGolden("lyingreports"));
}

BOOST_AUTO_TEST_CASE(movedKeysStayWithinTheBudget)
{
    PlannerOptions options = PlanSession::smallOptions();
    options.slicesPerServer = 100;
    options.moveBudget = 0.02;
    PlanSession session(options);
    session.note("all slices of a have four times the load of others, without any hot key");
    for (std::size_t i = 0; i < session.slices.size(); ++i)
        session.baseLoads[i].load = session.slices[i].server.value() == "a" ? 4.0 : 1.0;
    double shareMovedBefore = 0;
    for (int window = 0; window < 4; ++window) {
        for (int i = 0; i < 18; ++i)
            session.round();
        BOOST_TEST(session.shareMoved - shareMovedBefore <= 0.02 + 1e-9);
        BOOST_TEST(session.shareMoved - shareMovedBefore >= 0.009);
        shareMovedBefore = session.shareMoved;
    }
    BOOST_TEST(session.matchesGolden("boundedchurn"));
}

BOOST_AUTO_TEST_CASE(slicesDoNotOscillate)
{
    PlanSession session;
    session.note("a hot key comes and goes every other round");
    const KeyHash key = session.slices[0].range.begin + 1000;
    std::map<KeyHash, int> movesByBegin;
    for (int i = 0; i < 18; ++i) {
        session.hotKeys = {{key, i % 2 == 0 ? 60.0 : 5.0}};
        for (const MoveSlice &move : session.round().moves)
            ++movesByBegin[move.range.begin];
    }
    BOOST_TEST(movesByBegin.empty());
    session.note("load swings between two servers every third round");
    for (int i = 0; i < 18; ++i) {
        const bool isFirst = i / 3 % 2 == 0;
        session.hotKeys = {{key, isFirst ? 60.0 : 5.0},
                           {session.slices[1].range.begin + 1, isFirst ? 5.0 : 60.0}};
        for (const MoveSlice &move : session.round().moves)
            ++movesByBegin[move.range.begin];
    }
    for (const auto &[begin, moves] : movesByBegin)
        BOOST_TEST(moves <= 3);
    BOOST_TEST(session.matchesGolden("flipflop"));
}

BOOST_AUTO_TEST_CASE(availabilityMovesLessThanImbalance)
{
    std::size_t moves[2] = {};
    for (Preference preference : {Preference::Imbalance, Preference::Availability}) {
        PlannerOptions options = plannerOptions(preference);
        options.slicesPerServer = 8;
        PlanSession session(options);
        for (std::size_t i = 0; i < session.slices.size(); ++i)
            session.hotKeys[session.slices[i].range.begin + 5] = i % 4 == 0 ? 11.0 : 5.0;
        for (int i = 0; i < 10; ++i)
            moves[preference == Preference::Imbalance ? 0 : 1] += session.round().moves.size();
    }
    BOOST_TEST(moves[0] > 0u);
    BOOST_TEST(moves[1] < moves[0]);
}
