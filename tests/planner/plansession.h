#pragma once

#include "version/planner.h"

#include <map>
#include <sstream>
#include <string>

/**
 * Runs planning rounds for a service of four servers with eight slices each and logs the decisions.
 * Every slice has a load of 10 requests per second besides its hot keys.
 */
class PlanSession
{
public:
    explicit PlanSession(bulrush::PlannerOptions options = smallOptions());

    static bulrush::PlannerOptions smallOptions();

    bulrush::ServerState &server(const std::string &name);
    void addServer(const std::string &name);
    void note(const std::string &line);
    /** Runs the next round, ten seconds later, and applies its plan. */
    bulrush::Plan round();
    /** Compares with the golden file, or rewrites it if BULRUSH_UPDATE_GOLDEN is set. */
    bool matchesGolden(const std::string &name) const;

    std::vector<bulrush::ServerState> servers;
    std::vector<bulrush::SliceOwner> slices;
    /** Load of the initial slices, without hot keys. */
    std::vector<bulrush::SliceLoad> baseLoads;
    std::map<bulrush::KeyHash, double> hotKeys;
    bool isMeasured = true;
    /** Share of the key space that has moved, except from lost or leaving owners. */
    double shareMoved = 0;

private:
    void write(const bulrush::Plan &plan);
    void writeRatios(std::span<const bulrush::SliceLoad> loads,
                     std::span<const bulrush::KeyLoad> keys);

    bulrush::Planner m_planner;
    bulrush::Instant m_now{};
    std::ostringstream m_log;
};
