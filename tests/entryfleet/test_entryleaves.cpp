#define BOOST_TEST_MODULE EntryLeaves

#include "entryfleet/domainfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** Default time for which a server may still get requests after it starts draining. */
constexpr auto drainBound = 2s;

struct LeavingFleet : DomainFleet
{
    LeavingFleet()
        : DomainFleet({"a1", "a2", "a3", "a4", "a5", "a6"})
    { }

    /** Sets \a server and the owner of key 0 to draining. */
    void startDraining(const std::string &server)
    {
        owner = ownerOf(hosts.back(), 0);
        writeRecord(server, "draining");
        writeRecord(owner, "draining");
        drainingSince = Clock::now();
    }

    /** Sends requests through all hosts except \a lost until \a span after draining started. */
    void sendUntil(std::chrono::milliseconds span, const std::string &lost)
    {
        for (std::size_t i = 0; Clock::now() < drainingSince + span; ++i) {
            const std::string &host = hosts[i % hosts.size()];
            if (host == lost)
                continue;
            send(host, "GET", "/read/0", 0, {}, 600);
            send(host, "POST", "/pay/x", std::nullopt, "x", 600);
        }
    }

    /**
     * \returns the time from the start of draining to the start of the last request at \a server,
     * in seconds.
     */
    double lastRequestStartAt(const std::string &server)
    {
        using std::chrono::duration;
        const double drainingSinceS = duration<double>(drainingSince.time_since_epoch()).count();
        double last = 0.0;
        for (const RequestRun &run : runs()) {
            if (run.server == server)
                last = std::max(last, static_cast<double>(run.startUs) / 1e6 - drainingSinceS);
        }
        return last;
    }

    /** Checks that no request started at \a server or the owner of key 0 after drainBound. */
    void requireNoLateRequests(const std::string &server)
    {
        const double latest = std::chrono::duration<double>(drainBound).count();
        BOOST_TEST(lastRequestStartAt(server) <= latest);
        BOOST_TEST(lastRequestStartAt(owner) <= latest);
    }

    std::string owner;
    Clock::time_point drainingSince;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(drainingServerGetsNoLateRequestsIfTheReaderLosesTheStoreAndFreezes,
                        LeavingFleet)
{
    const std::string cut = reader();
    // The reader receives an answer of the store right before it is cut off.
    writeConfig({"/added/"});
    std::this_thread::sleep_for(50ms);
    setStoreFault(cut, "silent");
    startDraining("p1");
    sendUntil(1300ms, cut);
    daemon(cut).stop();
    sendUntil(4500ms, cut);
    requireNoLateRequests("p1");
    daemon(cut).resume();
}

BOOST_FIXTURE_TEST_CASE(drainingServerGetsNoLateRequestsIfAFeedAnswerIsLost, LeavingFleet)
{
    const std::string readerHost = reader();
    // After a change the reader sends a new feed request. The answer to that request is lost.
    writeRecord("p2", "ready");
    std::this_thread::sleep_for(500ms);
    loseFeedAnswer(readerHost, "servers");
    writeRecord("p2", "ready");
    std::this_thread::sleep_for(500ms);
    startDraining("p1");
    sendUntil(8s, "");
    requireNoLateRequests("p1");
}

BOOST_FIXTURE_TEST_CASE(callersAreServedFromKnownStateWhileTheStoreIsSilent, LeavingFleet)
{
    // Daemons must continue to serve from known state that cannot be refreshed.
    setStoreFault("*", "silent");
    const auto cutAt = Clock::now();
    int failures = 0;
    int all = 0;
    while (Clock::now() < cutAt + 5s) {
        for (const std::string &host : hosts) {
            failures += send(host, "POST", "/pay/x", std::nullopt, "x", 1000).status == 200 ? 0 : 1;
            ++all;
        }
    }
    BOOST_TEST(failures == 0, failures << " of " << all << " were not served");
    setStoreFault("*", "ok");
}
