#include "admission/ownerpressure.h"

#include "admission/keygate.h"

namespace bulrush {

void OwnerPressure::set(std::span<const KeyShares> shares, Instant now)
{
    m_receivedAt = now;
    m_loads.clear();
    for (const KeyShares &serviceShares : shares) {
        for (const OwnerLoad &load : serviceShares.loads)
            m_loads[{serviceShares.service, load.owner}] = load.load;
    }
}

std::optional<double> OwnerPressure::of(const ServiceName &service, const ServerName &server,
                                        Instant now) const
{
    const auto load = m_loads.find({service, server});
    if (load == m_loads.end() || isExpired(now))
        return std::nullopt;
    return load->second;
}

OwnerPressure::Loads OwnerPressure::loads(Instant now) const
{
    return isExpired(now) ? Loads{} : m_loads;
}

bool OwnerPressure::isExpired(Instant now) const
{
    return now - m_receivedAt > KeyGate::validity;
}

} // namespace bulrush
