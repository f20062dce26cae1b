#define BOOST_TEST_MODULE handover
#include "ownershipsimulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace std::chrono_literals;
using bulrush::DispatchRefusal;
using bulrush::Duration;

namespace {

constexpr Duration plannedMoveLimit = 100ms;
constexpr Duration lossLimit = 4s;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Compares with the golden file, or rewrites it if BULRUSH_UPDATE_GOLDEN is set. */
void checkGolden(const std::string &name, const std::string &session)
{
    const std::string path = std::string(BULRUSH_GOLDEN_DIR) + "/handover/" + name + ".txt";
    if (std::getenv("BULRUSH_UPDATE_GOLDEN"))
        std::ofstream(path) << session;
    BOOST_TEST(readFile(path) == session);
}

/** Adds a summary of the observations and checks the invariants of all scenarios. */
void finish(OwnershipSimulation &simulation, const std::string &name, int keys = 8)
{
    Duration worst{0};
    std::ostringstream summary;
    for (int key = 0; key < keys; ++key) {
        const Duration downtime = simulation.unavailable(key, 1s, 9s);
        worst = std::max(worst, downtime);
        summary << "key " << key << " unavailable " << downtime / 1ms << " ms\n";
    }
    summary << "accepted work " << simulation.observer().workCount() << ", overlaps "
            << simulation.observer().overlaps().size() << ", interrupted by a freeze "
            << simulation.interruptedWork() << ", dropped by deadline "
            << simulation.deadlineDrops() << ", dropped by fence " << simulation.fenceDrops()
            << ", uncovered grants " << simulation.uncoveredGrants() << "\n";
    checkGolden(name, simulation.session() + summary.str());
    BOOST_TEST(simulation.observer().overlaps().empty());
    BOOST_TEST(simulation.uncoveredGrants() == 0);
    BOOST_TEST((worst < lossLimit));
}

} // namespace

BOOST_AUTO_TEST_CASE(planned_move)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.unavailable(0, 1s, 9s) < plannedMoveLimit));
    BOOST_TEST((simulation.unavailable(1, 1s, 9s) < 5ms));
    finish(simulation, "planned_move");
}

BOOST_AUTO_TEST_CASE(server_frozen_past_its_grant_and_thawed)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] { simulation.freezeServer(1); });
    simulation.at(6s, [&] { simulation.thawServer(1); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.deadlineDrops() > 0);
    finish(simulation, "server_frozen_and_thawed");
}

BOOST_AUTO_TEST_CASE(checking_server_frozen_past_its_grant_and_thawed)
{
    SimulationSettings settings;
    settings.checksFence = true;
    OwnershipSimulation simulation(settings);
    simulation.at(2s, [&] { simulation.freezeServer(1); });
    simulation.at(6s, [&] { simulation.thawServer(1); });
    simulation.runUntil(10s);
    finish(simulation, "checking_server_frozen_and_thawed");
}

BOOST_AUTO_TEST_CASE(server_killed)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] { simulation.killServer(1); });
    simulation.runUntil(10s);
    finish(simulation, "server_killed");
}

BOOST_AUTO_TEST_CASE(attendant_frozen_and_thawed)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] { simulation.freezeDaemon(1); });
    simulation.at(6s, [&] { simulation.thawDaemon(1); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.refusals(DispatchRefusal::Lapsed) > 0);
    finish(simulation, "attendant_frozen_and_thawed");
}

BOOST_AUTO_TEST_CASE(attendant_killed)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] { simulation.killDaemon(0); });
    simulation.runUntil(10s);
    finish(simulation, "attendant_killed");
}

BOOST_AUTO_TEST_CASE(attendant_of_a_checking_server_killed)
{
    SimulationSettings settings;
    settings.checksFence = true;
    OwnershipSimulation simulation(settings);
    simulation.at(2s, [&] { simulation.killDaemon(0); });
    simulation.runUntil(10s);
    finish(simulation, "attendant_of_checking_server_killed");
}

BOOST_AUTO_TEST_CASE(attendant_and_server_lost_together)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] {
        simulation.killDaemon(1);
        simulation.killServer(1);
    });
    simulation.runUntil(10s);
    finish(simulation, "attendant_and_server_lost");
}

