#pragma once

#include <cstddef>
#include <cstdint>

namespace bulrush::bench {

/** Cost for one daemon per second, and the time until a change has reached all daemons. */
struct WayCost
{
    double messages = 0;
    double bytes = 0;
    /** Share of a core used to encode and decode messages. */
    double coreShare = 0;
    double secondsUntilAllKnow = 0;
};

/** Bytes of HTTP, TCP and IP headers around a message and its empty answer; an estimate. */
constexpr std::size_t overheadBytes = 300;

/**
 * All to all: each daemon sends a heartbeat per second to each other daemon, and sends changes
 * immediately. The cost is the same for each daemon.
 */
WayCost costOfAllToAll(std::size_t daemons, double loss);

/**
 * A tree by failure domain: members send heartbeats to their domain's relay, which answers them;
 * relays do the same with each other. A lost message is repeated with the next heartbeat. The cost
 * is that of a relay.
 *
 * \param isRelayLost whether one relay crashes just before the change, which is detected after
 * three missed heartbeats.
 */
WayCost costOfTree(std::size_t daemons, double loss, bool isRelayLost);

} // namespace bulrush::bench
