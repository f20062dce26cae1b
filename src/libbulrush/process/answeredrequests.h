#pragma once

#include "process/clock.h"
#include "request/requestfingerprint.h"

#include <cstddef>
#include <set>

namespace bulrush {

/**
 * Which requests servers have answered lately, as a popular one that was under way at servers that
 * fell is not to blame. Holds a bounded number, whatever callers send: the oldest go first.
 *
 * Not thread safe. Instants never go back.
 */
class AnsweredRequests
{
public:
    /** An answer is remembered for this time at least, and twice as long at most. */
    static constexpr Duration memory = std::chrono::seconds{15};
    /** Who has seen answers for this time knows what is popular. */
    static constexpr Duration enough = std::chrono::seconds{10};
    /** Requests that are remembered, at most, are twice as many. */
    static constexpr std::size_t mostOfAGeneration = 4096;

    /** \a start is from when on answers are noted. */
    explicit AnsweredRequests(Instant start);

    /** Notes that a server has answered \a request. */
    void note(const RequestFingerprint &request, Instant now);

    /** \returns whether a server has answered \a request lately. */
    bool contains(const RequestFingerprint &request, Instant now) const;

    /** \returns whether answers were noted for long enough that a popular request is known. */
    bool isPopularityKnown(Instant now) const;

private:
    std::set<RequestFingerprint> m_current;
    std::set<RequestFingerprint> m_previous;
    Instant m_start;
    Instant m_currentSince;
};

} // namespace bulrush
