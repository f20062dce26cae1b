#define BOOST_TEST_MODULE EntryStoreRestored

#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** Default time within which a new configuration must be in force. */
constexpr auto configBound = 2s;
/** Default time for which a server may still get requests after it starts draining. */
constexpr auto drainBound = 2s;

const std::vector<std::string> hosts{"a1", "a2", "b1"};

/** Three daemons whose store is away for a moment and comes back from an older copy. */
struct RestoredFleet : ServingFleet
{
    RestoredFleet()
    {
        // Time for the election of the planner.
        BOOST_REQUIRE(eventually([&] { return !planner().empty(); }));
        keepStoreCopy();
    }

    /** Writes \a count rows that all daemons read, and that a restore of the copy loses. */
    void writeLostRows(int count)
    {
        for (int i = 0; i < count; ++i)
            writeRecord("p2", "ready");
        std::this_thread::sleep_for(1s);
    }

    /** The store answers nobody for \a span and returns from the copy. */
    void restoreAfter(std::chrono::milliseconds span)
    {
        setStoreFault("*", "silent");
        std::this_thread::sleep_for(span);
        restoreStoreCopy();
        setStoreFault("*", "ok");
    }

    bool isConfigInForce(const std::string &host)
    {
        return counter(host, "bulrush_config_version") == configVersion();
    }

    /** Writes a configuration. \returns the seconds until it is in force at all hosts. */
    double secondsUntilConfigIsInForce()
    {
        writeConfig({"/added/"});
        const auto written = Clock::now();
        for (const std::string &host : hosts)
            BOOST_TEST(eventually([&] { return isConfigInForce(host); }), host);
        return std::chrono::duration<double>(Clock::now() - written).count();
    }

    /**
     * Sends payments through all hosts until \a span after \a server started to drain.
     * \returns the seconds from then to the last payment that \a server began.
     */
    double lastPaymentAt(const std::string &server, Clock::time_point since,
                         std::chrono::milliseconds span)
    {
        for (std::size_t i = 0; Clock::now() < since + span; ++i)
            send(hosts[i % hosts.size()], "POST", "/pay/x", std::nullopt, "x", 600);
        const double sinceS = std::chrono::duration<double>(since.time_since_epoch()).count();
        double last = 0.0;
        for (const RequestRun &run : runs()) {
            if (run.server == server)
                last = std::max(last, static_cast<double>(run.startUs) / 1e6 - sinceS);
        }
        return last;
    }
};

double seconds(std::chrono::duration<double> duration)
{
    return duration.count();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(configIsInForceInTimeAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
}

BOOST_FIXTURE_TEST_CASE(leavingServerGetsNoLateRequestsAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(1500ms);
    writeRecord("p1", "draining");
    BOOST_TEST(lastPaymentAt("p1", Clock::now(), 5s) <= seconds(drainBound));
}

BOOST_FIXTURE_TEST_CASE(keysAreMovedAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(4s);
    const std::string owner = ownerOf("b1", 0);
    writeRecord(owner, "draining");
    BOOST_TEST(eventually([&] {
        const std::string next = ownerOf("b1", 0);
        return !next.empty() && next != owner;
    }));
    BOOST_TEST(firstOverlap() == "");
}
