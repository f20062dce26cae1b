#pragma once

#include "http/listener.h"
#include "store/rowhistory.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/** How a listener of the store answers. */
enum class StoreMode {
    Normal,
    Unavailable,     ///< 503 to every request; nothing is executed
    TooManyRequests, ///< 429 to every request; nothing is executed
    Reset,           ///< TCP reset of every connection
    NoAnswer,        ///< no answer; connections stay open
    NoChanges,       ///< feeds answer without any changes
};

/**
 * Simulates the platform's metadata store: rows, conditional transactions and change feeds.
 *
 * Several listeners share one state. Each has its own fault settings, so that a test can cut off
 * individual hosts. `POST /_control` sets faults and writes rows in place of operators and servers.
 * `"keepCopy": true` keeps a copy of all rows; `"restoreCopy": true` replaces the rows by that
 * copy: versions go back to it and are given out again, and the era in all answers rises by one.
 * With `"hangWaits": true` requests that wait for changes are then never answered.
 *
 * Not thread safe: to be used on the event loop's thread only.
 */
class StoreServer
{
public:
    explicit StoreServer(asio::io_context &loop);
    ~StoreServer();

    /** Opens a listener. Throws if it can't be opened. \returns its address. */
    std::string listen(const std::string &name, const ListenerSettings &settings);

private:
    struct ListenerState
    {
        std::string name;
        StoreMode mode = StoreMode::Normal;
        /** Number of coming transactions that are applied but not answered. */
        int answersToLose = 0;
        /** Number of coming transactions that are applied after `delay` and not answered. */
        int writesToDelay = 0;
        std::chrono::milliseconds delay{0};
        /** Reads of this table are answered after `delay`, with the rows as of the request. */
        std::string readTableToDelay;
        /** The next feed answer for this table is lost; empty: none is. */
        std::string feedTableToLose;
        std::uint64_t requestCount = 0;
        std::unique_ptr<Listener> listener;
    };

    /** A feed that waits for changes, or, without a timer, a request that is never answered. */
    struct PendingRequest
    {
        ListenerState *state = nullptr;
        RequestHandle request;
        std::string table;
        std::uint64_t afterVersion = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void serve(ListenerState &state, const RequestHandle &request);
    void send(const RequestHandle &request, const Answer &answer) const;
    static void send(const RequestHandle &request, Answer answer, std::uint64_t era);
    void restoreCopy(bool areWaitsHanging);
    void resetPendingFeeds();
    bool handleFaultMode(ListenerState &state, const RequestHandle &request);
    void transact(ListenerState &state, const RequestHandle &request);
    void get(const ListenerState &state, const RequestHandle &request);
    void followChanges(ListenerState &state, const RequestHandle &request);
    void answerPendingFeeds();
    void answerFeed(const PendingRequest &pending);
    static bool loseFeedAnswer(PendingRequest &pending);
    Answer handleControl(std::string_view body);
    void setFaults(const Json::Value &json);
    Json::Value countersJson() const;

    asio::io_context &m_loop;
    RowHistory m_rows;
    /** The rows that a restore brings back. */
    RowHistory m_copy;
    std::uint64_t m_era = 1;
    std::vector<std::unique_ptr<ListenerState>> m_listenerStates;
    std::list<std::shared_ptr<PendingRequest>> m_pendingRequests;
};

} // namespace bulrush::standins
