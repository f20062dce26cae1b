#pragma once

#include "entryfleet/checkedfleet.h"
#include "entryfleet/payingcallers.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bulrush::test {

/**
 * Six daemons in two domains, and servers that crash when they run a request with `bad` in its path
 * and are restarted a second later. `/order/` may run once and is divided by key.
 */
struct RefusalFleet : CheckedFleet
{
    using Clock = std::chrono::steady_clock;

    RefusalFleet()
        : CheckedFleet({"a1", "a2", "a3", "b1", "b2", "b3"})
    {
        addRoute("/order/", "unsafe", "catalogue");
        writeConfig();
        for (const std::string &id : owners)
            startCrashingServer(id, "catalogue");
        for (const std::string &id : payees)
            startCrashingServer(id, "payments");
        startDaemons();
        waitUntilServing();
    }

    void startCrashingServer(const std::string &id, const std::string &service)
    {
        ServerSpec server;
        server.id = id;
        server.service = service;
        server.domain = (id.back() - '0') % 2 == 1 ? "a" : "b";
        server.isKeyed = service == "catalogue";
        server.serviceMs = 20;
        server.startedAtMs = 1'764'720'000'000;
        server.crashOn = "bad";
        startServer(server);
    }

    /** Lets \a span pass and restarts each server that has been down for the restart delay. */
    void runFor(std::chrono::milliseconds span)
    {
        const auto end = Clock::now() + span;
        while (Clock::now() < end) {
            restartCrashedServers();
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    }

    /** Loses the paths of the daemons of \a cut, and of no others, to all servers. */
    void cutFromServers(const std::vector<std::string> &cut,
                        Partition kind = Partition::AllConnections)
    {
        m_cut = cut;
        m_cutKind = kind;
        for (const std::string &id : allServers()) {
            if (server(id).isRunning())
                partition(id, m_cut, m_cutKind);
        }
    }

    /** Stops the daemon of \a host by SIGTERM, waits for its end, and starts it again. */
    void stopAndStart(const std::string &host)
    {
        daemon(host).terminate();
        startDaemon(host);
    }

    void killAndStart(const std::string &host)
    {
        daemon(host).kill();
        runFor(std::chrono::milliseconds{300});
        startDaemon(host);
    }

    /** Suspends the daemon of \a host for \a span. */
    void freeze(const std::string &host, std::chrono::milliseconds span)
    {
        daemon(host).stop();
        runFor(span);
        daemon(host).resume();
    }

    std::vector<std::string> allServers() const
    {
        std::vector<std::string> all = owners;
        all.insert(all.end(), payees.begin(), payees.end());
        return all;
    }

    /** \returns the sum of the metric \a name over the running daemons. */
    std::int64_t sumOf(const std::string &name)
    {
        std::int64_t sum = 0;
        for (const std::string &host : hosts)
            sum += counter(host, name);
        return sum;
    }

    const std::vector<std::string> hosts{"a1", "a2", "a3", "b1", "b2", "b3"};
    const std::vector<std::string> owners{"c1", "c2", "c3", "c4"};
    const std::vector<std::string> payees{"p1", "p2", "p3", "p4"};
    int crashCount = 0;

private:
    static constexpr std::chrono::seconds restartDelay{1};

    void restartCrashedServers()
    {
        const auto now = Clock::now();
        for (const std::string &id : allServers()) {
            if (server(id).isRunning())
                continue;
            if (m_downSince.try_emplace(id, now).second)
                ++crashCount;
            if (now - m_downSince.at(id) < restartDelay)
                continue;
            restartServer(id);
            m_downSince.erase(id);
            if (!m_cut.empty())
                partition(id, m_cut, m_cutKind);
        }
    }

    std::vector<std::string> m_cut;
    Partition m_cutKind = Partition::AllConnections;
    std::map<std::string, Clock::time_point> m_downSince;
};

} // namespace bulrush::test
