#pragma once

#include "process/clock.h"
#include "process/daemonsettings.h"
#include "process/memberrecord.h"

namespace bulrush {

class Counters;

namespace io {
class HttpClient;
class LoopTimers;
class PeerClient;
class PlatformClient;
} // namespace io

/**
 * State that the parts of the control thread share. It outlives them and is used on that thread.
 */
struct ControlContext
{
    const DaemonSettings &settings;
    /** The membership record of this daemon. */
    MemberRecord self;
    io::LoopTimers &timers;
    io::HttpClient &http;
    io::PeerClient &peers;
    io::PlatformClient &platform;
    Counters &counters;
};

/** Timeout of a call between daemons. */
constexpr Duration peerCallTimeout = std::chrono::milliseconds{500};

/** Timeout of a control call to a backend server. */
constexpr Duration serverCallTimeout = std::chrono::milliseconds{500};

} // namespace bulrush
