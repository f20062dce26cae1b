#define BOOST_TEST_MODULE EntryCrashes

#include "entryfleet/crashfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

using namespace bulrush::test;
using namespace std::chrono_literals;

// What users saw: a request ended each backend server that began to run it, came again at any of
// the entry hosts, and was sent to server after server: eight in a row, where after the third it is
// to reach three more at most, from all hosts together. Each arrival was a first attempt, with an
// id of its own, and what one daemon had seen of a server's end was known to nobody else. Where the
// request was idempotent the daemon itself sent it on to a second server at once.
//
// Evidence: all servers that fell had lost connections with the same request under way, by method,
// path, caller and body, seen by eight of twelve hosts; it was never answered; the next server fell
// 0.1 s after the next arrival that found one.

namespace {

using Arrivals = std::function<void(const std::string &host)>;

/** Has \a send bring the request to each host in turn for \a span, while servers come back. */
void bringFor(CrashFleet &fleet, std::chrono::milliseconds span, const Arrivals &send)
{
    const auto end = CrashFleet::Clock::now() + span;
    for (std::size_t i = 0; CrashFleet::Clock::now() < end; ++i) {
        send(fleet.hosts[i % fleet.hosts.size()]);
        fleet.lookAfterServersFor(300ms);
    }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(aReadThatCrashesServersIsKeptFromThem, CrashFleet)
{
    bringFor(*this, 15s, [this](const std::string &host) { send(host, "GET", "/find/bad"); });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(laterCrashes() <= mostLater, laterCrashes() << " of " << crashes.size());
    lookAfterServersFor(restartAfter);
    for (const std::string &host : hosts)
        BOOST_TEST(send(host, "GET", "/find/good").status == 200);
}

BOOST_FIXTURE_TEST_CASE(aWriteThatCrashesServersIsKeptFromThem, CrashFleet)
{
    bringFor(*this, 15s, [this](const std::string &host) {
        send(host, "POST", "/pay/bad", std::nullopt, "amount=1");
    });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(laterCrashes() <= mostLater, laterCrashes() << " of " << crashes.size());
    lookAfterServersFor(restartAfter);
    // The same path with another body is another request.
    for (const std::string &host : hosts)
        BOOST_TEST(send(host, "POST", "/pay/good", std::nullopt, "amount=1").status == 200);
}

BOOST_FIXTURE_TEST_CASE(aReadThatCrashesOwnersOfItsKeyIsKeptFromThem, CrashFleet)
{
    // The key has an owner again only some seconds after each crash.
    bringFor(*this, 40s, [this](const std::string &host) { send(host, "GET", "/read/bad", 0); });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(laterCrashes() <= mostLater, laterCrashes() << " of " << crashes.size());
}
