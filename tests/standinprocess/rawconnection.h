#pragma once

#include <string>
#include <string_view>

namespace bulrush::test {

/**
 * A plain TCP connection, for tests of what HTTP clients don't do: sending incomplete or malformed
 * requests, or closing the connection at a chosen moment. Not thread safe.
 */
class RawConnection
{
public:
    /** Connects to `IP:PORT`. Throws std::runtime_error if that fails. */
    explicit RawConnection(const std::string &address);
    ~RawConnection();

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** Sends all of \a bytes. \returns false if sending fails, as after the peer has closed. */
    bool send(std::string_view bytes);

    /** \returns the bytes that have arrived and were not returned before, without waiting. */
    std::string receiveAvailable();

    /** Waits for the peer to close the connection. \returns all bytes that arrived until then. */
    std::string receiveUntilClosed();

    /** Closes the connection; further calls have no effect. */
    void close();

private:
    int m_socket = -1;
};

} // namespace bulrush::test
