#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> held{0};
std::atomic<std::size_t> peak{0};

void countAllocation(void *block)
{
    const std::size_t size = malloc_usable_size(block);
    const std::size_t now = held += size;
    std::size_t highest = peak;
    while (now > highest && !peak.compare_exchange_weak(highest, now)) { }
}

} // namespace

// Replaces the global operators, so that the peak of allocated bytes can be measured.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *block = std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    countAllocation(block);
    return block;
}

[[gnu::noinline]] void operator delete(void *block) noexcept
{
    if (block)
        held -= malloc_usable_size(block);
    std::free(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    operator delete(block);
}

namespace bulrush::bench {

std::size_t heldBytes()
{
    return held;
}

void resetPeak()
{
    peak = held.load();
}

std::size_t peakBytes()
{
    return peak;
}

} // namespace bulrush::bench
