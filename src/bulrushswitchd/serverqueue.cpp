#include "serverqueue.h"

#include <asio/post.hpp>

#include <utility>

namespace bulrush {

ServerQueue::ServerQueue(ServerManagerLimits limits)
    : m_manager(limits)
{ }

WorkId ServerQueue::submit(const RequestPolicy &policy, bool hasStreamedBody,
                           asio::io_context &loop, Handler handler, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    const WorkId work = ++m_lastWork;
    m_queuedWork.emplace(work, QueuedWork{loop, std::move(handler)});
    perform(m_manager.submit({work, policy, hasStreamedBody}, now));
    return work;
}

void ServerQueue::recordBodySent(WorkId work, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    m_manager.bodySent(work, now);
}

void ServerQueue::complete(WorkId work, WorkResult end, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    perform(m_manager.workEnded(work, end, now));
}

void ServerQueue::cancel(WorkId work)
{
    const std::scoped_lock lock{m_mutex};
    if (m_queuedWork.erase(work) > 0)
        m_manager.cancel(work);
}

void ServerQueue::recordServerAnswer(bool isDraining, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    perform(m_manager.serverAnswered(isDraining, now));
}

void ServerQueue::advance(Instant now)
{
    const std::scoped_lock lock{m_mutex};
    const auto due = m_manager.nextDue();
    if (due && *due <= now)
        perform(m_manager.advance(now));
}

ServerManagerLoad ServerQueue::load() const
{
    const std::scoped_lock lock{m_mutex};
    return m_manager.load(RequestClass::Ordinary);
}

void ServerQueue::perform(const ServerManagerActions &actions)
{
    for (const ServerManagerAction &action : actions) {
        if (const auto *dispatch = std::get_if<DispatchWork>(&action))
            deliverDecision(dispatch->id, DispatchPermit{dispatch->id});
        else if (const auto *refuse = std::get_if<RefuseWork>(&action))
            deliverDecision(refuse->id, *refuse);
    }
}

void ServerQueue::deliverDecision(WorkId work, const QueueDecision &decision)
{
    auto entry = m_queuedWork.extract(work);
    if (entry.empty())
        return;
    QueuedWork &queued = entry.mapped();
    asio::post(queued.loop, [handler = std::move(queued.handler), decision] { handler(decision); });
}

} // namespace bulrush
