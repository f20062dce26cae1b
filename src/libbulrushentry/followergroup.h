#pragma once

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
    /** Adds \a follower, which outlives all calls of this object. */
    void add(TableFollower &follower);

    /** Has all but \a witness, whose call got no answer, ask the store anew. */
    void storeSilent(const TableFollower &witness);

    /** \returns whether the store failed the last call of one of them. */
    bool isAnyCutOff() const;

private:
    std::vector<TableFollower *> m_followers;
};

} // namespace bulrush
