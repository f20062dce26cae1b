#include "sharedlinks.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrush::test {

void SharedLinks::addHost(double bytesPerSecond)
{
    m_bytesPerSecond.push_back(bytesPerSecond);
}

void SharedLinks::send(Transfer transfer)
{
    m_transfers.push_back(std::move(transfer));
}

bool SharedLinks::isIdle() const
{
    return m_transfers.empty();
}

std::vector<SharedLinks::Callback> SharedLinks::advance(Duration span)
{
    std::erase_if(m_transfers, [](const Transfer &moving) { return !moving.isWanted(); });
    std::map<std::size_t, double> sending;
    std::map<std::size_t, double> receiving;
    for (const Transfer &moving : m_transfers) {
        ++sending[moving.from];
        ++receiving[moving.to];
    }
    const double seconds = std::chrono::duration<double>(span).count();
    std::vector<Callback> arrived;
    for (Transfer &moving : m_transfers) {
        double rate = m_bytesPerSecond[moving.to] / receiving[moving.to];
        if (moving.from != unlimitedSender)
            rate = std::min(rate, m_bytesPerSecond[moving.from] / sending[moving.from]);
        moving.bytesLeft -= rate * seconds;
        if (moving.bytesLeft <= 0.0)
            arrived.push_back(moving.arrived);
    }
    std::erase_if(m_transfers, [](const Transfer &moving) { return moving.bytesLeft <= 0.0; });
    return arrived;
}

} // namespace bulrush::test