BOOST_AUTO_TEST_CASE(daemon_routes_by_an_old_assignment)
{
    SimulationSettings settings;
    settings.terms.pullInterval = 400ms;
    OwnershipSimulation simulation(settings);
    simulation.at(1900ms, [&] { simulation.setViewsBlocked(2, true); });
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.at(4s, [&] { simulation.setViewsBlocked(2, false); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.refusals(DispatchRefusal::NotAssigned) > 0);
    finish(simulation, "old_assignment");
}

BOOST_AUTO_TEST_CASE(messages_delayed_duplicated_and_reordered)
{
    SimulationSettings settings;
    settings.slowShare = 0.2;
    settings.slowDelay = 400ms;
    settings.duplicateShare = 0.3;
    settings.lossShare = 0.05;
    settings.moves.stopTimeout = 2s;
    settings.moves.deferralPeriod = 100ms;
    OwnershipSimulation simulation(settings);
    for (int i = 0; i < 6; ++i)
        simulation.at(2s + 700ms * i, [&simulation, i] { simulation.moveSlice(0, (i + 1) % 4); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.observer().workCount() > 5000U);
    finish(simulation, "delayed_doubled_reordered");
}

BOOST_AUTO_TEST_CASE(unknown_commit_took_effect)
{
    OwnershipSimulation simulation({});
    simulation.at(1900ms, [&] { simulation.setPlatformFault(PlatformFault::AnswerLost); });
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.at(2100ms, [&] { simulation.setPlatformFault(PlatformFault::None); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.publishedVersion() == bulrush::Fence{1, 2}));
    finish(simulation, "unknown_commit_took_effect");
}

BOOST_AUTO_TEST_CASE(unknown_commit_took_no_effect)
{
    OwnershipSimulation simulation({});
    simulation.at(1900ms, [&] { simulation.setPlatformFault(PlatformFault::WriteLost); });
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.at(2100ms, [&] { simulation.setPlatformFault(PlatformFault::None); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.publishedVersion() == bulrush::Fence{1, 2}));
    finish(simulation, "unknown_commit_took_no_effect");
}

BOOST_AUTO_TEST_CASE(unknown_commit_takes_effect_late)
{
    OwnershipSimulation simulation({});
    simulation.at(1900ms, [&] { simulation.setPlatformFault(PlatformFault::WriteLate); });
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.at(2100ms, [&] { simulation.setPlatformFault(PlatformFault::None); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.publishedVersion() == bulrush::Fence{1, 2}));
    finish(simulation, "unknown_commit_took_effect_late");
}

BOOST_AUTO_TEST_CASE(platform_outage_with_a_lost_server)
{
    OwnershipSimulation simulation({});
    simulation.at(1500ms, [&] { simulation.setPlatformFault(PlatformFault::Down); });
    simulation.at(2s, [&] { simulation.killServer(1); });
    simulation.at(5s, [&] { simulation.moveSlice(0, 2); });
    simulation.at(6s, [&] {
        BOOST_TEST(simulation.handover()->isUnpublished());
        BOOST_TEST((simulation.publishedVersion() == bulrush::Fence{1, 1}));
    });
    simulation.at(7s, [&] { simulation.setPlatformFault(PlatformFault::None); });
    simulation.runUntil(10s);
    BOOST_TEST(!simulation.handover()->isUnpublished());
    BOOST_TEST((simulation.publishedVersion() == simulation.handover()->version()));
    finish(simulation, "platform_outage_with_lost_server");
}

BOOST_AUTO_TEST_CASE(platform_goes_down_in_the_middle_of_a_planned_move)
{
    OwnershipSimulation simulation({});
    simulation.at(1999ms, [&] { simulation.setPlatformFault(PlatformFault::Down); });
    simulation.at(2s, [&] { simulation.moveSlice(0, 1); });
    simulation.at(7s, [&] { simulation.setPlatformFault(PlatformFault::None); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.unavailable(0, 1s, 6s) < 500ms));
    finish(simulation, "platform_down_in_planned_move");
}

BOOST_AUTO_TEST_CASE(planned_departure_of_a_host_with_an_upload_in_flight)
{
    OwnershipSimulation simulation({});
    simulation.at(1800ms, [&] { simulation.startUpload(0, 3s); });
    simulation.at(2s, [&] { simulation.scheduleDeparture(0); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.completedUploads() == 1);
    for (int key = 0; key < 8; ++key)
        BOOST_TEST((simulation.unavailable(key, 1s, 9s) < plannedMoveLimit));
    finish(simulation, "departure_with_upload");
}

BOOST_AUTO_TEST_CASE(change_of_attendant_becomes_a_move_while_an_upload_runs)
{
    // Work may still run after all daemons have stopped sending, so the move has to wait for it.
    SimulationSettings settings;
    settings.moves.commitInterval = 500ms;
    OwnershipSimulation simulation(settings);
    simulation.at(1800ms, [&] { simulation.startUpload(0, 3s); });
    simulation.at(2s, [&] { simulation.moveSlice(1, 2); });
    simulation.at(2030ms, [&] { simulation.scheduleDeparture(0); });
    simulation.at(2100ms, [&] { simulation.moveSlice(0, 1); });
    simulation.runUntil(10s);
    BOOST_TEST(simulation.completedUploads() == 1);
    finish(simulation, "attendance_becomes_move");
}

BOOST_AUTO_TEST_CASE(steward_frozen_and_thawed_after_a_takeover)
{
    OwnershipSimulation simulation({});
    simulation.at(2s, [&] {
        simulation.freezeLeader();
        simulation.startSuccessorAfterTerm();
    });
    simulation.at(7s, [&] { simulation.thawLeaders(); });
    simulation.at(7500ms, [&] { simulation.moveSlice(0, 1); });
    simulation.runUntil(10s);
    BOOST_TEST((simulation.publishedVersion().epoch == 2U));
    finish(simulation, "steward_frozen_and_thawed");
}

BOOST_AUTO_TEST_CASE(successor_starts_from_views_above_the_row)
{
    OwnershipSimulation simulation({});
    simulation.at(1500ms, [&] { simulation.setPlatformFault(PlatformFault::Down); });
    simulation.at(2s, [&] { simulation.killServer(1); });
    simulation.at(4500ms, [&] {
        BOOST_TEST((simulation.publishedVersion() == bulrush::Fence{1, 1}));
        simulation.killLeader();
        simulation.setPlatformFault(PlatformFault::None);
        simulation.startSuccessorAfterTerm();
    });
    simulation.runUntil(10s);
    const bulrush::Assignment assignment = simulation.handover()->assignment();
    for (const bulrush::SliceOwner &slice : assignment.slices)
        BOOST_TEST((slice.server != bulrush::ServerName("s2")));
    BOOST_TEST((simulation.publishedVersion() == assignment.version));
    BOOST_TEST((assignment.version.epoch == 2U));
    finish(simulation, "successor_above_the_row");
}
