#include "followergroup.h"

#include "tablefollower.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void FollowerGroup::add(TableFollower &follower)
{
    m_followers.push_back(&follower);
}

void FollowerGroup::setChangeHandler(ChangeHandler handler)
{
    m_changeHandler = std::move(handler);
}

void FollowerGroup::notifyChanged() const
{
    if (m_changeHandler)
        m_changeHandler();
}

void FollowerGroup::handleStoreTimeout(const TableFollower &reporter)
{
    for (TableFollower *follower : m_followers) {
        if (follower != &reporter)
            follower->rereadFromStore();
    }
}

void FollowerGroup::applyStoreVersion(const StoreVersion &version, Instant givenAt)
{
    for (TableFollower *follower : m_followers)
        follower->applyStoreVersion(version, givenAt);
}

bool FollowerGroup::isConfirming(Instant now) const
{
    return std::ranges::any_of(
        m_followers, [now](const TableFollower *follower) { return follower->isConfirming(now); });
}

bool FollowerGroup::isServing() const
{
    return std::ranges::none_of(m_followers, &TableFollower::isFailing);
}

} // namespace bulrush
