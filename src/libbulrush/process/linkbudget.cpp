#include "process/linkbudget.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr double bytesPerMegabit = 1e6 / 8;

} // namespace

LinkBudget::LinkBudget(double megabitsPerSecond)
    : m_bytesPerSecond(megabitsPerSecond * bytesPerMegabit * linkShare)
{ }

bool LinkBudget::tryReserve(std::size_t bytes, Instant now)
{
    const std::chrono::duration<double> seconds{static_cast<double>(bytes) / m_bytesPerSecond};
    const Instant startAt = std::max(now, m_busyUntil);
    const Instant endAt = startAt + std::chrono::duration_cast<Duration>(seconds);
    if (bytes > shortAnswerSize && startAt > now && endAt - now > maxBacklog)
        return false;
    m_busyUntil = endAt;
    return true;
}

} // namespace bulrush
