#include "connection/curlmulti.h"

#include "connection/curltransfer.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <new>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::size_t maxIdleHandles = 64;
constexpr long connectionCacheSize = 1024;

} // namespace

/** A socket of libcurl that the event loop watches. */
class SocketWatch
{
public:
    SocketWatch(asio::io_context &loop, curl_socket_t key, int descriptor, bool isDuplicate)
        : m_key(key)
        , m_isDuplicate(isDuplicate)
        , m_descriptor(loop, descriptor)
    { }

    curl_socket_t m_key;
    bool m_isDuplicate; ///< libcurl closes the original socket itself, without notification
    asio::posix::stream_descriptor m_descriptor;
    bool m_wantsRead = false;
    bool m_wantsWrite = false;
    bool m_isReadPending = false;
    bool m_isWritePending = false;
    bool m_isClosed = false;
};

CurlMulti::CurlMulti(asio::io_context &loop)
    : m_loop(loop)
    , m_timer(loop)
    , m_multi(curl_multi_init())
{
    if (!m_multi)
        throw std::bad_alloc{};
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlMulti::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlMulti::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    // By default libcurl caches only four connections per running transfer.
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, connectionCacheSize);
}

CurlMulti::~CurlMulti()
{
    m_isClosing = true;
    m_pendingDeliveries.clear();
    while (!m_transfers.empty())
        m_transfers.begin()->second->abandon();
    for (CURL *handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
    for (auto &[socket, watch] : m_watches) {
        watch->m_isClosed = true;
        asio::error_code ignored;
        watch->m_descriptor.close(ignored);
    }
}

asio::io_context &CurlMulti::loop()
{
    return m_loop;
}

void CurlMulti::setConnectionsPerHost(long count)
{
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, count);
}

CURL *CurlMulti::acquireHandle()
{
    if (m_idleHandles.empty())
        return curl_easy_init();
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

void CurlMulti::recycleHandle(CURL *handle)
{
    if (m_isClosing || m_idleHandles.size() >= maxIdleHandles) {
        curl_easy_cleanup(handle);
        return;
    }
    curl_easy_reset(handle);
    m_idleHandles.push_back(handle);
}

bool CurlMulti::add(const std::shared_ptr<CurlTransfer> &transfer)
{
    CURL *handle = transfer->handle();
    curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer.get());
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &CurlMulti::onOpen);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &CurlMulti::onClose);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    if (curl_multi_add_handle(m_multi, handle) != CURLM_OK)
        return false;
    m_transfers.emplace(transfer.get(), transfer);
    return true;
}

void CurlMulti::remove(CurlTransfer &transfer)
{
    const auto found = m_transfers.find(&transfer);
    if (found == m_transfers.end())
        return;
    const auto keepAlive = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi, keepAlive->handle());
}

void CurlMulti::scheduleDelivery(CurlTransfer &transfer)
{
    m_pendingDeliveries.insert(transfer.shared_from_this());
    if (m_isRunningAction || m_isDeliveryPosted || m_isClosing)
        return;
    m_isDeliveryPosted = true;
    asio::post(m_loop, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->deliver();
    });
}

int CurlMulti::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
{
    static_cast<CurlMulti *>(self)->watchSocket(socket, what);
    return 0;
}

int CurlMulti::onTimer(CURLM *, long timeoutMs, void *self)
{
    static_cast<CurlMulti *>(self)->setTimer(timeoutMs);
    return 0;
}

curl_socket_t CurlMulti::onOpen(void *self, curlsocktype, curl_sockaddr *address)
{
    auto *multi = static_cast<CurlMulti *>(self);
    const int type = address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK;
    const int socket = ::socket(address->family, type, address->protocol);
    if (socket < 0)
        return CURL_SOCKET_BAD;
    multi->m_watches[socket] = std::make_shared<SocketWatch>(multi->m_loop, socket, socket, false);
    return socket;
}

