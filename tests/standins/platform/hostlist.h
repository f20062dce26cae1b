#pragma once

#include <json/value.h>

#include <chrono>
#include <deque>
#include <string>

namespace bulrush::standins {

/**
 * The list of hosts, which is served as it was some time ago (the lag). Not thread safe.
 */
class HostList
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /**
     * \param initial a JSON array of hosts, served from the start.
     */
    HostList(Json::Value initial, std::chrono::milliseconds lag);

    /**
     * Copies the members of each entry of \a changes to the host of the same name, which is added
     * if it does not exist. An entry with the state "gone" removes its host.
     * \returns false, with nothing changed, if an entry has no name.
     */
    bool applyChanges(const Json::Value &changes, TimePoint now);

    /** \returns the body of the answer to `GET /hosts`. */
    Json::Value toJson(TimePoint now);

private:
    struct Snapshot
    {
        TimePoint validFrom;
        Json::Value hosts;
    };

    std::chrono::milliseconds m_lag;
    /** Oldest first. The first one is served until the second one is as old as the lag. */
    std::deque<Snapshot> m_snapshots;
};

} // namespace bulrush::standins
