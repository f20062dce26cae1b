#include "admission/memoryaccount.h"

#include <algorithm>

namespace bulrush {

MemoryAccount::MemoryAccount(std::uint64_t hostBytes)
    : m_capacity(hostBytes - std::min(hostBytes, std::max(minReserve, hostBytes / reserveDivisor)))
{ }

bool MemoryAccount::take(MemoryUse use, std::uint64_t heldBytes, std::uint64_t moreBytes)
{
    const std::uint64_t limit = limitFor(use, heldBytes + moreBytes);
    std::uint64_t held = m_held;
    do {
        if (moreBytes > limit || held > limit - moreBytes) {
            ++(use == MemoryUse::Request ? m_refusedRequests : m_refusedAnswers);
            return false;
        }
    } while (!m_held.compare_exchange_weak(held, held + moreBytes));
    return true;
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
