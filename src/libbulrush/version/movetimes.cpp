#include "version/movetimes.h"

namespace bulrush {

void MoveTimes::record(const KeyAssignment &assignment, Instant now)
{
    Moves &known = m_moves[assignment.service];
    Moves current;
    for (const OwnedRange &owned : assignment.ranges) {
        if (!owned.isMoving())
            continue;
        const auto found = known.find(owned.moveSequence);
        current.emplace(owned.moveSequence, found == known.end() ? now : found->second);
    }
    known = std::move(current);
}

std::optional<Instant> MoveTimes::movingSince(const KeyAssignment &assignment,
                                              KeyPosition key) const
{
    const OwnedRange *owned = assignment.find(key);
    const auto moves = m_moves.find(assignment.service);
    if (!owned || !owned->isMoving() || moves == m_moves.end())
        return std::nullopt;
    const auto move = moves->second.find(owned->moveSequence);
    return move == moves->second.end() ? std::nullopt : std::optional{move->second};
}

} // namespace bulrush
