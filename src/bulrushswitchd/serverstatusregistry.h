#pragma once

#include "process/daemonsettings.h"
#include "process/serverdeadline.h"

#include <map>
#include <mutex>
#include <optional>

namespace bulrush {

/** The status of a backend server, from its answers to control calls. */
struct ServerStatus
{
    std::optional<ServerClockReading> clock;
    /** Number of requests in flight and queued, as reported by the server. */
    std::uint32_t reportedLoad = 0;
    bool isDraining = false;
    bool isCold = false;
    /** Whether the server has not answered control calls within the timeout. */
    bool isLost = false;
};

/**
 * The latest status of the backend servers that this daemon manages, written by the control thread
 * and read by the traffic threads. Thread safe.
 */
class ServerStatusRegistry
{
public:
    void setStatus(const ServerName &server, const ServerStatus &status);
    ServerStatus status(const ServerName &server) const;

private:
    mutable std::mutex m_mutex;
    std::map<ServerName, ServerStatus> m_statuses;
};

} // namespace bulrush
