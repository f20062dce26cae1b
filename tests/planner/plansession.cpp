#include "plansession.h"

#include "version/sliceload.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace bulrush;

namespace {

const ServiceName catalogue{"catalogue"};

std::string text(SliceRange range)
{
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%016llx-%016llx",
                  static_cast<unsigned long long>(range.begin),
                  static_cast<unsigned long long>(range.end));
    return buffer;
}

const char *text(MoveReason reason)
{
    switch (reason) {
    case MoveReason::OwnerLost:
        return "owner lost";
    case MoveReason::OwnerLeaving:
        return "owner leaving";
    case MoveReason::Overload:
        return "overload";
    case MoveReason::Underload:
        return "underload";
    case MoveReason::Consolidation:
        return "consolidation";
    }
    return "";
}

bool isForced(MoveReason reason)
{
    return reason == MoveReason::OwnerLost || reason == MoveReason::OwnerLeaving;
}

} // namespace

PlanSession::PlanSession(PlannerOptions options)
    : m_planner(options)
{
    for (const char *name : {"a", "b", "c", "d"})
        addServer(name);
    slices = initialSlices(catalogue, servers, options);
    for (const SliceOwner &slice : slices)
        baseLoads.push_back({slice.range, 10.0});
}

PlannerOptions PlanSession::smallOptions()
{
    PlannerOptions options;
    options.slicesPerServer = 8;
    options.moveBudget = 0.25;
    return options;
}

ServerState &PlanSession::server(const std::string &name)
{
    return *std::ranges::find(servers, ServerName{name}, &ServerState::server);
}

void PlanSession::addServer(const std::string &name)
{
    servers.push_back({.server = ServerName{name}, .service = catalogue});
}

void PlanSession::note(const std::string &line)
{
    m_log << "# " << line << '\n';
}

Plan PlanSession::round()
{
    m_now += std::chrono::seconds{10};
    std::vector<SliceLoad> loads = baseLoads;
    std::vector<KeyLoad> keys;
    for (const auto &entry : hotKeys) {
        const KeyHash key = entry.first;
        keys.push_back({key, entry.second});
        const auto holdsKey = [key](const SliceLoad &slice) {
            return contains(slice.range, key);
        };
        std::ranges::find_if(loads, holdsKey)->load += entry.second;
    }
    PlanInput input{.service = catalogue, .slices = slices, .servers = servers};
    if (isMeasured) {
        input.loads = loads;
        input.hotKeys = keys;
    }
    Plan plan = m_planner.plan(input, m_now);
    slices = appliedPlan(slices, plan);
    m_log << "at "
          << std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count()
          << " s\n";
    write(plan);
    writeRatios(loads, keys);
    return plan;
}

void PlanSession::write(const Plan &plan)
{
    for (const MergeSlices &merge : plan.merges)
        m_log << "  merge " << text(merge.range) << '\n';
    for (const SplitSlice &split : plan.splits) {
        m_log << "  split " << text(split.parts.range) << '\n';
        for (SliceRange part : split.parts.parts)
            m_log << "   into " << text(part) << '\n';
    }
    for (const MoveSlice &move : plan.moves) {
        m_log << "  move  " << text(move.range) << ' ' << move.from.value() << " to "
              << move.to.value() << ", " << text(move.reason) << '\n';
        if (!isForced(move.reason))
            shareMoved += keySpaceShare(move.range);
    }
}

void PlanSession::writeRatios(std::span<const SliceLoad> loads, std::span<const KeyLoad> keys)
{
    std::vector<SliceRange> ranges;
    for (const SliceOwner &slice : slices)
        ranges.push_back(slice.range);
    const std::vector<double> sliceLoads = loadOfSlices(ranges, loads, keys);
    std::map<ServerName, double> byServer;
    for (const ServerState &state : servers)
        byServer[state.server] = 0.0;
    for (std::size_t i = 0; i < slices.size(); ++i)
        byServer[slices[i].server] += sliceLoads[i];
    m_log << " load";
    for (const auto &[name, load] : byServer) {
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, " %.1f", load);
        m_log << ' ' << name.value() << buffer;
    }
    m_log << ", " << slices.size() << " slices\n";
}

bool PlanSession::matchesGolden(const std::string &name) const
{
    const std::string path = std::string(BULRUSH_GOLDEN_DIR) + "/planner/" + name + ".txt";
    if (std::getenv("BULRUSH_UPDATE_GOLDEN")) {
        std::ofstream(path) << m_log.str();
        return true;
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    if (expected.str() == m_log.str())
        return true;
    std::fprintf(stderr, "%s differs; this session was:\n%s", path.c_str(), m_log.str().c_str());
    return false;
}
