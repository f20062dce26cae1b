#pragma once

#include "process/clock.h"

#include <cstdint>
#include <string_view>

namespace bulrush {

/**
 * Exponential backoff with jitter: each pause is twice as long as the previous one, up to a
 * maximum, and shortened by up to a quarter, so that daemons that fail at the same moment do not
 * all retry at the same moment.
 *
 * Not thread safe. Instants never decrease.
 */
class RetryBackoff
{
public:
    /** Seeds the jitter with \a name, which differs between daemons. */
    RetryBackoff(Duration first, Duration max, std::string_view name);

    /** Records a failure. \returns when the next attempt is due. */
    Instant failed(Instant now);

    /** Records a success: the next failure starts with the first pause again. */
    void succeeded();

    /** \returns whether an attempt is due. */
    bool isOver(Instant now) const;

private:
    Duration m_first;
    Duration m_max;
    Duration m_next;
    /** State of the random generator. */
    std::uint64_t m_state;
    Instant m_until;
};

inline bool RetryBackoff::isOver(Instant now) const
{
    return now >= m_until;
}

} // namespace bulrush
