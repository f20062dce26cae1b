#include "serverstatusregistry.h"

namespace bulrush {

void ServerStatusRegistry::setStatus(const ServerName &server, const ServerStatus &status)
{
    const std::scoped_lock lock{m_mutex};
    m_statuses[server] = status;
}

ServerStatus ServerStatusRegistry::status(const ServerName &server) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_statuses.find(server);
    return found == m_statuses.end() ? ServerStatus{} : found->second;
}

} // namespace bulrush
