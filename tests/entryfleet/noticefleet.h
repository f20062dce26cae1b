#pragma once

#include "entryfleet/partitionedfleet.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrush::test {

using Clock = std::chrono::steady_clock;

/** \returns \a time on the clock of RequestArrival::at. */
inline std::chrono::microseconds arrivalTime(Clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

/** Six daemons in two domains, whose servers ask for pauses and announce that they leave. */
struct NoticeFleet : PartitionedFleet
{
    /** Time after a refusal within which requests that are on their way may still arrive. */
    static constexpr std::chrono::milliseconds transitPeriod{500};
    /** Requests that may arrive from one daemon between that time and the end of a pause. */
    static constexpr std::ptrdiff_t allowedDuringPause = 2;
    /** After this time, no request may reach a server that announced that it leaves. */
    static constexpr std::chrono::seconds drainBound{2};

    /**
     * \returns the most requests that reached \a server from one daemon during one pause of the
     * length \a asked, from transitPeriod after the refusal on.
     */
    std::ptrdiff_t mostDuringPause(const std::string &server, std::chrono::milliseconds asked)
    {
        std::ptrdiff_t most = 0;
        for (const auto &[from, arrived] : arrivalsByDaemon(server)) {
            for (const RequestArrival &refused : arrived) {
                if (!refused.isRefused)
                    continue;
                const auto count = std::ranges::count_if(arrived, [&](const auto &later) {
                    return later.at > refused.at + transitPeriod && later.at < refused.at + asked;
                });
                most = std::max(most, count);
            }
        }
        return most;
    }

    /** \returns how many daemons were refused by \a server. */
    std::ptrdiff_t refusedDaemonCount(const std::string &server)
    {
        const auto byDaemon = arrivalsByDaemon(server);
        return std::ranges::count_if(byDaemon, [](const auto &entry) {
            return std::ranges::any_of(entry.second, &RequestArrival::isRefused);
        });
    }

    /** \returns how many requests reached \a server from \a from on. */
    std::ptrdiff_t arrivalCountSince(const std::string &server, Clock::time_point from)
    {
        return std::ranges::count_if(arrivals(server), [&](const RequestArrival &arrival) {
            return arrival.at >= arrivalTime(from);
        });
    }

    /** Sends requests for a second. \returns the owner of keys that most of them reached. */
    std::string busiestOwner()
    {
        const auto from = Clock::now();
        sendFor(std::chrono::seconds{1});
        const std::vector<std::string> servers{"c1", "c2", "c3", "c4"};
        return *std::ranges::max_element(servers, {}, [&](const std::string &server) {
            return arrivalCountSince(server, from);
        });
    }

    /** \returns all first attempts at all daemons together. */
    static FirstAttempts sumOf(const std::map<std::string, FirstAttempts> &results)
    {
        FirstAttempts sum;
        for (const auto &[host, result] : results) {
            sum.sent += result.sent;
            sum.served += result.served;
        }
        return sum;
    }

private:
    std::map<std::string, std::vector<RequestArrival>> arrivalsByDaemon(const std::string &server)
    {
        std::map<std::string, std::vector<RequestArrival>> byDaemon;
        for (RequestArrival &arrival : arrivals(server))
            byDaemon[arrival.from].push_back(std::move(arrival));
        return byDaemon;
    }
};

} // namespace bulrush::test
