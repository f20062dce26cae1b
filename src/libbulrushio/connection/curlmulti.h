#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrush::io {

class CurlTransfer;
class SocketWatch;

/**
 * Drives libcurl's multi interface from an Asio event loop: watches its sockets and runs its timer.
 * Events are delivered to transfers only after libcurl has returned, so that their handlers may
 * start, cancel or destroy transfers.
 *
 * All methods must be called on the event loop's thread.
 */
class CurlMulti : public std::enable_shared_from_this<CurlMulti>
{
public:
    explicit CurlMulti(asio::io_context &loop);
    ~CurlMulti();

    CurlMulti(const CurlMulti &) = delete;
    CurlMulti &operator=(const CurlMulti &) = delete;

    /** \returns the event loop that drives the transfers. */
    asio::io_context &loop();

    /** Limits the connections to one host and port to \a count; 0 means no limit. */
    void setConnectionsPerHost(long count);

    /** \returns an easy handle in its initial state, recycled if possible; null on failure. */
    CURL *acquireHandle();

    /** Takes back a handle that is no longer in use. */
    void recycleHandle(CURL *handle);

    /** Starts \a transfer. \returns whether libcurl accepted it. */
    bool add(const std::shared_ptr<CurlTransfer> &transfer);

    /** Ends \a transfer; its connection is closed unless its answer is complete. */
    void remove(CurlTransfer &transfer);

    /** Schedules the delivery of the pending events of \a transfer on the event loop. */
    void scheduleDelivery(CurlTransfer &transfer);

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *watch);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    static curl_socket_t onOpen(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int onClose(void *self, curl_socket_t socket);

    void watchSocket(curl_socket_t socket, int what);
    void armWatch(const std::shared_ptr<SocketWatch> &watch);
    void handleSocketReady(const std::shared_ptr<SocketWatch> &watch, int events);
    void setTimer(long timeoutMs);
    void runSocketAction(curl_socket_t socket, int events);
    void collectFinished();
    void deliver();

    asio::io_context &m_loop;
    asio::steady_timer m_timer;
    CURLM *m_multi;
    std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> m_watches;
    std::unordered_map<CurlTransfer *, std::shared_ptr<CurlTransfer>> m_transfers;
    std::unordered_set<std::shared_ptr<CurlTransfer>> m_pendingDeliveries;
    std::vector<CURL *> m_idleHandles;
    std::uint64_t m_timerGeneration = 0;
    bool m_isRunningAction = false;
    bool m_isDeliveryPosted = false;
    bool m_isClosing = false;
};

} // namespace bulrush::io
