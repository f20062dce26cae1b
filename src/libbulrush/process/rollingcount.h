#pragma once

#include "process/clock.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/**
 * Numbers of requests that met their contract's target, and of those that did not.
 */
struct GoodBad
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    bool operator==(const GoodBad &) const = default;
};

/**
 * Counts over a window that ends now, in a ring of slots that are reused. The period that is
 * counted differs from the window by at most one slot.
 *
 * Not thread safe.
 */
class RollingCount
{
public:
    /**
     * \pre \a window is a multiple of \a slotWidth, which is positive.
     */
    RollingCount(Duration window, Duration slotWidth);

    /**
     * Adds \a counted at \a now, which is never earlier than in the previous call.
     */
    void add(Instant now, GoodBad counted);

    /**
     * \returns the sum over the window that ends at \a now, which is never earlier than in the
     * previous call.
     */
    GoodBad sum(Instant now);

private:
    void advanceTo(Instant now);

    Duration m_slotWidth;
    std::vector<GoodBad> m_slots;
    std::int64_t m_current = 0;
};

} // namespace bulrush
