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

/** How an entrance of the store answers. */
enum class StoreMode {
    Normal,
    Busy,   ///< 503 to all: nothing is done
    Many,   ///< 429 to all: nothing is done
    Reset,  ///< connections are reset
    Silent, ///< no answer
    Deaf,   ///< feeds hear of nothing
};

/**
 * The platform's metadata store: rows, transactions under conditions, and feeds of changes, on
 * several entrances over one state, each with faults of its own, so that some hosts can be turned
 * away. `POST /_control` writes rows as operators and servers do, and sets faults.
 *
 * Not thread safe: lives on the loop's thread.
 */
class StoreServer
{
public:
    explicit StoreServer(asio::io_context &loop);
    ~StoreServer();

    /** Opens an entrance. Throws if it can't be opened. \returns its address. */
    std::string listen(const std::string &name, const ListenerSettings &settings);

private:
    struct Entrance
    {
        std::string name;
        StoreMode mode = StoreMode::Normal;
        /** Transactions that are done without an answer. */
        int answersToLose = 0;
        /** Transactions that are done this much later, without an answer. */
        int writesToDelay = 0;
        std::chrono::milliseconds delay{0};
        /** Reads of this table are answered after the delay, by what it was before. */
        std::string readsToDelay;
        /** The next answer to a wait for changes of this table is lost; empty: none is. */
        std::string feedToLose;
        std::uint64_t calls = 0;
        std::unique_ptr<Listener> listener;
    };

    /** A call that waits for changes. */
    struct Waiting
    {
        Entrance *entrance = nullptr;
        RequestHandle request;
        std::string table;
        std::uint64_t after = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void serve(Entrance &entrance, const RequestHandle &request);
    bool turnAway(Entrance &entrance, const RequestHandle &request);
    void transact(Entrance &entrance, const RequestHandle &request);
    void get(const Entrance &entrance, const RequestHandle &request);
    void follow(Entrance &entrance, const RequestHandle &request);
    void answerWaiting();
    void answerFeed(const Waiting &waiting);
    static bool isLost(Waiting &waiting);
    Answer control(std::string_view body);
    void setFaults(const Json::Value &json);
    Json::Value counts() const;

    asio::io_context &m_loop;
    RowHistory m_rows;
    std::vector<std::unique_ptr<Entrance>> m_entrances;
    std::list<std::shared_ptr<Waiting>> m_waiting;
};

} // namespace bulrush::standins
