#pragma once

#include "process/clock.h"
#include "process/storeversion.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bulrush {

class TableFollower;

/**
 * The followers of one daemon. A lost wait for changes is detected only when it times out, and the
 * timeouts differ between tables: the first follower to detect it makes the others retry.
 *
 * Used on the control thread.
 */
class FollowerGroup
{
public:
    /** Called when rows may have changed, were confirmed, or are no longer served. */
    using ChangeHandler = std::function<void()>;

    void setChangeHandler(ChangeHandler handler);

    /** Adds \a follower, which outlives all calls of this object. */
    void add(TableFollower &follower);

    /** Calls the change handler: a follower may serve different rows than before. */
    void notifyChanged() const;

    /** Makes all followers but \a reporter, whose call got no answer, read from the store again. */
    void handleStoreTimeout(const TableFollower &reporter);

    /** Relays to all followers that the store was at \a version of all tables at \a givenAt. */
    void applyStoreVersion(const StoreVersion &version, Instant givenAt);

    /** \returns whether a follower is waiting for the store to confirm its rows. */
    bool isConfirming(Instant now) const;

    /** \returns whether every follower has a working source of rows. */
    bool isServing() const;

private:
    std::vector<TableFollower *> m_followers;
    ChangeHandler m_changeHandler;
};

} // namespace bulrush
