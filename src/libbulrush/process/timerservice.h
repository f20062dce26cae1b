#pragma once

#include "process/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace bulrush {

/**
 * Timers of the components of a process. Components subscribe, and the owner advances the time: an
 * event loop in a daemon, or a test with a virtual clock.
 *
 * Not thread safe; each thread has its own instance. Callbacks may subscribe and cancel.
 */
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;
    using SubscriptionId = std::uint64_t;

    /**
     * Calls \a callback once, at the first advance to \a due or later.
     * \returns an id for cancel(). Ids are never reused.
     */
    SubscriptionId subscribe(Instant due, Callback callback);

    /** Removes a subscription. An id that is unknown or has already fired is ignored. */
    void cancel(SubscriptionId id);

    /**
     * Calls the callbacks of all subscriptions due up to \a now, earliest first, and in the order
     * of subscription if equal. \pre \a now is not earlier than in the previous call
     */
    void advanceTo(Instant now);

    /** \returns the due time of the earliest subscription, or nothing. */
    std::optional<Instant> nextDue() const;

private:
    using Slot = std::pair<Instant, SubscriptionId>;

    std::map<Slot, Callback> m_pending;
    std::map<SubscriptionId, Instant> m_dueById;
    SubscriptionId m_nextId = 1;
};

} // namespace bulrush
