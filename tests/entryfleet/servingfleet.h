#pragma once

#include "entryfleet/checkedfleet.h"

#include <chrono>
#include <string>

namespace bulrush::test {

/** One daemon in each of two failure domains with the default servers, serving all keys. */
struct PairFleet : CheckedFleet
{
    PairFleet()
        : CheckedFleet({"a1", "b1"})
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }
};

/** Three daemons in two failure domains with the default servers, serving all keys. */
struct ServingFleet : CheckedFleet
{
    ServingFleet()
        : CheckedFleet({"a1", "a2", "b1"})
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }

    bool allReachStore()
    {
        for (const std::string host : {"a1", "a2", "b1"}) {
            if (page(host, "/status").find("store: reached") == std::string::npos)
                return false;
        }
        return true;
    }

    /** Reads keys across the key space for \a span. \returns the number of failed reads. */
    int countFailedReadsFor(std::chrono::milliseconds span, const std::string &host)
    {
        int failures = 0;
        const auto end = std::chrono::steady_clock::now() + span;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
            failures += read(host, i * 4099 % 65'536).status == 200 ? 0 : 1;
        return failures;
    }
};

} // namespace bulrush::test
