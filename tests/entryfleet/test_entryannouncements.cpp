#define BOOST_TEST_MODULE EntryAnnouncements

#include "entryfleet/noticefleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

struct AnnouncingFleet : NoticeFleet
{
    /** Makes \a server announce that it leaves, and sends requests for \a span. */
    FirstAttempts sendWhileLeaving(const std::string &server, std::chrono::milliseconds span)
    {
        announceLeaving(server);
        m_announcedAt = Clock::now();
        return sumOf(sendFor(span));
    }

    /** Checks that no daemon sends to \a server longer than allowed after it was told. */
    void expectNoRequestsAfterDrainBound(const std::string &server)
    {
        BOOST_TEST(toldDaemonCount(server) > 0);
        BOOST_TEST(lateArrivalCount(server) == 0);
    }

private:
    std::vector<RequestArrival> announcedArrivals(const std::string &server,
                                                  const std::string &from = {})
    {
        std::vector<RequestArrival> all;
        for (RequestArrival &arrival : arrivals(server)) {
            if (arrival.at >= arrivalTime(m_announcedAt) && (from.empty() || arrival.from == from))
                all.push_back(std::move(arrival));
        }
        return all;
    }

    std::set<std::string> toldDaemons(const std::string &server)
    {
        std::set<std::string> daemons;
        for (const RequestArrival &arrival : announcedArrivals(server))
            daemons.insert(arrival.from);
        return daemons;
    }

    std::size_t toldDaemonCount(const std::string &server)
    {
        return toldDaemons(server).size();
    }

    std::ptrdiff_t lateArrivalCount(const std::string &server)
    {
        std::ptrdiff_t count = 0;
        for (const std::string &daemon : toldDaemons(server)) {
            const std::vector<RequestArrival> arrived = announcedArrivals(server, daemon);
            count += std::ranges::count_if(arrived, [&](const RequestArrival &arrival) {
                return arrival.at > arrived.front().at + drainBound;
            });
        }
        return count;
    }

    Clock::time_point m_announcedAt;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(serverWithoutKeysGetsNoRequestsAfterItsAnnouncement, AnnouncingFleet)
{
    const FirstAttempts results = sendWhileLeaving("p1", 5s);
    BOOST_TEST_MESSAGE("served " << results.served << " of " << results.sent);
    expectNoRequestsAfterDrainBound("p1");
    BOOST_TEST(results.served * 100 >= results.sent * 99);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(keysOfAnOwnerMoveAfterItsAnnouncement, AnnouncingFleet)
{
    const std::string owner = busiestOwner();
    const FirstAttempts results = sendWhileLeaving(owner, 6s);
    BOOST_TEST_MESSAGE("served " << results.served << " of " << results.sent);
    expectNoRequestsAfterDrainBound(owner);
    BOOST_TEST(results.served * 100 >= results.sent * 99);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(announcementBindsWhileTheStoreIsDown, AnnouncingFleet)
{
    const std::string owner = busiestOwner();
    setStoreFault("*", "busy");
    sendWhileLeaving(owner, 4s);
    expectNoRequestsAfterDrainBound(owner);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(allServersOfAServiceMayAnnounceThatTheyLeave, AnnouncingFleet)
{
    announceLeaving("p2");
    sendWhileLeaving("p1", 4s);
    expectNoRequestsAfterDrainBound("p1");
    expectNoRequestsAfterDrainBound("p2");
    const auto before = Clock::now();
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "x").status == 503);
    BOOST_TEST((Clock::now() - before < 1s));
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(serverThatLeavesMayAlsoAskForAPause, AnnouncingFleet)
{
    const std::string owner = busiestOwner();
    askForBackoff(owner, "1");
    const FirstAttempts results = sendWhileLeaving(owner, 6s);
    BOOST_TEST_MESSAGE("served " << results.served << " of " << results.sent);
    expectNoRequestsAfterDrainBound(owner);
    BOOST_TEST(mostDuringPause(owner, 1s) <= allowedDuringPause);
    BOOST_TEST(results.served * 10 >= results.sent * 9);
}
