#pragma once

#include "entryfleet/entryfleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::test {

/**
 * Three daemons in two failure domains, and servers that end as they have run a request with `bad`
 * in its path. Who looks after them starts them again two seconds later. `/find/` is idempotent and
 * not divided by key.
 */
struct CrashFleet : EntryFleet
{
    using Clock = std::chrono::steady_clock;

    static constexpr std::chrono::seconds restartAfter{2};
    /** All daemons know by then what each has seen. */
    static constexpr std::chrono::seconds window{3};
    /** How often a request that has crashed three servers may reach one after the window. */
    static constexpr std::size_t mostLater = 3;

    explicit CrashFleet(int runMs = 20)
        : EntryFleet({"a1", "a2", "b1"})
        , serviceMs(runMs)
    {
        writeConfig({"/find/"});
        for (const std::string id : {"c1", "c2", "c3", "c4"})
            start(id, "catalogue");
        for (const std::string id : {"p1", "p2", "p3", "p4", "p5", "p6"})
            start(id, "payments");
        startDaemons();
        awaitServing();
    }

    void start(const std::string &id, const std::string &service)
    {
        EntryServer server;
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

    /** Starts servers again whose time has come, and notes which have ended. */
    void lookAfterServers()
    {
        const auto now = Clock::now();
        for (const std::string &id : servers) {
            if (server(id).isRunning())
                continue;
            if (down.try_emplace(id, now).second)
                crashes.push_back(now);
            if (now - down.at(id) < restartAfter)
                continue;
            restartServer(id);
            down.erase(id);
        }
    }

    void lookAfterServersFor(std::chrono::milliseconds span)
    {
        const auto end = Clock::now() + span;
        while (Clock::now() < end) {
            lookAfterServers();
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    }

    /** Brings `/find/bad` to each host in turn until it is blocked at all, or half a minute. */
    bool blockFind()
    {
        const auto end = Clock::now() + std::chrono::seconds{30};
        for (std::size_t i = 0; Clock::now() < end && !isBlockedAtAll(); ++i) {
            send(hosts[i % hosts.size()], "GET", "/find/bad");
            lookAfterServersFor(std::chrono::milliseconds{300});
        }
        return isBlockedAtAll();
    }

    bool isBlockedAtAll()
    {
        return std::ranges::all_of(hosts, [this](const std::string &host) {
            return page(host, "/quarantine").find(" blocked ") != std::string::npos;
        });
    }

    /** \returns how many servers ended later than the window after the third did. */
    std::size_t laterCrashes() const
    {
        std::size_t later = 0;
        for (const Clock::time_point crash : crashes)
            later += crashes.size() > 3 && crash > crashes[2] + window ? 1 : 0;
        return later;
    }

    std::vector<std::string> hosts{"a1", "a2", "b1"};
    int serviceMs;
    std::vector<std::string> servers;
    std::vector<Clock::time_point> crashes;
    /** Since when servers are down. */
    std::map<std::string, Clock::time_point> down;
};

} // namespace bulrush::test
