#include "admission/limitedowners.h"

#include <utility>

namespace bulrush {

void LimitedOwners::Update::add(OwnerLimitChange change)
{
    if (changes.size() < maxChanges)
        changes.push_back(std::move(change));
    else
        ++omittedCount;
}

LimitedOwners::Update LimitedOwners::update(const ServiceName &service,
                                            std::span<const ServerName> limited, Instant now)
{
    Update result;
    auto &periods = m_periods[service];
    for (const ServerName &owner : limited) {
        const auto [period, isNew] = periods.try_emplace(owner, Period{now, now});
        period->second.lastLimited = now;
        if (isNew)
            result.add({service, owner, true, {}});
    }
    std::erase_if(periods, [&](const auto &entry) {
        const auto &[owner, period] = entry;
        if (now - period.lastLimited < holdTime)
            return false;
        result.add({service, owner, false, period.lastLimited - period.since});
        return true;
    });
    return result;
}

void LimitedOwners::clear()
{
    m_periods.clear();
}

} // namespace bulrush
