#pragma once

#include "process/clock.h"

#include <cstddef>
#include <functional>
#include <list>
#include <vector>

namespace bulrush::test {

/** The links of hosts: all that is on its way over one shares it evenly. Not thread safe. */
class SharedLinks
{
public:
    using Step = std::function<void()>;

    /** In place of a host's index: a sender whose link is wider than all others. */
    static constexpr std::size_t wideSender = static_cast<std::size_t>(-1);

    /** Bytes on their way from one host to another. */
    struct Transfer
    {
        std::size_t from = 0;
        std::size_t to = 0;
        double bytesLeft = 0.0;
        /** Whether the receiver still waits for them; without, they are dropped. */
        std::function<bool()> isWanted;
        Step arrived;
    };

    /** Adds the link of the next host. */
    void addHost(double bytesPerSecond);

    /** Begins a transfer. \pre both hosts were added */
    void send(Transfer transfer);

    /** \returns whether nothing is on its way. */
    bool isIdle() const;

    /** Moves all on for \a span. \returns what is to follow from those that have arrived. */
    std::vector<Step> advance(Duration span);

private:
    std::vector<double> m_bytesPerSecond;
    std::list<Transfer> m_transfers;
};

} // namespace bulrush::test
