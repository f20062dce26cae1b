#pragma once

#include "driftingclock.h"
#include "process/stewardseat.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::test {

/** Longest time that passes between two events of a process that isn't frozen. */
constexpr Duration tickInterval = std::chrono::milliseconds(50);

/**
 * Watches in true time, which no process knows, that no two are in office at once, and that none
 * may grant while work under the leases of another may run.
 */
class TenureChecker
{
public:
    /** Looks at \a seat right after an event at \a now, and at what it \a did. */
    void check(const std::string &process, const StewardSeat &seat,
               const std::vector<StewardAction> &did, const DriftingClock &clock, TrueTime now,
               const StewardTimings &timings);

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /** The longest time up to \a now in which no routing lease can have been in force. A lost
     *  daemon's leases count to their end. */
    Duration longestDarkTime(TrueTime now) const;

private:
    struct Office
    {
        /** When it ends unless it is renewed; a process that is frozen or dead leaves it so. */
        TrueTime until{};
        /** When work under the last lease that it can have given ends. */
        TrueTime workUntil{};
    };

    void checkOthers(const std::string &process, TrueTime now, TrueTime mayGrantFrom);

    std::map<std::string, Office> m_offices;
    std::vector<std::string> m_violations;
    TrueTime m_servedUntil{};
    Duration m_longestDark{};
};

} // namespace bulrush::test
