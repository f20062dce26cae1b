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
{
    if (m_account)
        m_account->transfers().move(&other, this);
}

MemoryHolder &MemoryHolder::operator=(MemoryHolder &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_account = std::move(other.m_account);
    m_use = other.m_use;
    m_bytes = std::exchange(other.m_bytes, 0);
    if (m_account)
        m_account->transfers().move(&other, this);
    return *this;
}

MemoryHolder::~MemoryHolder()
{
    release();
}

void MemoryHolder::release()
{
    clearTransfer();
    if (m_account)
        m_account->giveBack(std::exchange(m_bytes, 0));
}

void MemoryHolder::setTransfer(Transfer transfer)
{
    if (m_account)
        m_account->transfers().add(this, std::move(transfer));
}

void MemoryHolder::clearTransfer()
{
    if (m_account)
        m_account->transfers().remove(this);
}

void MemoryHolder::evict()
{
    const std::optional<Transfer> transfer = m_account->transfers().remove(this);
    m_account->giveBack(std::exchange(m_bytes, 0));
    transfer->end();
}

bool MemoryHolder::growTo(std::uint64_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_account && !m_account->take(*this, bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace bulrush
