#pragma once

#include "http/listener.h"
#include "keyed/leasetable.h"

#include <asio/io_context.hpp>
#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::standins {

/** Start parameters of a keyed server. */
struct KeyedSettings
{
    ListenerSettings listener;
    /** Identifies this run of the server process. */
    std::string id = "s";
    std::size_t slots = 3;
    std::size_t queueLimit = 12;
    std::chrono::milliseconds serviceTime{5};
    /** Whether a request runs only while the server holds a grant for its key. */
    bool requiresGrant = false;
    /** How much slower than true time the server's clock runs, in parts per million. */
    std::int64_t clockSlowdownPpm = 0;
    /** Requests that exceed the queue get no answer, nor do later requests on their connections. */
    bool hangsWhenQueueFull = false;
    /** The process exits when it finishes a request whose path contains this text; empty: never. */
    std::string crashPathSubstring = {};
    /**
     * The process exits when it receives more requests than this in one second of its cold time,
     * which begins at its start; 0: it bears any number.
     */
    std::size_t coldRequestLimit = 0;
    std::chrono::milliseconds coldTime{0};
    /**
     * File to which a line with the id and the path of each request is appended before it runs;
     * empty: none.
     */
    std::string runFile = {};
};

/** Faults in the answers to requests that were executed. */
enum class AnswerFault {
    Drop,       ///< the connection closes without an answer
    Truncate,   ///< the connection closes in the middle of the body
    OmitLength, ///< the answer has no length and ends when the connection closes
    Duplicate,  ///< the same answer is sent again later, on a connection that is kept open
    Deny,       ///< the answer states that the request did not run
};

/**
 * Simulates a backend server of the users' platform.
 *
 * Runs requests, each identified by its id, in a fixed number of slots with a queue. Accepts grants
 * of keys with fencing tokens, and confirms a release once no request for its keys is running any
 * more. `GET /_control` lists the requests that were executed; `POST /_control` sets how many
 * answers are faulty and in which way, how many orders (grants and releases) are left unanswered
 * and executed late, which limit answers name, whether they announce that the server leaves, the
 * pause with which all requests are refused, how many of the next requests are refused without one,
 * and the callers from which the server is partitioned.
 *
 * Not thread safe: to be used on the event loop's thread only.
 */
class KeyedServer
{
public:
    KeyedServer(asio::io_context &loop, KeyedSettings settings);
    ~KeyedServer();

    const std::string &address() const;

private:
    struct Work
    {
        RequestHandle request;
        std::string requestId;
        std::optional<KeyPosition> key;
        std::size_t runIndex = 0;
    };

    struct RunRecord
    {
        std::string requestId;
        /** -1 if the request has no key. */
        std::int64_t key = -1;
        std::int64_t startUs = 0;
        std::int64_t endUs = 0;
    };

    /** A request that reached the server. */
    struct Arrival
    {
        std::int64_t atUs = 0;
        /** The address that it came from, without the port. */
        std::string from;
        std::string requestId;
        /** It was refused with a pause. */
        bool isRefused = false;
    };

    /** A release that is answered once no request for its keys is running. */
    struct PendingRelease
    {
        RequestHandle request;
        KeyRange range;
    };

    void serve(const RequestHandle &request);
    void grant(const RequestHandle &request);
    void release(const RequestHandle &request);
    bool takeDelayedOrder();
    void executeDelayed(const RequestHandle &request, std::function<void()> order);
    void answerCompletedReleases();
    void acceptWork(const RequestHandle &request);
    Answer refusal(const RequestHandle &request, int status,
                   std::vector<HeaderField> headers) const;
    void refuse(const RequestHandle &request, int status, std::vector<HeaderField> headers) const;
    void refuseOnDemand(const RequestHandle &request);
    void recordRun(const Work &work);
    void start(Work work);
    void finish(std::list<Work>::iterator entry);
    bool triggersCrash(const Work &work) const;
    bool isOverloadedWhileCold();
    void sendAnswer(const Work &work);
    bool targetsOtherInstance(const RequestHandle &request) const;
    std::optional<AnswerFault> nextAnswerFault();
    void handleControl(const RequestHandle &request);
    void setFaults(const Json::Value &json);
    void setPartition(const Json::Value &sources, const std::string &openConnections);
    Json::Value stateJson() const;
    std::vector<HeaderField> answerHeaders(const std::string &requestId) const;

    asio::io_context &m_loop;
    KeyedSettings m_settings;
    LeaseTable m_leases;
    std::list<Work> m_running;
    std::deque<Work> m_queue;
    std::vector<RequestHandle> m_unansweredRequests;
    std::list<PendingRelease> m_pendingReleases;
    std::vector<RunRecord> m_runs;
    std::vector<Arrival> m_arrivals;
    /** Lowest and highest fencing token of all grants received; none yet if lowest > highest. */
    std::uint64_t m_lowestFence = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t m_highestFence = 0;
    /** How many of the next answers have which fault. */
    std::map<AnswerFault, int> m_answerFaults;
    /** How many of the next orders are left unanswered, and after which delay they are executed. */
    int m_ordersToDelay = 0;
    /** The value of the limit in each answer; empty if answers name none. */
    std::string m_namedLimit;
    /** The value of Retry-After with which all requests are refused; empty if none are. */
    std::string m_backoff;
    bool m_isLeaving = false;
    /** How many of the next requests are refused, and whether each refusal is sent twice. */
    int m_requestsToRefuse = 0;
    bool m_areRefusalsDuplicated = false;
    std::ofstream m_runFile;
    std::chrono::milliseconds m_orderDelay{0};
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    /** When the requests of the last second arrived, while the server is cold. */
    std::deque<std::chrono::steady_clock::time_point> m_coldArrivals;
    std::unique_ptr<Listener> m_listener;
};

} // namespace bulrush::standins
