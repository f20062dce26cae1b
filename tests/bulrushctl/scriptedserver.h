#pragma once

#include "process/endpoint.h"

#include <asio.hpp>

#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bulrush::test {

/**
 * Accepts connections one at a time, reads one request from each, and replies with the next of the
 * given answers.
 */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> answers)
        : m_acceptor(m_loop, {asio::ip::address_v4::loopback(), 0})
        , m_endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()}
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    { }

    ~ScriptedServer()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /** Waits until all answers are sent. \returns the received requests. */
    const std::vector<std::string> &requests()
    {
        m_thread.join();
        return m_requests;
    }

private:
    void serve(const std::vector<std::string> &answers)
    {
        for (const std::string &answer : answers) {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            std::string request(65536, '\0');
            request.resize(socket.read_some(asio::buffer(request)));
            m_requests.push_back(request);
            asio::write(socket, asio::buffer(answer));
        }
        m_acceptor.close();
    }

    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

/** \returns a complete HTTP answer. */
inline std::string answer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace bulrush::test
