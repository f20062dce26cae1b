#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace bulrush::test {

/** A listening socket on loopback that accepts nothing: connections to it are not established. */
class FullListener
{
public:
    FullListener()
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(0);
        // The system queues one connection more than the backlog; later ones get no answer.
        for (asio::ip::tcp::socket &socket : m_queued) {
            socket.open(asio::ip::tcp::v4());
            socket.non_blocking(true);
            const asio::ip::tcp::endpoint address = m_acceptor.local_endpoint();
            static_cast<void>(::connect(socket.native_handle(), address.data(),
                                        static_cast<socklen_t>(address.size())));
        }
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor{m_loop};
    std::array<asio::ip::tcp::socket, 3> m_queued{asio::ip::tcp::socket{m_loop},
                                                  asio::ip::tcp::socket{m_loop},
                                                  asio::ip::tcp::socket{m_loop}};
};

} // namespace bulrush::test
