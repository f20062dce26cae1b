#pragma once

#include "process/clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bulrush {

class TableFollower;

/**
 * The followers of one daemon. A wait for changes that got lost shows only once it takes too long,
 * which is soon for one table and late for another: whoever notices has the others ask anew.
 *
 * Used on the control thread.
 */
class FollowerGroup
{
public:
    /** Told whenever rows may have changed, or are known anew, or are no longer served. */
    using PublishedHandler = std::function<void()>;

    /** Sets who is told. */
    void setPublishedHandler(PublishedHandler handler);

    /** Adds \a follower, which outlives all calls of this object. */
    void add(TableFollower &follower);

    /** Tells that one of them may serve other rows than before. */
    void published() const;

    /** Has all but \a witness, whose call got no answer, ask the store anew. */
    void storeSilent(const TableFollower &witness);

    /** Tells all that the store was at \a version, which all tables share, at \a givenAt. */
    void noteStoreVersion(std::uint64_t version, Instant givenAt);

    /** \returns whether one of them asks the store if what it knows still holds. */
    bool isConfirming(Instant now) const;

    /** \returns whether all of them have somebody who tells them of rows. */
    bool isServing() const;

private:
    std::vector<TableFollower *> m_followers;
    PublishedHandler m_published;
};

} // namespace bulrush
