#include "process/stewardrow.h"

#include <algorithm>

namespace bulrush {

bool namesCandidate(const StewardRow &row, const Incarnation &incarnation)
{
    return std::ranges::any_of(row.candidates, [&](const StewardCandidate &candidate) {
        return candidate.incarnation == incarnation;
    });
}

bool isRecreated(const VersionedStewardRow &row)
{
    return row.version > 1 && row.row.epoch == 1 && row.row.renewal == 0;
}

std::uint64_t epochAfter(const VersionedStewardRow &row)
{
    // Each epoch started with a separate write, so no epoch can exceed the version.
    return isRecreated(row) ? row.version + 1 : row.row.epoch + 1;
}

StewardRow releasedByOperator(StewardRow row, const Incarnation &writer,
                              const StewardWriteId &writeId)
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
