#pragma once

#include "process/clock.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace bulrush {

/**
 * Remembers since when this daemon has known of the moves of keys that are under way. A planned
 * move takes some tenths of a second. One that has lasted for longer waits for a lost server to
 * give up the keys, which takes seconds, so that requests for them need not wait to find that out.
 *
 * Not thread safe. Instants never decrease.
 */
class MoveTimes
{
public:
    /** Records the moves in the latest \a assignment of its service; others have ended. */
    void record(const KeyAssignment &assignment, Instant now);

    /**
     * \returns since when the keys around \a key are known to move by \a assignment; nothing if
     * they do not move, or record() was not called for the assignment.
     */
    std::optional<Instant> movingSince(const KeyAssignment &assignment, KeyPosition key) const;

private:
    using Moves = std::map<std::uint64_t, Instant>;

    /** By service, and by the sequence of the assignment that began the move. */
    std::map<ServiceName, Moves> m_moves;
};

} // namespace bulrush
