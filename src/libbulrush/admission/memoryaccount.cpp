#include "admission/memoryaccount.h"

#include "admission/memoryholder.h"

#include <algorithm>

namespace bulrush {

MemoryAccount::MemoryAccount(std::uint64_t hostBytes)
    : m_capacity(hostBytes - std::min(hostBytes, std::max(minReserve, hostBytes / reserveDivisor)))
{ }

bool MemoryAccount::take(const MemoryHolder &holder, std::uint64_t moreBytes)
{
    const std::uint64_t limit = limitFor(holder.use(), holder.bytes() + moreBytes);
    if (!hasRoom(limit, moreBytes))
        makeRoom(holder, limit, moreBytes);
    if (!hasRoom(limit, moreBytes)) {
        ++(holder.use() == MemoryUse::Request ? m_refusedRequests : m_refusedAnswers);
        return false;
    }
    m_held += moreBytes;
    return true;
}

bool MemoryAccount::hasRoom(std::uint64_t limit, std::uint64_t bytes) const
{
    return bytes <= limit && m_held <= limit - bytes;
}

/** Evicts stalled holders until \a bytes have room for \a taker, or none is left. */
void MemoryAccount::makeRoom(const MemoryHolder &taker, std::uint64_t limit, std::uint64_t bytes)
{
    const auto longestStalled = [&](MemoryUse use) {
        return m_transfers.longestStalled([&](const MemoryHolder &holder) {
            return holder.use() == use && holder.bytes() > 0 && &holder != &taker;
        });
    };
    while (!hasRoom(limit, bytes)) {
        MemoryHolder *holder = longestStalled(MemoryUse::Request);
        if (!holder && taker.use() == MemoryUse::Answer)
            holder = longestStalled(MemoryUse::Answer);
        if (!holder)
            return;
        ++m_evictionCount;
        holder->evict();
    }
}

void MemoryAccount::updateTransfers(Instant now)
{
    if (m_held >= m_capacity / watchDivisor)
        m_transfers.update(now);
}

void MemoryAccount::giveBack(std::uint64_t bytes)
{
    m_held -= bytes;
}

/** \returns up to which sum a holder of \a bytes may take them. */
std::uint64_t MemoryAccount::limitFor(MemoryUse use, std::uint64_t bytes) const
{
    const std::uint64_t kept = (bytes > smallHolder ? smallShare : 0)
        + (use == MemoryUse::Request && bytes > smallHolder ? answerShare : 0);
    return m_capacity - std::min(m_capacity, kept);
}

} // namespace bulrush
