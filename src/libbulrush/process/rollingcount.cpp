#include "process/rollingcount.h"

#include <algorithm>

namespace bulrush {

RollingCount::RollingCount(Duration window, Duration slotWidth)
    : m_slotWidth(slotWidth)
    , m_slots(static_cast<std::size_t>(window / slotWidth))
{ }

void RollingCount::add(Instant now, GoodBad counted)
{
    advanceTo(now);
    GoodBad &slot = m_slots[static_cast<std::size_t>(m_current) % m_slots.size()];
    slot.good += counted.good;
    slot.bad += counted.bad;
}

GoodBad RollingCount::sum(Instant now)
{
    advanceTo(now);
    GoodBad result;
    for (const GoodBad &slot : m_slots) {
        result.good += slot.good;
        result.bad += slot.bad;
    }
    return result;
}

void RollingCount::advanceTo(Instant now)
{
    const std::int64_t wanted = now.time_since_epoch() / m_slotWidth;
    const auto slots = static_cast<std::int64_t>(m_slots.size());
    const std::int64_t firstNew = std::max(m_current + 1, wanted - slots + 1);
    for (std::int64_t slot = firstNew; slot <= wanted; ++slot)
        m_slots[static_cast<std::size_t>(slot) % m_slots.size()] = {};
    m_current = std::max(m_current, wanted);
}

} // namespace bulrush
