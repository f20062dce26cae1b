#pragma once

#include "http/listener.h"
#include "keyed/leasetable.h"

#include <asio/io_context.hpp>
#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::standins {

/** What a keyed server is told at its start. */
struct KeyedSettings
{
    ListenerSettings listener;
    /** Of this run. */
    std::string id = "s";
    std::size_t slots = 3;
    std::size_t queueLimit = 12;
    std::chrono::milliseconds serviceTime{5};
    /** Whether requests run only under a grant of their key. */
    bool isKeyed = false;
    /** How much slower than true time its clock runs. */
    std::int64_t clockPpm = 0;
    /** Requests that it can't queue get no answer, nor does anything later on their connections. */
    bool hangsWhenFull = false;
    /** Work on paths that hold this text ends the process as it is done; empty: none does. */
    std::string crashOn = {};
};

/** How a keyed server spoils answers to work that it did. */
enum class AnswerSpoil {
    Lose,     ///< the connection ends without an answer
    Cut,      ///< the connection ends in the middle of the body
    Unframed, ///< the answer has no length and ends with its connection
    Twice,    ///< the same answer comes again later, on a connection that is kept
};

/**
 * A backend server of the users' platform: runs requests in slots, with a queue, each under its id;
 * takes grants of keys with fences, and gives them up when their work has ended. `GET /_control`
 * lists what it ran; `POST /_control` sets how many answers are spoiled in which way, and how many
 * orders are left unanswered and carried out late.
 *
 * Not thread safe: lives on the loop's thread.
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
        std::size_t run = 0;
    };

    struct Run
    {
        std::string requestId;
        std::int64_t key = -1;
        std::int64_t startUs = 0;
        std::int64_t endUs = 0;
    };

    /** A release that waits for work on its keys. */
    struct Releasing
    {
        RequestHandle request;
        KeyRange range;
    };

    void serve(const RequestHandle &request);
    void grant(const RequestHandle &request);
    void release(const RequestHandle &request);
    bool isLate();
    void carryOutLate(const RequestHandle &request, std::function<void()> order);
    void answerReleases();
    void take(const RequestHandle &request);
    void start(Work work);
    void finished(std::list<Work>::iterator place);
    bool isCrashing(const Work &work) const;
    void answer(const Work &work);
    bool isForOther(const RequestHandle &request) const;
    std::optional<AnswerSpoil> nextSpoil();
    void control(const RequestHandle &request);
    void setWrongs(const Json::Value &json);
    Json::Value record() const;
    std::vector<HeaderField> fields(const std::string &requestId) const;

    asio::io_context &m_loop;
    KeyedSettings m_settings;
    LeaseTable m_leases;
    std::list<Work> m_running;
    std::deque<Work> m_queue;
    std::vector<RequestHandle> m_hung;
    std::list<Releasing> m_releasing;
    std::vector<Run> m_runs;
    /** The lowest and the highest that keys were granted under; none if the first is above. */
    std::uint64_t m_lowestFence = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t m_highestFence = 0;
    /** How many of the next answers are spoiled in which way. */
    std::map<AnswerSpoil, int> m_spoils;
    /** How many of the next orders are left unanswered, and when they are carried out. */
    int m_lateOrders = 0;
    std::chrono::milliseconds m_lateBy{0};
    std::unique_ptr<Listener> m_listener;
};

} // namespace bulrush::standins