int CurlMulti::onClose(void *self, curl_socket_t socket)
{
    auto *multi = static_cast<CurlMulti *>(self);
    const auto found = multi->m_watches.find(socket);
    if (found == multi->m_watches.end())
        return ::close(socket);
    const auto watch = std::move(found->second);
    multi->m_watches.erase(found);
    watch->m_isClosed = true;
    asio::error_code ignored;
    watch->m_descriptor.close(ignored);
    return 0;
}

void CurlMulti::watchSocket(curl_socket_t socket, int what)
{
    auto found = m_watches.find(socket);
    if (what == CURL_POLL_REMOVE) {
        if (found == m_watches.end())
            return;
        found->second->m_wantsRead = false;
        found->second->m_wantsWrite = false;
        if (!found->second->m_isDuplicate)
            return;
        found->second->m_isClosed = true;
        m_watches.erase(found);
        return;
    }
    if (found == m_watches.end()) {
        // A socket that libcurl created internally, such as the resolver's. libcurl closes it
        // without notification.
        auto watch = std::make_shared<SocketWatch>(m_loop, socket, ::dup(socket), true);
        found = m_watches.emplace(socket, std::move(watch)).first;
    }
    found->second->m_wantsRead = (what & CURL_POLL_IN) != 0;
    found->second->m_wantsWrite = (what & CURL_POLL_OUT) != 0;
    armWatch(found->second);
}

void CurlMulti::armWatch(const std::shared_ptr<SocketWatch> &watch)
{
    using Descriptor = asio::posix::stream_descriptor;
    if (watch->m_wantsRead && !watch->m_isReadPending) {
        watch->m_isReadPending = true;
        watch->m_descriptor.async_wait(
            Descriptor::wait_read, [this, watch](asio::error_code error) {
                watch->m_isReadPending = false;
                if (watch->m_isClosed)
                    return;
                handleSocketReady(
                    watch, watch->m_wantsRead ? (error ? CURL_CSELECT_ERR : CURL_CSELECT_IN) : 0);
            });
    }
    if (watch->m_wantsWrite && !watch->m_isWritePending) {
        watch->m_isWritePending = true;
        watch->m_descriptor.async_wait(
            Descriptor::wait_write, [this, watch](asio::error_code error) {
                watch->m_isWritePending = false;
                if (watch->m_isClosed)
                    return;
                handleSocketReady(
                    watch, watch->m_wantsWrite ? (error ? CURL_CSELECT_ERR : CURL_CSELECT_OUT) : 0);
            });
    }
}

void CurlMulti::handleSocketReady(const std::shared_ptr<SocketWatch> &watch, int events)
{
    if (events == 0)
        return;
    const auto self = shared_from_this();
    runSocketAction(watch->m_key, events);
    if (!watch->m_isClosed)
        armWatch(watch);
}

void CurlMulti::setTimer(long timeoutMs)
{
    if (m_isClosing)
        return;
    const std::uint64_t generation = ++m_timerGeneration;
    m_timer.cancel();
    if (timeoutMs < 0)
        return;
    const auto expire = [weak = weak_from_this(), generation](asio::error_code error = {}) {
        const auto self = weak.lock();
        if (!error && self && self->m_timerGeneration == generation)
            self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
    };
    if (timeoutMs == 0) {
        // This is the case at the start of each transfer; a timer would cost a system call.
        asio::post(m_loop, expire);
        return;
    }
    m_timer.expires_after(std::chrono::milliseconds{timeoutMs});
    m_timer.async_wait(expire);
}

void CurlMulti::runSocketAction(curl_socket_t socket, int events)
{
    int running = 0;
    m_isRunningAction = true;
    curl_multi_socket_action(m_multi, socket, events, &running);
    collectFinished();
    m_isRunningAction = false;
    deliver();
}

void CurlMulti::collectFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode code = message->data.result;
        char *owner = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
        reinterpret_cast<CurlTransfer *>(owner)->finish(code);
    }
}

void CurlMulti::deliver()
{
    m_isDeliveryPosted = false;
    const auto pending = std::exchange(m_pendingDeliveries, {});
    for (const auto &transfer : pending)
        transfer->deliver();
}

} // namespace bulrush::io
