#pragma once

#include "process/clock.h"

#include <cstddef>
#include <functional>
#include <list>
#include <vector>

namespace bulrush::test {

/** The links of hosts: concurrent transfers over a link share it evenly. Not thread safe. */
class SharedLinks
{
public:
    using Callback = std::function<void()>;

    /** Index of a sender whose link has unlimited bandwidth. */
    static constexpr std::size_t unlimitedSender = static_cast<std::size_t>(-1);

    /** Bytes in transfer from one host to another. */
    struct Transfer
    {
        std::size_t from = 0;
        std::size_t to = 0;
        double bytesLeft = 0.0;
        /** \returns whether the receiver still waits for the bytes; if not, they are dropped. */
        std::function<bool()> isWanted;
        Callback arrived;
    };

    /** Adds the link of the next host. */
    void addHost(double bytesPerSecond);

    /** Starts a transfer. \pre both hosts were added */
    void send(Transfer transfer);

    /** \returns whether there are no transfers. */
    bool isIdle() const;

    /** Advances all transfers by \a span. \returns the callbacks of those that have arrived. */
    std::vector<Callback> advance(Duration span);

private:
    std::vector<double> m_bytesPerSecond;
    std::list<Transfer> m_transfers;
};

} // namespace bulrush::test
