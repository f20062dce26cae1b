#pragma once

#include "process/versioneditem.h"
#include "version/identifier.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace bulrush {

/**
 * Queue of changes to send by gossip. Each is sent a bounded number of times; those that were sent
 * least often come first.
 *
 * Not thread safe.
 */
class GossipQueue
{
public:
    /** A member or an item that has changed. Its current state is looked up when it is sent. */
    using Subject = std::variant<ItemKey, HostName>;

    /**
     * Queues \a subject to be sent \a times; for a queued subject the count starts again.
     */
    void add(const Subject &subject, unsigned times);

    /**
     * \returns up to \a limit subjects, items before members, without counting them as sent.
     */
    std::vector<Subject> first(std::size_t limit) const;

    /**
     * \returns the same as first(), and counts each subject as sent once more.
     */
    std::vector<Subject> take(std::size_t limit);

    bool isEmpty() const;

private:
    struct Entry
    {
        Subject subject;
        unsigned left = 0;
    };

    static bool isBefore(const Entry &first, const Entry &second);

    /** In the order of sending. */
    std::vector<Entry> m_entries;
};

inline bool GossipQueue::isEmpty() const
{
    return m_entries.empty();
}

} // namespace bulrush
