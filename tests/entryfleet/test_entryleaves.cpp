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

/** How long after its word a server may still get requests, where the settings say nothing. */
constexpr auto bound = 2s;

struct LeavingFleet : DomainFleet
{
    LeavingFleet()
        : DomainFleet({"a1", "a2", "a3", "a4", "a5", "a6"})
    { }

    /** Has \a server, and the owner of key 0, tell that they leave. */
    void leave(const std::string &server)
    {
        owner = ownerOf(hosts.back(), 0);
        writeRecord(server, "draining");
        writeRecord(owner, "draining");
        told = Clock::now();
    }

    /** Sends requests through all hosts but \a lost until \a span after the word. */
    void sendUntil(std::chrono::milliseconds span, const std::string &lost)
    {
        for (std::size_t i = 0; Clock::now() < told + span; ++i) {
            const std::string &host = hosts[i % hosts.size()];
            if (host == lost)
                continue;
            send(host, "GET", "/read/0", 0, {}, 600);
            send(host, "POST", "/pay/x", std::nullopt, "x", 600);
        }
    }

    /** \returns how long after the word the last work began at \a server, in seconds. */
    double lastWorkAt(const std::string &server)
    {
        using std::chrono::duration;
        const double toldAt = duration<double>(told.time_since_epoch()).count();
        double last = 0.0;
        for (const EntryRun &run : runs()) {
            if (run.server == server)
                last = std::max(last, static_cast<double>(run.startUs) / 1e6 - toldAt);
        }
        return last;
    }

    /** Checks that no work began at \a server, or the owner of key 0, after the bound. */
    void requireLeftAlone(const std::string &server)
    {
        const double latest = std::chrono::duration<double>(bound).count();
        BOOST_TEST(lastWorkAt(server) <= latest);
        BOOST_TEST(lastWorkAt(owner) <= latest);
    }

    std::string owner;
    Clock::time_point told;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aLeavingServerIsLeftInTimeThoughTheReaderLosesTheStoreAndFreezes,
                        LeavingFleet)
{
    const std::string cut = reader();
    // The reader has an answer of the store right before it is cut off.
    writeConfig({"/added/"});
    std::this_thread::sleep_for(50ms);
    setStoreFault(cut, "silent");
    leave("p1");
    sendUntil(1300ms, cut);
    daemon(cut).stop();
    sendUntil(4500ms, cut);
    requireLeftAlone("p1");
    daemon(cut).resume();
}

BOOST_FIXTURE_TEST_CASE(aLeavingServerIsLeftInTimeThoughTheAnswerToAWaitWasLost, LeavingFleet)
{
    const std::string deaf = reader();
    // After a change the reader waits anew; the answer to that wait is the one that is lost.
    writeRecord("p2", "ready");
    std::this_thread::sleep_for(500ms);
    loseFeedAnswer(deaf, "servers");
    writeRecord("p2", "ready");
    std::this_thread::sleep_for(500ms);
    leave("p1");
    sendUntil(8s, "");
    requireLeftAlone("p1");
}

BOOST_FIXTURE_TEST_CASE(callersAreServedOnWhatIsKnownWhileTheStoreAnswersNobody, LeavingFleet)
{
    // Knowledge that can't be renewed is no reason to serve nobody.
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
