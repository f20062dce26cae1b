#include "standinprocess/socketbytes.h"

#include <sys/socket.h>

namespace bulrush::test {

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t length = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (length <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(length));
    }
    return true;
}

} // namespace bulrush::test
