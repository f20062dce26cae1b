#include "admission/transferwatch.h"

#include <utility>

namespace bulrush {

void TransferWatch::add(MemoryHolder *holder, Transfer transfer)
{
    m_watched.insert_or_assign(holder, Watched{holder, std::move(transfer), 0, {}});
}

std::optional<Transfer> TransferWatch::remove(const MemoryHolder *holder)
{
    auto node = m_watched.extract(holder);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped().transfer);
}

void TransferWatch::move(const MemoryHolder *from, MemoryHolder *to)
{
    auto node = m_watched.extract(from);
    if (node.empty())
        return;
    node.key() = to;
    node.mapped().holder = to;
    m_watched.erase(to);
    m_watched.insert(std::move(node));
}

void TransferWatch::update(Instant now)
{
    for (auto &[holder, watched] : m_watched)
        update(watched, now);
}

void TransferWatch::update(Watched &watched, Instant now)
{
    const std::optional<std::uint64_t> moved = watched.transfer.movedBytes();
    const bool hasProgress = !moved || !watched.markedAt || *moved < watched.markedBytes
        || *moved - watched.markedBytes >= minProgress;
    if (hasProgress) {
        watched.markedBytes = moved.value_or(watched.markedBytes);
        watched.markedAt = now;
    }
    watched.isStalled = now - *watched.markedAt >= stallPeriod;
}

MemoryHolder *
TransferWatch::longestStalled(const std::function<bool(const MemoryHolder &)> &accepted) const
{
    const Watched *longest = nullptr;
    for (const auto &[holder, watched] : m_watched) {
        if (!watched.isStalled || !accepted(*holder))
            continue;
        if (!longest || watched.markedAt < longest->markedAt)
            longest = &watched;
    }
    return longest ? longest->holder : nullptr;
}

} // namespace bulrush
