#include "net.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readSize = 16 * 1024;
constexpr int backlog = 512;
constexpr int firstFreePort = 20'000;
constexpr int lastFreePort = 29'999;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string word(const std::string &line, int index)
{
    std::size_t at = 0;
    for (int i = 0; i < index && at != std::string::npos; ++i) {
        at = line.find(' ', at);
        at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? std::string{} : line.substr(at, line.find(' ', at) - at);
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

double nowSeconds()
{
    static const Instant start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

std::string HttpMessage::method() const
{
    return word(startLine, 0);
}

std::string HttpMessage::target() const
{
    return word(startLine, 1);
}

int HttpMessage::status() const
{
    return std::atoi(word(startLine, 1).c_str());
}

std::string HttpMessage::field(const std::string &name) const
{
    const auto found = fields.find(lowerCase(name));
    return found == fields.end() ? std::string{} : found->second;
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    setNoDelay(descriptor);
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

bool Connection::read(HttpMessage &message)
{
    message = {};
    const auto readMore = [this] {
        char bytes[readSize];
        const ssize_t length = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (length <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(length));
        return true;
    };
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return false;
    }
    const std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.startLine = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const std::size_t next = head.find("\r\n", at);
        const std::string line = head.substr(at, next - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.fields[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        at = next + 2;
    }
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!readMore())
            return false;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool Connection::send(const std::string &bytes)
{
    const std::lock_guard lock{m_sendMutex};
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t length =
            ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0)
            return false;
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

bool Connection::isClosedByPeer() const
{
    pollfd state{m_descriptor, POLLRDHUP, 0};
    return m_isReset || ::poll(&state, 1, 0) > 0;
}

void Connection::reset()
{
    if (m_isReset.exchange(true))
        return;
    // Disconnecting a connected TCP socket sends a reset and wakes its reader.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    const linger immediately{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    ::connect(m_descriptor, &none, sizeof(none));
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void Connection::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string httpAnswer(int status, const std::map<std::string, std::string> &fields,
                       const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::HttpServer(const std::string &ip, int port, Handler handler)
    : m_ip(ip)
    , m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socketAddress(ip, port);
    const bool isBound =
        ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    if (!isBound || ::listen(m_listener, backlog) != 0)
        throw std::runtime_error("cannot listen on " + ip + ':' + std::to_string(port));
    socklen_t size = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread{[this] {
        acceptConnections();
    }};
}

HttpServer::~HttpServer()
{
    m_isStopping = true;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock{m_mutex};
        for (const auto &connection : m_connections)
            connection->reset();
    }
    while (m_openThreads > 0)
        std::this_thread::sleep_for(Milliseconds{1});
}

int HttpServer::port() const
{
    return m_port;
}

std::string HttpServer::address() const
{
    return m_ip + ':' + std::to_string(m_port);
}

void HttpServer::acceptConnections()
{
    while (!m_isStopping) {
        pollfd state{m_listener, POLLIN, 0};
        if (::poll(&state, 1, 10) <= 0)
            continue;
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        auto connection = std::make_shared<Connection>(descriptor);
        {
            const std::lock_guard lock{m_mutex};
            m_connections.insert(connection);
        }
        ++m_openThreads;
        std::thread{[this, connection] {
            HttpMessage message;
            while (connection->read(message))
                m_handler(*connection, message);
            connection->shutdown();
            {
                const std::lock_guard lock{m_mutex};
                m_connections.erase(connection);
            }
            --m_openThreads;
        }}.detach();
    }
}

int freePort(const std::string &ip)
{
    // Below the range from which the system chooses ports of outgoing connections.
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> ports{firstFreePort, lastFreePort};
    for (;;) {
        const int port = ports(random);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(ip, port);
        const bool isFree =
            ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (isFree)
            return port;
    }
}

int connectTo(const std::string &address, Milliseconds timeout)
{
    const std::size_t colon = address.rfind(':');
    const int port = std::atoi(address.substr(colon + 1).c_str());
    const sockaddr_in target = socketAddress(address.substr(0, colon), port);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    pollfd state{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    const bool isConnected = ::poll(&state, 1, static_cast<int>(timeout.count())) > 0
        && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!isConnected) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

ClientAnswer request(const std::string &address, const std::string &head, const std::string &body,
                     Milliseconds timeout)
{
    ClientAnswer answer;
    const int descriptor = connectTo(address, std::min(timeout, Milliseconds{1000}));
    if (descriptor < 0)
        return answer;
    // Blocking from here on, with a limit for each read.
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    Connection connection{descriptor};
    const int flags = ::fcntl(descriptor, F_GETFL);
    ::fcntl(descriptor, F_SETFL, flags & ~O_NONBLOCK);
    HttpMessage message;
    const std::string length =
        body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!connection.send(head + length + "Connection: close\r\n\r\n" + body)
        || !connection.read(message))
        return answer;
    answer.status = message.status();
    answer.fields = message.fields;
    answer.body = message.body;
    return answer;
}

} // namespace review
