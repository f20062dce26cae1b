#pragma once

#include "entryfleet/checkedfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bulrush::test {

/** Time after a partition from which its callers are to be served. */
inline constexpr std::chrono::seconds stabilityPeriod{3};

/** First attempts at a daemon. */
struct FirstAttempts
{
    int sent = 0;
    int served = 0;
};

/** Six daemons in two domains that can be partitioned from servers. Not thread safe. */
struct PartitionedFleet : CheckedFleet
{
    PartitionedFleet()
        : CheckedFleet({"a1", "a2", "a3", "b1", "b2", "b3"})
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }

    /** Partitions the daemons of \a partitioned from all servers. */
    void partitionFromServers(const std::set<std::string> &partitioned,
                              Partition kind = Partition::AllConnections)
    {
        for (const std::string server : {"c1", "c2", "c3", "c4", "p1", "p2"})
            partition(server, {partitioned.begin(), partitioned.end()}, kind);
    }

    /** Sends about 40 reads and payments a second to each host for \a span, by several callers. */
    std::map<std::string, FirstAttempts> sendFor(std::chrono::milliseconds span)
    {
        std::vector<std::pair<std::string, FirstAttempts>> results;
        for (const std::string &host : hosts)
            results.insert(results.end(), callersPerHost, {host, {}});
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < results.size(); ++i) {
            callers.emplace_back([this, span, i, &result = results[i]] {
                result.second = sendTo(result.first, span, static_cast<int>(i));
            });
        }
        for (std::thread &caller : callers)
            caller.join();
        std::map<std::string, FirstAttempts> sums;
        for (const auto &[host, result] : results) {
            sums[host].sent += result.sent;
            sums[host].served += result.served;
        }
        return sums;
    }

    /**
     * Checks that the daemons of \a partitioned serve first attempts at least two thirds as often
     * as the others, or that no more than 10 and 1 in 50 of all first attempts fail there.
     */
    void expectServedAlike(const std::set<std::string> &partitioned,
                           const std::map<std::string, FirstAttempts> &results) const
    {
        FirstAttempts within;
        FirstAttempts others;
        for (const auto &[host, result] : results) {
            FirstAttempts &sum = partitioned.contains(host) ? within : others;
            sum.sent += result.sent;
            sum.served += result.served;
        }
        BOOST_TEST_MESSAGE("partitioned: served " << within.served << " of " << within.sent
                                                  << ", others: " << others.served << " of "
                                                  << others.sent);
        BOOST_TEST(others.served * 10 >= others.sent * 9);
        const bool isServedAlike =
            within.served * others.sent * 3 >= others.served * within.sent * 2;
        const bool isRarelyFailing =
            within.sent - within.served <= 10 + (within.sent + others.sent) / 50;
        BOOST_TEST((isServedAlike || isRarelyFailing));
    }

    /** Checks that no payment ran twice, and that none ran whose caller was told that it did not.
     */
    void expectHonestOutcomes()
    {
        std::set<std::string> ran;
        for (const RequestRun &run : runs()) {
            if (run.key >= 0)
                continue; // reads may be repeated
            BOOST_TEST(ran.insert(run.request).second, run.request << " ran twice");
            BOOST_TEST(!m_refusedPayments.contains(run.request),
                       run.request << " was refused and ran");
        }
        BOOST_TEST(!ran.empty());
    }

    const std::vector<std::string> hosts{"a1", "a2", "a3", "b1", "b2", "b3"};

private:
    static constexpr std::size_t callersPerHost = 12;
    static constexpr std::chrono::milliseconds sendInterval{300};
    static constexpr int deadlineMs = 1500;
    static constexpr int notRunStatus = 503;
    /** Spreads successive requests evenly over all keys. */
    static constexpr int keyStep = 40'503;
    static constexpr int keyCount = 65'536;

    FirstAttempts sendTo(const std::string &host, std::chrono::milliseconds span, int caller)
    {
        SyncHttpClient client;
        FirstAttempts result;
        const auto end = std::chrono::steady_clock::now() + span;
        std::this_thread::sleep_for(sendInterval * caller / (hosts.size() * callersPerHost));
        for (int i = caller; std::chrono::steady_clock::now() < end; ++i) {
            const int key = static_cast<int>(std::int64_t{i} * keyStep % keyCount);
            const bool isRead = i % 2 == 0;
            const SyncHttpRequest request = isRead
                ? makeRequest(host, "GET", "/read/" + std::to_string(key), key, "", deadlineMs)
                : makeRequest(host, "POST", "/pay/x", std::nullopt, "x", deadlineMs);
            const SyncHttpResult answer = client.send(request);
            recordAnswer(request, answer);
            const int status = answer.status;
            ++result.sent;
            result.served += status == 200 ? 1 : 0;
            if (!isRead && status == notRunStatus)
                recordRefusedPayment(request);
            std::this_thread::sleep_for(sendInterval);
        }
        return result;
    }

    void recordRefusedPayment(const SyncHttpRequest &request)
    {
        const std::scoped_lock lock{m_mutex};
        for (const SyncHttpHeader &header : request.headers) {
            if (header.name == "X-Bulrushswitch-Request-Id")
                m_refusedPayments.insert(header.value);
        }
    }

    std::mutex m_mutex;
    /** The ids of payments whose callers were told that they did not run. */
    std::set<std::string> m_refusedPayments;
};

} // namespace bulrush::test
