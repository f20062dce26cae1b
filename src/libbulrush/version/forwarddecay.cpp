#include "version/forwarddecay.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush {

namespace {

/** Far below the largest double, so that sums of counts remain finite. */
constexpr double maxWeight = 1e100;

/** After this many half-lives without events, earlier counts have decayed to zero. */
constexpr double maxHalfLives = 1000.0;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

ForwardDecay::ForwardDecay(Duration halfLife, Instant start)
    : m_halfLife(halfLife)
    , m_start(start)
    , m_latest(start)
{ }

double ForwardDecay::weightAt(Instant now)
{
    if (now > m_latest) {
        m_latest = now;
        // No rescaling takes place without events, so an unbounded weight would become infinite.
        const double halfLives = seconds(m_latest - m_start) / seconds(m_halfLife);
        m_weight = std::exp2(std::min(halfLives, maxHalfLives));
    }
    return m_weight;
}

double ForwardDecay::rate(double count, Instant now)
{
    return count / weightAt(now) * std::numbers::ln2 / seconds(m_halfLife);
}

double ForwardDecay::count(double rate, Instant now)
{
    return rate * weightAt(now) / std::numbers::ln2 * seconds(m_halfLife);
}

bool ForwardDecay::isRescaleDue() const
{
    return m_weight > maxWeight;
}

double ForwardDecay::rescale()
{
    const double factor = 1.0 / m_weight;
    m_start = m_latest;
    m_weight = 1.0;
    return factor;
}

} // namespace bulrush
