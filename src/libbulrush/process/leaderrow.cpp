#include "process/leaderrow.h"

#include <algorithm>

namespace bulrush {

bool namesCandidate(const LeaderRow &row, const Incarnation &incarnation)
{
    return std::ranges::any_of(row.candidates, [&](const LeaderCandidate &candidate) {
        return candidate.incarnation == incarnation;
    });
}

bool isRecreated(const VersionedLeaderRow &row)
{
    return row.version > 1 && row.row.epoch == 1 && row.row.renewal == 0;
}

std::uint64_t epochAfter(const VersionedLeaderRow &row)
{
    // Each epoch started with a separate write, so no epoch can exceed the version.
    return isRecreated(row) ? row.version + 1 : row.row.epoch + 1;
}

LeaderRow releasedByOperator(LeaderRow row, const Incarnation &writer, const LeaderWriteId &writeId)
{
    row.isReleased = true;
    row.leaseLength += row.promiseLength;
    row.candidates.clear();
    row.successor = Incarnation();
    row.writer = writer;
    row.writeId = writeId;
    return row;
}

} // namespace bulrush
