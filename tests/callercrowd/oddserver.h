#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bulrush::test {

/**
 * A backend server that reads the head of a request and answers with raw bytes. Each connection has
 * a thread. All methods are thread safe.
 */
class OddServer
{
public:
    /** Takes a piece of the answer; false once the caller has closed. */
    using Send = std::function<bool(std::string_view bytes)>;
    /** Writes the answer to the request with the head \a head; the connection closes after it. */
    using Behaviour = std::function<void(const std::string &head, const Send &send)>;

    /** Listens on \a ip and a free port. Throws std::runtime_error if that fails. */
    OddServer(const std::string &ip, Behaviour behaviour);

    /** Ends all connections. */
    ~OddServer();

    OddServer(const OddServer &) = delete;
    OddServer &operator=(const OddServer &) = delete;

    /** \returns `IP:PORT`. */
    const std::string &address() const;

private:
    void accept();
    void serve(int socket);

    Behaviour m_behaviour;
    std::string m_address;
    int m_listener = -1;
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

inline const std::string &OddServer::address() const
{
    return m_address;
}

} // namespace bulrush::test
