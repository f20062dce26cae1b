#include "process/looptimers.h"

#include "process/hostclock.h"

namespace bulrush::io {

LoopTimers::LoopTimers(asio::io_context &loop)
    : m_timer(loop)
{ }

TimerService::SubscriptionId LoopTimers::after(Duration delay, TimerService::Callback callback)
{
    const auto id = m_service.subscribe(hostNow() + delay, std::move(callback));
    arm();
    return id;
}

void LoopTimers::every(Duration period, TimerService::Callback callback)
{
    after(period, [this, period, callback = std::move(callback)](Instant now) {
        callback(now);
        every(period, callback);
    });
}

void LoopTimers::cancel(TimerService::SubscriptionId id)
{
    m_service.cancel(id);
}

void LoopTimers::arm()
{
    const auto due = m_service.nextDue();
    if (!due)
        return;

    m_timer.expires_after(*due - hostNow());
    m_timer.async_wait([this](const std::error_code &error) {
        if (error)
            return;
        m_service.advanceTo(hostNow());
        arm();
    });
}

} // namespace bulrush::io
