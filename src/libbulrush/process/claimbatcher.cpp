#include "process/claimbatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bulrush {

namespace {

bool hasKey(const std::vector<KeyedClaimWrite> &writes, const std::string &key)
{
    return std::ranges::find(writes, key, &KeyedClaimWrite::key) != writes.end();
}

} // namespace

ClaimBatcher::ClaimBatcher(ClaimBatchLimits limits)
    : m_limits(limits)
{ }

ClaimBatchActions ClaimBatcher::add(KeyedClaimWrite write, Instant now)
{
    ClaimBatchActions actions;
    if (m_waiting.size() >= m_limits.waitingLimit) {
        actions.emplace_back(ClaimWriteResult{write.id, ClaimWriteNotSent{}});
        return actions;
    }
    if (m_waiting.empty())
        m_oldestAt = now;
    m_waiting.push_back(std::move(write));
    sendDue(now, actions);
    return actions;
}

ClaimBatchActions ClaimBatcher::advance(Instant now)
{
    ClaimBatchActions actions;
    sendDue(now, actions);
    return actions;
}

ClaimBatchActions ClaimBatcher::committed(ClaimBatchId id, std::span<const std::uint64_t> versions,
                                          Instant now)
{
    ClaimBatchActions actions;
    const Writes writes = takeBatch(id);
    for (std::size_t i = 0; i < writes.size(); ++i) {
        // If the answer does not cover a write, the result of that write is unknown.
        if (i < versions.size())
            actions.emplace_back(ClaimWriteResult{writes[i].id, ClaimWriteCommitted{versions[i]}});
        else
            actions.emplace_back(ClaimWriteResult{writes[i].id, ClaimWriteLost{}});
    }
    sendDue(now, actions);
    return actions;
}

ClaimBatchActions ClaimBatcher::conflicted(ClaimBatchId id,
                                           std::span<const ClaimConflict> conflicts, Instant now)
{
    ClaimBatchActions actions;
    Writes rest;
    Writes writes = takeBatch(id);
    const std::size_t count = writes.size();
    for (KeyedClaimWrite &write : writes) {
        const auto conflict = std::ranges::find(conflicts, write.key, &ClaimConflict::key);
        if (conflict == conflicts.end())
            rest.push_back(std::move(write));
        else
            actions.emplace_back(
                ClaimWriteResult{write.id, ClaimWriteConflicted{conflict->current}});
    }
    const bool hasConflict = rest.size() < count;
    resend(std::move(rest), hasConflict, actions);
    sendDue(now, actions);
    return actions;
}

ClaimBatchActions ClaimBatcher::notSent(ClaimBatchId id, Instant now)
{
    return completeBatch(id, ClaimWriteNotSent{}, now);
}

ClaimBatchActions ClaimBatcher::lost(ClaimBatchId id, Instant now)
{
    return completeBatch(id, ClaimWriteLost{}, now);
}

std::optional<Instant> ClaimBatcher::nextDue() const
{
    if (m_waiting.empty() || m_inFlight.size() >= m_limits.openBatchLimit)
        return std::nullopt;
    return m_oldestAt + m_limits.window;
}

ClaimBatcher::Writes ClaimBatcher::takeBatch(ClaimBatchId id)
{
    auto node = m_inFlight.extract(id);
    return node.empty() ? Writes{} : std::move(node.mapped());
}

bool ClaimBatcher::isKeyInFlight(const std::string &key) const
{
    return std::ranges::any_of(m_inFlight,
                               [&](const auto &batch) { return hasKey(batch.second, key); });
}

/** Writes to one key can neither share a transaction nor be in flight concurrently. */
ClaimBatcher::Writes ClaimBatcher::nextWrites()
{
    Writes batch;
    Writes later;
    for (KeyedClaimWrite &write : m_waiting) {
        const bool fits = batch.size() < m_limits.batchLimit && !hasKey(batch, write.key)
            && !isKeyInFlight(write.key);
        (fits ? batch : later).push_back(std::move(write));
    }
    m_waiting = std::move(later);
    return batch;
}

void ClaimBatcher::sendDue(Instant now, ClaimBatchActions &actions)
{
    while (!m_waiting.empty() && m_inFlight.size() < m_limits.openBatchLimit) {
        const bool isFull = m_waiting.size() >= m_limits.batchLimit;
        if (!isFull && now < m_oldestAt + m_limits.window)
            return;
        Writes writes = nextWrites();
        m_oldestAt = now;
        if (writes.empty())
            return;
        send(std::move(writes), actions);
    }
}

void ClaimBatcher::send(Writes writes, ClaimBatchActions &actions)
{
    const ClaimBatchId id = m_nextId++;
    m_inFlight.emplace(id, writes);
    actions.emplace_back(SendClaimBatch{id, std::move(writes)});
}

ClaimBatchActions ClaimBatcher::completeBatch(ClaimBatchId id, const ClaimEvent &event, Instant now)
{
    ClaimBatchActions actions;
    for (const KeyedClaimWrite &write : takeBatch(id))
        actions.emplace_back(ClaimWriteResult{write.id, event});
    sendDue(now, actions);
    return actions;
}

/** If a conflict names none of the rows, it is isolated by bisecting the batch. */
void ClaimBatcher::resend(Writes writes, bool hasConflict, ClaimBatchActions &actions)
{
    if (writes.empty())
        return;
    if (hasConflict) {
        send(std::move(writes), actions);
        return;
    }
    if (writes.size() == 1) {
        actions.emplace_back(ClaimWriteResult{writes.front().id, ClaimWriteLost{}});
        return;
    }
    const auto middle = writes.begin() + static_cast<std::ptrdiff_t>(writes.size() / 2);
    send(Writes(std::make_move_iterator(middle), std::make_move_iterator(writes.end())), actions);
    writes.erase(middle, writes.end());
    send(std::move(writes), actions);
}

} // namespace bulrush
