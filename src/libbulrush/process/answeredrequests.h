#pragma once

#include "process/clock.h"
#include "request/requestfingerprint.h"

#include <cstddef>
#include <set>

namespace bulrush {

/**
 * Requests that backend servers have answered recently. Popular requests are often in flight at
 * servers that crash for other reasons; a recent answer shows that such a request is not the cause.
 * The number of entries is bounded, whatever callers send; the oldest are removed first.
 *
 * Not thread safe. Instants never decrease.
 */
class AnsweredRequests
{
public:
    /**
     * An answer is stored for at least this time and at most twice as long. Reaching the maximum
     * size removes it earlier.
     */
    static constexpr Duration retention = std::chrono::seconds{15};
    /** After recording for this time, all popular requests are assumed to be present. */
    static constexpr Duration minHistory = std::chrono::seconds{10};
    /** Maximum size of one generation. Two generations are stored. */
    static constexpr std::size_t maxGenerationSize = 4096;

    /** \a start is the instant from which on answers are recorded. */
    explicit AnsweredRequests(Instant start);

    /** Records that a server has answered \a request. */
    void note(const RequestFingerprint &request, Instant now);

    /** \returns whether a server has answered \a request recently. */
    bool contains(const RequestFingerprint &request, Instant now) const;

    /** \returns whether answers were recorded for at least minHistory. */
    bool hasMinHistory(Instant now) const;

private:
    std::set<RequestFingerprint> m_current;
    std::set<RequestFingerprint> m_previous;
    Instant m_start;
    Instant m_currentSince;
};

} // namespace bulrush
