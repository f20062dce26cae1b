#pragma once

#include "process/timerservice.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace bulrush::io {

/**
 * Drives a TimerService with an Asio event loop and the host clock.
 *
 * All methods must be called on the loop's thread. The callbacks run on that thread, too.
 */
class LoopTimers
{
public:
    explicit LoopTimers(asio::io_context &loop);

    LoopTimers(const LoopTimers &) = delete;
    LoopTimers &operator=(const LoopTimers &) = delete;

    /**
     * Calls \a callback once, \a delay from now. \returns an id to pass to cancel().
     */
    TimerService::SubscriptionId after(Duration delay, TimerService::Callback callback);

    /**
     * Calls \a callback every \a period until this object is destroyed. The first call is after one
     * period.
     */
    void every(Duration period, TimerService::Callback callback);

    /**
     * Cancels a subscription made by after().
     */
    void cancel(TimerService::SubscriptionId id);

private:
    void arm();

    TimerService m_service;
    asio::steady_timer m_timer;
};

} // namespace bulrush::io
