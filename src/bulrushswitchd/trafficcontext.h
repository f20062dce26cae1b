#pragma once

#include "claimhandler.h"
#include "dispatchgate.h"
#include "limitregistry.h"
#include "loadrecorder.h"
#include "process/daemonsettings.h"
#include "process/memberrecord.h"
#include "routingview.h"
#include "serverqueue.h"
#include "serverstatusregistry.h"
#include "sharedburnrecorder.h"
#include "viewholder.h"

#include <atomic>
#include <map>
#include <memory>

namespace bulrush {

class Counters;
class RetryBudget;

namespace io {
class HttpClient;
class LoopTimers;
} // namespace io

/** State of a daemon that all traffic threads share. Each part is thread safe. */
struct TrafficShared
{
    const DaemonSettings &settings;
    MemberRecord self;
    Counters &counters;
    DispatchGate &gate;
    ServerStatusRegistry &serverStatuses;
    ServerQueues &serverQueues;
    ViewHolder<RoutingView> &view;
    ClaimHandler &claims;
    SharedBurnRecorder &burnRecorder;
    LimitRegistry &limits;
    LoadRecorder &loads;
    /** Whether new requests are refused because this daemon is draining. */
    const std::atomic<bool> &isRefusing;
    /** Number of requests from callers and peers that have not completed. */
    std::atomic<std::size_t> &openRequests;
};

/**
 * State that the requests of one traffic thread share: that of the daemon, and that of the thread.
 */
struct TrafficContext : TrafficShared
{
    asio::io_context &loop;
    io::HttpClient &http;
    io::LoopTimers &timers;
    RetryBudget &retries;
};

} // namespace bulrush
