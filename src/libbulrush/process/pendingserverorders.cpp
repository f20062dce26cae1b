#include "process/pendingserverorders.h"

namespace bulrush {

PendingServerOrders::PendingServerOrders(Duration retryDelay)
    : m_retryDelay(retryDelay)
{ }

OrderId PendingServerOrders::add(ServerOrderKind kind, const Incarnation &through,
                                 const SliceOwner &slice)
{
    const auto [place, isNew] = m_currentStep.try_emplace({kind, slice.server}, m_lastOrder + 1);
    const OrderId id = place->second;
    if (isNew) {
        m_lastOrder = id;
        m_pending.emplace(id, PendingOrder{{id, kind, slice.server, through, {}}, {}});
    }
    m_pending.at(id).order.slices.push_back(slice);
    return id;
}

const ServerOrder *PendingServerOrders::find(OrderId order) const
{
    const auto found = m_pending.find(order);
    return found == m_pending.end() ? nullptr : &found->second.order;
}

void PendingServerOrders::close(OrderId order)
{
    m_pending.erase(order);
}

void PendingServerOrders::keepOnly(const std::set<OrderId> &needed)
{
    std::erase_if(m_pending,
                  [&needed](const auto &entry) { return !needed.contains(entry.first); });
}

std::vector<ServerOrder> PendingServerOrders::takeDue(Instant now)
{
    m_currentStep.clear();
    std::vector<ServerOrder> due;
    for (auto &[id, open] : m_pending) {
        if (open.sendAt > now)
            continue;
        open.sendAt = now + m_retryDelay;
        due.push_back(open.order);
    }
    return due;
}

} // namespace bulrush
