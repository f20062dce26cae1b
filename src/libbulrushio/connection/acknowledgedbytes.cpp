#include "connection/acknowledgedbytes.h"

// The system's header, as that of the C library lacks the field.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace bulrush::io {

std::optional<std::uint64_t> acknowledgedBytes(int descriptor)
{
    tcp_info info{};
    socklen_t length = sizeof info;
    constexpr std::size_t needed = offsetof(tcp_info, tcpi_bytes_acked) + sizeof(std::uint64_t);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < needed)
        return std::nullopt;
    return info.tcpi_bytes_acked;
}

} // namespace bulrush::io
