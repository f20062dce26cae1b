#include "http/sourcefilter.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <optional>
#include <system_error>

namespace bulrush::standins {

namespace {

/** Offset of the source address in an IPv4 header. */
constexpr std::uint32_t sourceOffset = 12;
constexpr std::uint32_t keepWholePacket = 0xffffffffU;

/** \returns a packet filter that drops packets from \a sources. */
std::vector<sock_filter> dropFrom(const std::vector<std::string> &sources)
{
    std::vector<sock_filter> program{
        {BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<std::uint32_t>(SKF_NET_OFF) + sourceOffset}};
    for (const std::string &source : sources) {
        program.push_back({BPF_JMP | BPF_JEQ | BPF_K, 0, 1, ntohl(inet_addr(source.c_str()))});
        program.push_back({BPF_RET | BPF_K, 0, 0, 0});
    }
    program.push_back({BPF_RET | BPF_K, 0, 0, keepWholePacket});
    return program;
}

bool isListening(int socket)
{
    int value = 0;
    socklen_t length = sizeof(value);
    return ::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &value, &length) == 0 && value != 0;
}

std::optional<std::uint16_t> localPort(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0
        || address.sin_family != AF_INET)
        return std::nullopt;
    return ntohs(address.sin_port);
}

bool isConnectedToOneOf(int socket, const std::vector<std::string> &sources)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (::getpeername(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return false;
    return std::ranges::any_of(sources, [&](const std::string &source) {
        return address.sin_addr.s_addr == inet_addr(source.c_str());
    });
}

/** Resets the connection of \a socket, whose owner sees it closed. */
void resetConnection(int socket)
{
    sockaddr disconnect{};
    disconnect.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(socket, &disconnect, sizeof(disconnect)));
}

void setFilter(int socket, std::vector<sock_filter> program)
{
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0)
        throw std::system_error{errno, std::system_category(), "SO_ATTACH_FILTER"};
}

/** \returns the open file descriptors of this process. */
std::vector<int> openDescriptors()
{
    std::vector<int> descriptors;
    for (const auto &entry : std::filesystem::directory_iterator{"/proc/self/fd"}) {
        const std::string name = entry.path().filename().string();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        descriptors.push_back(descriptor);
    }
    return descriptors;
}

} // namespace

void partitionFrom(const std::vector<std::string> &sources, std::uint16_t port,
                   PartitionScope scope)
{
    for (const int descriptor : openDescriptors()) {
        if (localPort(descriptor) != port)
            continue;
        if (isListening(descriptor) || scope == PartitionScope::AllConnections)
            setFilter(descriptor, dropFrom(sources));
        else if (scope == PartitionScope::ResetOpen && isConnectedToOneOf(descriptor, sources))
            resetConnection(descriptor);
    }
}

} // namespace bulrush::standins
