#include "followergroup.h"

#include "tablefollower.h"

#include <algorithm>

namespace bulrush {

void FollowerGroup::add(TableFollower &follower)
{
    m_followers.push_back(&follower);
}

void FollowerGroup::storeSilent(const TableFollower &witness)
{
    for (TableFollower *follower : m_followers) {
        if (follower != &witness)
            follower->askAnew();
    }
}

bool FollowerGroup::isAnyCutOff() const
{
    return std::ranges::any_of(m_followers, &TableFollower::isCutOff);
}

} // namespace bulrush
