#include "standinprocess/rawconnection.h"

#include "standinprocess/socketbytes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>

namespace bulrush::test {

namespace {

sockaddr_in parsedAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("not IP:PORT: " + address);

    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an IP number: " + address);

    return result;
}

std::string receivedBytes(int socket, int flags)
{
    std::string bytes;
    std::array<char, 4096> buffer{};
    ssize_t length = ::recv(socket, buffer.data(), buffer.size(), flags);
    while (length > 0) {
        bytes.append(buffer.data(), static_cast<std::size_t>(length));
        length = ::recv(socket, buffer.data(), buffer.size(), flags);
    }
    return bytes;
}

} // namespace

RawConnection::RawConnection(const std::string &address)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in target = parsedAddress(address);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close();
        throw std::runtime_error("can't connect to " + address);
    }
}

RawConnection::~RawConnection()
{
    close();
}

bool RawConnection::send(std::string_view bytes)
{
    return sendAll(m_socket, bytes);
}

std::string RawConnection::receiveAvailable()
{
    return receivedBytes(m_socket, MSG_DONTWAIT);
}

std::string RawConnection::receiveUntilClosed()
{
    return receivedBytes(m_socket, 0);
}

void RawConnection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

} // namespace bulrush::test
