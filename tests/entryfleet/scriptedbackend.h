#pragma once

#include "httpclient/scriptedserver.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <string>
#include <thread>
#include <utility>

namespace bulrush::test {

/** A ScriptedServer on its own thread, for tests that block on other processes. */
class ScriptedBackend
{
public:
    /** \a script runs on the thread of this object. */
    explicit ScriptedBackend(ScriptedServer::Script script)
        : m_server(m_loop, std::move(script))
        , m_address(m_server.url(""))
        , m_thread([this] { m_loop.run(); })
    { }

    ~ScriptedBackend()
    {
        m_loop.stop();
        m_thread.join();
    }

    ScriptedBackend(const ScriptedBackend &) = delete;
    ScriptedBackend &operator=(const ScriptedBackend &) = delete;

    /** \returns `IP:PORT`. */
    std::string address() const
    {
        return m_address.substr(std::string{"http://"}.size());
    }

    /** Refuses connections from now on; those that are open stay so. */
    void refuseConnections()
    {
        std::promise<void> isDone;
        asio::post(m_loop, [this, &isDone] {
            m_server.close();
            isDone.set_value();
        });
        isDone.get_future().wait();
    }

private:
    asio::io_context m_loop{1};
    ScriptedServer m_server;
    std::string m_address;
    std::thread m_thread;
};

} // namespace bulrush::test
