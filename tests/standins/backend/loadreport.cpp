#include "backend/loadreport.h"

#include <cmath>

namespace bulrush::standins {

LoadReport::LoadReport(std::chrono::milliseconds lag, double factor)
    : m_lag(lag)
    , m_factor(factor)
    , m_samples{Sample{TimePoint::min(), Load{}}}
{ }

void LoadReport::record(const Load &load, TimePoint now)
{
    m_samples.push_back(Sample{now, load});
    dropSamplesBefore(now - m_lag);
}

Json::Value LoadReport::toJson(TimePoint now)
{
    dropSamplesBefore(now - m_lag);
    const Load &load = m_samples.front().load;

    Json::Value body;
    body["running"] = scaled(load.running);
    body["queued"] = scaled(load.queued);
    body["cold"] = load.isCold;
    body["draining"] = load.isDraining;
    body["ageMs"] = Json::Int64{m_lag.count()};
    return body;
}

void LoadReport::dropSamplesBefore(TimePoint asOf)
{
    while (m_samples.size() > 1 && m_samples[1].validFrom <= asOf)
        m_samples.pop_front();
}

Json::Value LoadReport::scaled(std::uint64_t count) const
{
    return Json::UInt64(std::llround(static_cast<double>(count) * m_factor));
}

} // namespace bulrush::standins
