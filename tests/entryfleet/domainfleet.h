#pragma once

#include "entryfleet/checkedfleet.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bulrush::test {

/**
 * The default servers, and daemons of one failure domain, one of which reads the store for all of
 * them.
 */
struct DomainFleet : CheckedFleet
{
    explicit DomainFleet(std::vector<std::string> daemons = {"a1", "a2", "a3"})
        : CheckedFleet(daemons)
        , hosts(std::move(daemons))
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
        // Time for the election of the planner and of the reader.
        std::this_thread::sleep_for(std::chrono::seconds{3});
    }

    /** \returns the number of store calls that each host makes during \a span. */
    std::map<std::string, std::uint64_t> storeCallsDuring(std::chrono::milliseconds span)
    {
        std::map<std::string, std::uint64_t> calls;
        for (const std::string &host : hosts)
            calls[host] = storeCalls(host);
        std::this_thread::sleep_for(span);
        for (const std::string &host : hosts)
            calls[host] = storeCalls(host) - calls[host];
        return calls;
    }

    /** \returns the host that calls the store most often. */
    std::string reader()
    {
        const auto calls = storeCallsDuring(std::chrono::seconds{4});
        return std::ranges::max_element(calls, {}, [](const auto &entry) { return entry.second; })
            ->first;
    }

    /** \returns whether \a host uses the configuration that was written last. */
    bool isConfigInForce(const std::string &host)
    {
        return counter(host, "bulrush_config_version") == configVersion();
    }

    std::vector<std::string> hosts;
};

} // namespace bulrush::test
