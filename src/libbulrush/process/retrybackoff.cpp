#include "process/retrybackoff.h"

#include <xxhash.h>

#include <algorithm>

namespace bulrush {

namespace {

/** Constants of a 64-bit linear congruential generator (Knuth, MMIX). */
constexpr std::uint64_t multiplier = 6364136223846793005U;
constexpr std::uint64_t increment = 1442695040888963407U;
/** Only the high bits of its state are sufficiently random. */
constexpr unsigned highBitsShift = 33;

/** A pause is shortened by up to this many hundredths. */
constexpr std::uint64_t maxCutPercent = 25;

} // namespace

RetryBackoff::RetryBackoff(Duration first, Duration max, std::string_view name)
    : m_first(first)
    , m_max(max)
    , m_next(first)
    , m_state(XXH3_64bits(name.data(), name.size()))
{ }

Instant RetryBackoff::failed(Instant now)
{
    m_state = m_state * multiplier + increment;
    const auto cut = static_cast<std::int64_t>((m_state >> highBitsShift) % (maxCutPercent + 1));
    m_until = now + m_next - m_next * cut / 100;
    m_next = std::min(2 * m_next, m_max);
    return m_until;
}

void RetryBackoff::succeeded()
{
    m_next = m_first;
    m_until = {};
}

} // namespace bulrush
