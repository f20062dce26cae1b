#include "process/timerservice.h"

namespace bulrush {

TimerService::SubscriptionId TimerService::subscribe(Instant due, Callback callback)
{
    const SubscriptionId id = m_nextId++;
    m_pending.emplace(Slot{due, id}, std::move(callback));
    m_dueById.emplace(id, due);
    return id;
}

void TimerService::cancel(SubscriptionId id)
{
    const auto found = m_dueById.find(id);
    if (found == m_dueById.end())
        return;

    m_pending.erase(Slot{found->second, id});
    m_dueById.erase(found);
}

void TimerService::advanceTo(Instant now)
{
    while (!m_pending.empty()) {
        const auto first = m_pending.begin();
        if (first->first.first > now)
            return;

        const Callback callback = std::move(first->second);
        m_dueById.erase(first->first.second);
        m_pending.erase(first);
        callback(now);
    }
}

std::optional<Instant> TimerService::nextDue() const
{
    if (m_pending.empty())
        return std::nullopt;

    return m_pending.begin()->first.first;
}

} // namespace bulrush
