#include "admission/memoryholder.h"

#include <utility>

namespace bulrush {

MemoryHolder::MemoryHolder(std::shared_ptr<MemoryAccount> account, MemoryUse use)
    : m_account(std::move(account))
    , m_use(use)
{ }

MemoryHolder::MemoryHolder(MemoryHolder &&other) noexcept
    : m_account(std::move(other.m_account))
    , m_use(other.m_use)
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

MemoryHolder &MemoryHolder::operator=(MemoryHolder &&other) noexcept
{
    std::swap(m_account, other.m_account);
    std::swap(m_use, other.m_use);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

MemoryHolder::~MemoryHolder()
{
    if (m_account)
        m_account->giveBack(m_bytes);
}

bool MemoryHolder::growTo(std::uint64_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_account && !m_account->take(m_use, m_bytes, bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace bulrush
