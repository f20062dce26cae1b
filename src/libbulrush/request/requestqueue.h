#pragma once

#include "request/serverpicker.h"
#include "version/movetimes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace bulrush {

/** Request that waits for a server. */
struct WaitingRequest
{
    /** Identifies the request to the caller of the queue. */
    std::uint64_t ticket = 0;
    ServiceName service;
    /** Set if and only if the service is divided by key. */
    std::optional<KeyPosition> key;
    RequestKind kind = RequestKind::Idempotent;
    std::vector<ServerName> tried;
    /** Priority of its route; 0 is the highest. */
    std::uint32_t priority = 0;
    Instant arrivedAt;
    /** An answer up to this instant has its full value. */
    Instant onTimeUntil;
    /** An answer after this instant is of no use. */
    Instant answerBy;
    /** Earliest instant of the next attempt, after an attempt that was not executed. */
    Instant notBefore;
    /** The server for which it has a permit; empty if it has none. */
    ServerName permitted = {};
    /** Name of its route, which must outlive the wait; may be empty. */
    std::string_view route = {};
    /** Instant since which no server has been available for it; managed by the queue. */
    std::optional<Instant> absentSince;
    /** Whether it was found on arrival that it can be served in time; managed by the queue. */
    bool isAccepted = false;
};

/** Reason why the queue gives up a waiting request. */
enum class GiveUpReason {
    NoTimeLeft,   ///< no server can answer in the remaining time
    QueueTooLong, ///< the requests ahead of it take longer than it can wait
    NoOwner,      ///< no server serves its key or service, for an unknown time
    Unreachable,  ///< the server of its key repeatedly could not be reached just now
    AllTried,     ///< it was sent to every server already
    Cold,         ///< only other daemons may send to the servers, which are cold
    Evacuated,    ///< all servers of its service are in evacuated failure domains
    Limited,      ///< no server takes it in time, by the limits that servers name
    BackingOff,   ///< its servers asked for a pause that ends too late for it
};

/** \returns the name of \a reason in logs. */
std::string_view nameOf(GiveUpReason reason);

/** Request that was removed from the queue without being sent. */
struct GivenUp
{
    std::uint64_t ticket = 0;
    GiveUpReason reason = GiveUpReason::NoTimeLeft;
    /** Time after which a server will take requests again; zero if it is unknown. */
    Duration availableIn{};
};

/**
 * Requests of one traffic thread that wait for a server. Requests that can still be answered on
 * time are sent first, by priority and then by arrival, and late requests after them. A request
 * that cannot be served in time is given up as soon as this is foreseeable, so that its caller can
 * retry while there is time.
 *
 * The queue absorbs bursts, hot keys and the loss of servers: requests wait in the daemons instead
 * of in the servers, because a server whose queue is full may never answer.
 *
 * Not thread safe.
 */
class RequestQueue
{
public:
    /** Sends the request \a ticket to \a server. */
    using SendHandler = std::function<void(std::uint64_t ticket, const ServerRecord &server)>;

    /**
     * Minimum time for an answer. A request with less time left is not sent, because servers need
     * some tens of milliseconds for the shortest request.
     */
    static constexpr Duration minServiceTime = std::chrono::milliseconds{40};
    /**
     * Time for which a request waits if no server is available for it. A planned move of keys takes
     * some tenths of a second; any other cause takes seconds.
     */
    static constexpr Duration absenceTimeout = std::chrono::milliseconds{450};
    /**
     * A move that has lasted for this long is not a planned one between two servers in good order,
     * so that requests for its keys are given up at once.
     */
    static constexpr Duration longMove = 2 * absenceTimeout;
    explicit RequestQueue(const ServerPicker &picker);

    /** \pre no request with the same ticket waits */
    void add(WaitingRequest request);

    /** Records the moves of keys in the assignments of \a state. To be called with each state. */
    void recordMoves(const RoutingState &state, Instant now);

    /** Removes the request \a ticket if it waits. */
    void remove(std::uint64_t ticket);

    /**
     * Passes each request that may be sent now to \a send, in order, and removes those that are
     * given up. \a send must record the attempt in the gauges of the picker, so that the next
     * choice takes it into account, and must not change the queue.
     * \returns the requests that were given up.
     */
    std::vector<GivenUp> dispatch(const RoutingState &state, Instant now, const SendHandler &send);

    /**
     * \returns the refusal of \a request, which is not in the queue, if it is foreseeable that the
     * requests ahead of it take longer than it can wait. To be called before the body is read.
     */
    std::optional<GivenUp> foreseenRefusal(const RoutingState &state, WaitingRequest request,
                                           Instant now) const;

    std::size_t size() const;

private:
    /** Number of requests ahead, by the server, or otherwise the service, that they wait for. */
    using Ahead = std::map<std::pair<ServiceName, ServerName>, double>;

    void sort(const RoutingState &state, Instant now);
    std::optional<GiveUpReason> giveUpReason(const RoutingState &state, WaitingRequest &request,
                                             NoServer cause, Ahead &ahead, Instant now) const;
    GivenUp givenUp(const RoutingState &state, const WaitingRequest &request, GiveUpReason reason,
                    const Ahead &ahead, Instant now) const;
    Duration drainTime(const RoutingState &state, const WaitingRequest &request, const Ahead &ahead,
                       Instant now) const;
    bool isTooLong(const RoutingState &state, const WaitingRequest &request,
                   const ServerEstimate &expected, double before, Instant now) const;
    void recordSend(const ServerName &server, Instant now);
    Duration moveTime(const RoutingState &state, const WaitingRequest &request, Instant now) const;
    static ServerDemand demandOf(const WaitingRequest &request);

    const ServerPicker &m_picker;
    MoveTimes m_moves;
    std::vector<WaitingRequest> m_waiting;
    /** Instants of the last requests to owners of keys. */
    std::map<ServerName, Instant> m_sentAt;
};

inline std::size_t RequestQueue::size() const
{
    return m_waiting.size();
}

} // namespace bulrush
