#pragma once

#include "entryfleet/entryfleet.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/**
 * Callers on threads of their own that send requests that may run once to all daemons of a fleet,
 * and record all answers in its ledger: payments (`/pay/`), and orders for keys (`/order/`, a route
 * that the fleet adds). Daemons and servers may be ended and restarted meanwhile.
 */
class PayingCallers
{
public:
    /** Answers by what they say. */
    struct Outcomes
    {
        int sent = 0;
        int served = 0;
        int refused = 0;
    };

    /** \a fleet must outlive the callers, and all daemons of \a hosts must have been started. */
    PayingCallers(EntryFleet &fleet, const std::vector<std::string> &hosts);

    /** Stops the callers. */
    ~PayingCallers();

    PayingCallers(const PayingCallers &) = delete;
    PayingCallers &operator=(const PayingCallers &) = delete;

    /**
     * Makes the path of a part of the requests contain `bad` and a new number, the same for all, so
     * that they crash servers until they are blocked. Thread safe.
     */
    void poison();

    /** Stops the callers and waits for their last answers. \returns what they got. */
    Outcomes stop();

private:
    void call(const std::string &address, std::size_t caller);
    SyncHttpRequest makeRequest(const std::string &address, std::size_t caller, int number) const;
    void count(int status);

    EntryFleet &m_fleet;
    std::atomic<bool> m_isStopped{false};
    /** Number of the requests that crash servers; 0 if there are none. */
    std::atomic<int> m_poison{0};
    std::mutex m_mutex;
    Outcomes m_outcomes;
    std::vector<std::thread> m_threads;
};

} // namespace bulrush::test
