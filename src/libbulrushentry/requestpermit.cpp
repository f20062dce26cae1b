#include "requestpermit.h"

#include "process/permitissuer.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Queries of a daemon for permits are this far apart, at most, while they are refused. */
constexpr Duration maxPermitPause = std::chrono::seconds{10};

} // namespace

void RequestPermit::grant(const ServerName &server, Instant validFrom)
{
    m_server = server;
    m_validFrom = validFrom;
}

void RequestPermit::reset()
{
    m_server = {};
}

bool RequestPermit::allows(const ServerName &server, Instant now) const
{
    return !m_server.isEmpty() && m_server == server && now >= m_validFrom
        && now < m_validFrom + validity;
}

std::optional<Instant> RequestPermit::validUntil(const ServerName &server) const
{
    if (m_server.isEmpty() || m_server != server)
        return std::nullopt;
    return m_validFrom + validity;
}

Duration permitPause(const KnownLimit &limit, std::size_t daemonCount)
{
    const double rate = std::max(PermitIssuer::minRate, limit.perSecond);
    const std::chrono::duration<double> pause{static_cast<double>(daemonCount) / rate};
    return std::min(maxPermitPause, std::chrono::duration_cast<Duration>(pause));
}

} // namespace bulrush
