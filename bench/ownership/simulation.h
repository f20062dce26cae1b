#pragma once

#include "version/planner.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::bench {

/** The size of a service. */
struct Deployment
{
    std::string name;
    std::size_t servers = 14;
    std::size_t keysPerServer = 2000;
    /** Keys replaced at each shift. */
    std::size_t hotKeys = 8;
};

/** The parameters of a run with one service. */
struct Scenario
{
    Deployment deployment;
    double exponent = 1.0;
    /**
     * Whether the shares of the hottest keys are limited so that none exceeds a server's fair
     * share.
     */
    bool isCapped = true;
    std::size_t shifts = 10;
    std::size_t roundsPerShift = 18;
    /** Shifts under a planner without a move budget, before measurements start. */
    std::size_t shiftsBefore = 3;
    PlannerOptions options;
    std::uint64_t seed = 1;
};

/** Load on the servers at one moment, computed from the true rates. */
struct Balance
{
    /** Ratio of the highest load of a server to the mean. */
    double imbalance = 0;
    /**
     * Share of traffic above 1.25 times the mean: the excess over the capacity of servers that are
     * 80% busy on average.
     */
    double overCapacity = 0;
};

/** Averages over the shifts of a run. */
struct Outcome
{
    /** Just after a shift, before anything has moved. */
    Balance shifted;
    /** Over all rounds. */
    Balance mean;
    /** At the end of a shift. */
    Balance settled;
    /** The highest imbalance at the end of any shift. */
    double worstSettled = 0;
    /** Share of the keys that changed owner in a shift. */
    double keysMoved = 0;
    /** Share of the traffic whose key changed owner in a shift. */
    double trafficMoved = 0;
    /** The least traffic that must move to bring every server under the target after a shift. */
    double trafficToMove = 0;
    /** Number of slices that changed owner in a shift. */
    double moves = 0;
    /** Number of slices per server at the end of the run. */
    double slicesPerServer = 0;
    /**
     * Ratio of the load of the hottest key to the mean load of a server: no placement has less
     * imbalance.
     */
    double hottestKey = 0;
};

/** \returns the server names "s0000", "s0001" and so on as states. */
std::vector<ServerState> namedServers(std::size_t count);

/** \returns the balance of \a loads, which has one entry per server. */
Balance balanceOf(const std::vector<double> &loads);

/** Runs the planner on the daemons' counts of randomly drawn requests. */
Outcome runPlanner(const Scenario &scenario);

/** The state at the end of one shift of a run that begins with even slices. */
struct StartShift
{
    double imbalance = 0;
    double keysMoved = 0;
    double slicesPerServer = 0;
};

/** Runs the planner from even slices on, with its move budget in force from the start. */
std::vector<StartShift> runStart(const Scenario &scenario);

/** One round of the run in which a server is lost and returns cold. */
struct ReturnRound
{
    std::size_t round = 0;
    double imbalance = 0;
    /** Ratio of the load of the returned server to the mean. */
    double returnedRatio = 0;
    double keysMoved = 0;
};

/** Runs the planner through the loss of a server and its return as a cold server. */
std::vector<ReturnRound> runReturn(const Scenario &scenario);

/**
 * Results with servers that report wrong loads, with a planner that uses these reports (believed)
 * or the daemons' counts (counted).
 */
struct LieOutcome
{
    Outcome believed;
    Outcome counted;
};

LieOutcome runLies(const Scenario &scenario);

} // namespace bulrush::bench
