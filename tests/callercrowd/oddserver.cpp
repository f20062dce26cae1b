#include "callercrowd/oddserver.h"

#include "standinprocess/socketbytes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace bulrush::test {

namespace {

std::string receivedHead(int socket)
{
    std::string head;
    std::array<char, 4096> buffer{};
    while (head.find("\r\n\r\n") == std::string::npos) {
        const ssize_t length = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (length <= 0)
            return {};
        head.append(buffer.data(), static_cast<std::size_t>(length));
    }
    return head;
}

} // namespace

OddServer::OddServer(const std::string &ip, Behaviour behaviour)
    : m_behaviour(std::move(behaviour))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 128;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t length = sizeof address;
    auto *const plain = reinterpret_cast<sockaddr *>(&address);
    if (::bind(m_listener, plain, length) != 0 || ::listen(m_listener, backlog) != 0
        || ::getsockname(m_listener, plain, &length) != 0)
        throw std::runtime_error("can't listen on " + ip);
    m_address = ip + ':' + std::to_string(ntohs(address.sin_port));
    m_acceptor = std::thread{[this] {
        accept();
    }};
}

OddServer::~OddServer()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    for (const int socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
    for (std::thread &thread : m_threads)
        thread.join();
    for (const int socket : m_sockets)
        ::close(socket);
}

void OddServer::accept()
{
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const std::lock_guard lock{m_mutex};
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void OddServer::serve(int socket)
{
    const std::string head = receivedHead(socket);
    if (!head.empty())
        m_behaviour(head, [socket](std::string_view bytes) { return sendAll(socket, bytes); });
    ::shutdown(socket, SHUT_RDWR);
}

} // namespace bulrush::test
