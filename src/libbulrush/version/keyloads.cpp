#include "version/keyloads.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush {

namespace {

/** Lower bound that keeps rates finite right after the start. */
constexpr double minCountedSeconds = 0.3;

} // namespace

KeyLoads::KeyLoads(Duration halfLife, Instant start)
    : m_halfLife(halfLife)
    , m_start(start)
    , m_decay(halfLife, start)
    , m_counts(keyPositionCount, 0.0)
{ }

void KeyLoads::add(KeyPosition place, Instant now, double weight)
{
    m_counts[place] += weight * m_decay.weightAt(now);
    if (!m_decay.isRescaleDue())
        return;
    const double factor = m_decay.rescale();
    for (double &count : m_counts)
        count *= factor;
}

void KeyLoads::add(KeyLoads &other, Instant now)
{
    const double factor = m_decay.weightAt(now) / other.m_decay.weightAt(now);
    for (std::size_t i = 0; i < m_counts.size(); ++i)
        m_counts[i] += factor * other.m_counts[i];
}

std::vector<double> KeyLoads::counts(Instant now)
{
    const double perCount = 1.0 / m_decay.weightAt(now);
    std::vector<double> result = m_counts;
    for (double &count : result)
        count *= perCount;
    return result;
}

std::vector<double> KeyLoads::rates(Instant now)
{
    const double perCount = 1.0 / (m_decay.weightAt(now) * countedSeconds(now));
    std::vector<double> result = m_counts;
    for (double &count : result)
        count *= perCount;
    return result;
}

double KeyLoads::countedSeconds(Instant now) const
{
    // The integral of the weights since the start, which converges to halfLife / ln 2.
    const double halfLife = std::chrono::duration<double>(m_halfLife).count();
    const double elapsed = std::chrono::duration<double>(now - m_start).count();
    const double counted = halfLife / std::numbers::ln2 * (1.0 - std::exp2(-elapsed / halfLife));
    return std::max(minCountedSeconds, counted);
}

RateSums::RateSums(std::span<const double> rates)
    : m_prefixSums(keyPositionCount + 1, 0.0)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        sum += rates[i];
        m_prefixSums[i + 1] = sum;
    }
}

double RateSums::of(const KeyRange &range) const
{
    return m_prefixSums[range.last + 1] - m_prefixSums[range.first];
}

} // namespace bulrush
