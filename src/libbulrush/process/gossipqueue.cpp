#include "process/gossipqueue.h"

#include <algorithm>

namespace bulrush {

void GossipQueue::add(const Subject &subject, unsigned times)
{
    std::erase_if(m_entries, [&](const Entry &entry) { return entry.subject == subject; });
    const Entry added{subject, times};
    m_entries.insert(std::ranges::upper_bound(m_entries, added, isBefore), added);
}

std::vector<GossipQueue::Subject> GossipQueue::first(std::size_t limit) const
{
    std::vector<Subject> result;
    for (const Entry &entry : m_entries) {
        if (result.size() == limit)
            break;
        result.push_back(entry.subject);
    }
    return result;
}

std::vector<GossipQueue::Subject> GossipQueue::take(std::size_t limit)
{
    std::vector<Subject> result = first(limit);
    for (std::size_t taken = 0; taken < result.size(); ++taken)
        --m_entries[taken].left;
    std::erase_if(m_entries, [](const Entry &entry) { return entry.left == 0; });
    std::ranges::stable_sort(m_entries, isBefore);
    return result;
}

bool GossipQueue::isBefore(const Entry &first, const Entry &second)
{
    if (first.subject.index() != second.subject.index())
        return first.subject.index() < second.subject.index();
    return first.left > second.left;
}

} // namespace bulrush
