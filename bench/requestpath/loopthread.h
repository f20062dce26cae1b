#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <ctime>
#include <thread>

/** An event loop on its own thread, whose processor time can be read. */
class LoopThread
{
public:
    LoopThread()
        : m_work(m_loop.get_executor())
        , m_thread([this] { m_loop.run(); })
    { }

    ~LoopThread()
    {
        stop();
    }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    asio::io_context &loop()
    {
        return m_loop;
    }

    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /** \returns the processor time that the thread has used. */
    std::chrono::nanoseconds processorTime()
    {
        clockid_t clock{};
        timespec used{};
        pthread_getcpuclockid(m_thread.native_handle(), &clock);
        clock_gettime(clock, &used);
        return std::chrono::seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
    }

private:
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};
