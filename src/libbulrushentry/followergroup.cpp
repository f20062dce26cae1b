#include "followergroup.h"

#include "tablefollower.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void FollowerGroup::add(TableFollower &follower)
{
    m_followers.push_back(&follower);
}

void FollowerGroup::setPublishedHandler(PublishedHandler handler)
{
    m_published = std::move(handler);
}

void FollowerGroup::published() const
{
    if (m_published)
        m_published();
}

void FollowerGroup::storeSilent(const TableFollower &witness)
{
    for (TableFollower *follower : m_followers) {
        if (follower != &witness)
            follower->askAnew();
    }
}

void FollowerGroup::noteStoreVersion(std::uint64_t version, Instant givenAt)
{
    for (TableFollower *follower : m_followers)
        follower->noteStoreVersion(version, givenAt);
}

bool FollowerGroup::isConfirming(Instant now) const
{
    return std::ranges::any_of(
        m_followers, [now](const TableFollower *follower) { return follower->isConfirming(now); });
}

bool FollowerGroup::isServing() const
{
    return std::ranges::none_of(m_followers, &TableFollower::isCutOff);
}

} // namespace bulrush
