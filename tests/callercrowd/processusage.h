#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <thread>

namespace bulrush::test {

/** \returns the anonymous memory of the process \a pid in bytes; 0 if it does not run. */
std::uint64_t anonymousMemory(pid_t pid);

/** \returns the number of descriptors that the process \a pid has open. */
std::size_t openDescriptors(pid_t pid);

/** Samples the memory of a process until destroyed. */
class MemoryPeak
{
public:
    explicit MemoryPeak(pid_t pid);
    ~MemoryPeak();

    MemoryPeak(const MemoryPeak &) = delete;
    MemoryPeak &operator=(const MemoryPeak &) = delete;

    /** \returns the largest anonymous memory so far, in bytes. Thread safe. */
    std::uint64_t bytes() const;

private:
    std::atomic<std::uint64_t> m_bytes{0};
    std::atomic<bool> m_isOver{false};
    std::thread m_sampler;
};

inline std::uint64_t MemoryPeak::bytes() const
{
    return m_bytes;
}

} // namespace bulrush::test
