#pragma once

#include "process/handovermessages.h"

#include <map>
#include <set>
#include <utility>

namespace bulrush {

/**
 * The leader's pending orders to servers. Combines the pieces of one step by order kind and server,
 * and repeats orders that are not confirmed.
 *
 * Not thread safe.
 */
class PendingServerOrders
{
public:
    /** Unconfirmed orders are repeated after \a retryDelay. */
    explicit PendingServerOrders(Duration retryDelay);

    /** Adds \a slice to the order of this step for its server. \returns that order's id. */
    OrderId add(ServerOrderKind kind, const Incarnation &through, const SliceOwner &slice);

    /** \returns whether there are no pending orders. */
    bool isEmpty() const;

    /** \returns the pending order with this id, or null if it was removed or never existed. */
    const ServerOrder *find(OrderId order) const;

    /** Removes an order that was confirmed, refused or is no longer needed. */
    void close(OrderId order);

    /** Removes all orders except \a needed. */
    void keepOnly(const std::set<OrderId> &needed);

    /** Completes the step. \returns the orders to send now: new ones and those due for a retry. */
    std::vector<ServerOrder> takeDue(Instant now);

private:
    struct PendingOrder
    {
        ServerOrder order;
        Instant sendAt;
    };

    Duration m_retryDelay;
    OrderId m_lastOrder = 0;
    std::map<OrderId, PendingOrder> m_pending;
    /** Orders that still collect pieces in the current step. */
    std::map<std::pair<ServerOrderKind, ServerName>, OrderId> m_currentStep;
};

inline bool PendingServerOrders::isEmpty() const
{
    return m_pending.empty();
}

} // namespace bulrush
