#pragma once

#include "admission/memoryaccount.h"

#include <cstdint>
#include <memory>

namespace bulrush {

/**
 * Bytes that one request or answer holds in an account. They are given back on destruction. Without
 * an account, any number can be held.
 *
 * Not thread safe; different holders may be used on different threads.
 */
class MemoryHolder
{
public:
    MemoryHolder() = default;
    MemoryHolder(std::shared_ptr<MemoryAccount> account, MemoryUse use);
    MemoryHolder(MemoryHolder &&other) noexcept;
    MemoryHolder &operator=(MemoryHolder &&other) noexcept;
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;
    ~MemoryHolder();

    /** Holds at least \a bytes. \returns false if there is no room, and nothing was changed. */
    bool growTo(std::uint64_t bytes);

    /** Sets the transfer for which the bytes are held; without an account, it has no effect. */
    void setTransfer(Transfer transfer);

    /** Records that no transfer needs the bytes any more. */
    void clearTransfer();

    /** Gives the bytes back, and ends the transfer. \pre a transfer is set */
    void evict();

    /** \returns what the bytes are held for. */
    MemoryUse use() const;

    /** \returns the bytes that are held. */
    std::uint64_t bytes() const;

private:
    void release();

    std::shared_ptr<MemoryAccount> m_account;
    MemoryUse m_use = MemoryUse::Request;
    std::uint64_t m_bytes = 0;
};

inline MemoryUse MemoryHolder::use() const
{
    return m_use;
}

inline std::uint64_t MemoryHolder::bytes() const
{
    return m_bytes;
}

} // namespace bulrush
