#pragma once

#include "entryfleet/checkedfleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/**
 * Three daemons in two failure domains, and servers that crash when they run a request with `bad`
 * in its path. restartCrashedServers() restarts them two seconds later. `/find/` is idempotent and
 * not divided by key.
 */
struct CrashFleet : CheckedFleet
{
    using Clock = std::chrono::steady_clock;

    static constexpr std::chrono::seconds restartDelay{2};
    /** Within this time, all daemons receive the crash reports of all others. */
    static constexpr std::chrono::seconds window{3};
    /** Maximum number of crashes after the window of a request that has crashed three servers. */
    static constexpr std::size_t maxLateCrashes = 3;

    explicit CrashFleet(int runMs = 20)
        : CheckedFleet({"a1", "a2", "b1"})
        , serviceMs(runMs)
    {
        writeConfig({"/find/"});
        for (const std::string id : {"c1", "c2", "c3", "c4"})
            startCrashingServer(id, "catalogue");
        for (const std::string id : {"p1", "p2", "p3", "p4", "p5", "p6"})
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
        server.serviceMs = serviceMs;
        server.startedAtMs = 1'764'720'000'000;
        server.crashOn = "bad";
        startServer(server);
        servers.push_back(id);
    }

    /** Records new crashes, and restarts each server whose restart delay is over. */
    void restartCrashedServers()
    {
        const auto now = Clock::now();
        for (const std::string &id : servers) {
            if (server(id).isRunning())
                continue;
            if (downSince.try_emplace(id, now).second)
                crashes.push_back(now);
            if (now - downSince.at(id) < restartDelay)
                continue;
            restartServer(id);
            downSince.erase(id);
        }
    }

    void restartCrashedServersFor(std::chrono::milliseconds span)
    {
        const auto end = Clock::now() + span;
        while (Clock::now() < end) {
            restartCrashedServers();
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    }

    /** Sends `/find/bad` to each host in turn until all block it, for at most half a minute. */
    bool blockFindRequest()
    {
        const auto end = Clock::now() + std::chrono::seconds{30};
        for (std::size_t i = 0; Clock::now() < end && !isBlockedOnAllHosts(); ++i) {
            send(hosts[i % hosts.size()], "GET", "/find/bad");
            restartCrashedServersFor(std::chrono::milliseconds{300});
        }
        return isBlockedOnAllHosts();
    }

    bool isBlockedOnAllHosts()
    {
        return std::ranges::all_of(hosts, [this](const std::string &host) {
            return page(host, "/quarantine").find(" blocked ") != std::string::npos;
        });
    }

    /** \returns the number of crashes later than one window after the third crash. */
    std::size_t lateCrashes() const
    {
        std::size_t count = 0;
        for (const Clock::time_point crash : crashes)
            count += crashes.size() > 3 && crash > crashes[2] + window ? 1 : 0;
        return count;
    }

    std::vector<std::string> hosts{"a1", "a2", "b1"};
    int serviceMs;
    std::vector<std::string> servers;
    std::vector<Clock::time_point> crashes;
    /** Time since when each stopped server has been down. */
    std::map<std::string, Clock::time_point> downSince;
};

} // namespace bulrush::test
