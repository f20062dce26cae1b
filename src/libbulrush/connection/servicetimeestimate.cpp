#include "connection/servicetimeestimate.h"

#include <cmath>

namespace bulrush {

namespace {

/** Weight of a new measurement in the running mean and deviation. */
constexpr double gain = 1.0 / 16.0;
constexpr double cautiousDeviations = 5.0;

Duration toDuration(double nanoseconds)
{
    return Duration{static_cast<Duration::rep>(nanoseconds)};
}

} // namespace

ServiceTimeEstimate::ServiceTimeEstimate(Duration first)
    : m_mean(static_cast<double>(first.count()))
    , m_deviation(m_mean / 2)
{ }

void ServiceTimeEstimate::record(Duration measured)
{
    const double error = static_cast<double>(measured.count()) - m_mean;
    m_mean += gain * error;
    m_deviation += gain * (std::abs(error) - m_deviation);
}

Duration ServiceTimeEstimate::mean() const
{
    return toDuration(m_mean);
}

Duration ServiceTimeEstimate::cautious() const
{
    return toDuration(m_mean + cautiousDeviations * m_deviation);
}

} // namespace bulrush
