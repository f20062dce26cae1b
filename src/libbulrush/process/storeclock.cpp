#include "process/storeclock.h"

#include <algorithm>
#include <utility>

namespace bulrush {

Instant StoreClock::givenAt(Instant sentAt, Instant receivedAt, Duration storeTime,
                            std::uint64_t era)
{
    if (std::exchange(m_era, era) != era)
        m_best.reset();
    const Bound own{sentAt.time_since_epoch() - storeTime - resolution, sentAt};
    if (!m_best)
        m_best = own;
    const Duration age = receivedAt - m_best->learnedAt;
    const Duration offset = m_best->offset - (stretched(age, defaultDriftPpm) - age);
    const Instant given{storeTime + offset};
    // An answer cannot arrive before it was given, so the store now uses a different clock.
    const bool isDifferentClock = given > receivedAt;
    if (isDifferentClock || own.offset >= offset) {
        m_best = own;
        return sentAt;
    }
    return std::max(sentAt, given);
}

} // namespace bulrush
