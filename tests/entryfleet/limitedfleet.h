#pragma once

#include "entryfleet/checkedfleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

using namespace std::chrono_literals;

/** Time after a server first names its limit from which the limit binds. */
inline constexpr auto noticePeriod = 3s;
inline constexpr auto window = 4s;
inline constexpr int keyCount = 65'536;
/** Spreads successive requests evenly over all keys. */
inline constexpr int evenKeyStep = 40'503;
/** Keeps successive requests near 16 positions for some seconds. */
inline constexpr int clusteredKeyStep = 4099;

/** \returns how many requests a server with \a limit may get in any window. */
inline std::ptrdiff_t allowedInWindow(double limit)
{
    const double seconds = std::chrono::duration<double>(window).count();
    return static_cast<std::ptrdiff_t>(1.5 * limit * seconds + 5.0);
}

inline std::int64_t microseconds(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

/** What became of requests. */
struct Served
{
    int reads = 0;
    int failedReads = 0;
    int payments = 0;
    int failedPayments = 0;
};

/** Six daemons in two domains whose servers can be made to name limits. Not thread safe. */
struct LimitedFleet : CheckedFleet
{
    LimitedFleet()
        : CheckedFleet({"a1", "a2", "a3", "b1", "b2", "b3"})
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }

    /** Sends about 80 requests a second through all hosts for \a span. */
    Served sendFor(std::chrono::milliseconds span)
    {
        Served served;
        const auto end = std::chrono::steady_clock::now() + span;
        for (; std::chrono::steady_clock::now() < end; ++m_sent) {
            const std::string &host = hosts[static_cast<std::size_t>(m_sent) % hosts.size()];
            const int key = m_sent * keyStep % keyCount;
            const bool isRead =
                send(host, "GET", "/read/" + std::to_string(key), key).status == 200;
            const bool isPaid = send(host, "POST", "/pay/x", std::nullopt, "x").status == 200;
            ++served.reads;
            ++served.payments;
            served.failedReads += isRead ? 0 : 1;
            served.failedPayments += isPaid ? 0 : 1;
            std::this_thread::sleep_for(10ms);
        }
        return served;
    }

    /** \returns the most requests that started at \a server in any window from \a from on. */
    std::ptrdiff_t mostInWindow(const std::string &server,
                                std::chrono::steady_clock::time_point from)
    {
        std::vector<std::int64_t> starts;
        for (const RequestRun &run : runs()) {
            if (run.server == server && run.startUs >= microseconds(from))
                starts.push_back(run.startUs);
        }
        std::ranges::sort(starts);
        const std::int64_t length = std::chrono::microseconds{window}.count();
        std::ptrdiff_t most = 0;
        for (auto start = starts.begin(); start != starts.end(); ++start)
            most = std::max(most, std::lower_bound(start, starts.end(), *start + length) - start);
        return most;
    }

    /** \returns the sum of the metric \a name over all daemons. */
    std::int64_t sumOf(const std::string &name)
    {
        std::int64_t sum = 0;
        for (const std::string &host : hosts)
            sum += counter(host, name);
        return sum;
    }

    /** \returns the server that owns most of a sample of the keys. */
    std::string busiestOwner()
    {
        constexpr int sampleSize = 32;
        std::map<std::string, int> owned;
        for (int i = 0; i < sampleSize; ++i)
            ++owned[ownerOf(hosts.front(), i * (keyCount / sampleSize))];
        return std::ranges::max_element(owned, {}, [](const auto &entry) { return entry.second; })
            ->first;
    }

    std::vector<std::string> hosts{"a1", "a2", "a3", "b1", "b2", "b3"};
    /** Distance between the keys of successive requests. */
    int keyStep = evenKeyStep;
    int m_sent = 0;
};

} // namespace bulrush::test
