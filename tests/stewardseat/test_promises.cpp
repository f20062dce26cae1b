#define BOOST_TEST_MODULE Promises

#include "process/promisesgiven.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const std::vector<LeaderCandidate> candidates = {{Incarnation("a2"), DomainName("a"), "a2:1"}};

} // namespace

BOOST_AUTO_TEST_CASE(answerToARoundBeforeTheReleaseIsIgnored)
{
    PromisesReceived received(0);
    received.startRound(1, 10s, Instant(1s));
    received.recordPromise(Incarnation("a2"), 1);
    BOOST_TEST((received.coveredUntil(candidates) == Instant(11s - 1ns)));
    received.dropPromises();
    received.recordPromise(Incarnation("a2"), 1);
    BOOST_TEST((received.coveredUntil(candidates) == Instant::min()));
}

BOOST_AUTO_TEST_CASE(resignationRemainsAfterTheRelease)
{
    PromisesReceived received(0);
    received.recordResignation(Incarnation("a2"));
    received.dropPromises();
    received.startRound(1, 10s, Instant(1s));
    BOOST_TEST((received.coveredUntil(candidates) == Instant(11s - 1ns)));
}

BOOST_AUTO_TEST_CASE(releaseOvertakenByALaterPromiseIsIgnored)
{
    PromisesGiven given(0);
    given.promise(1, 1, 10s, Instant(1s));
    given.promise(1, 2, 10s, Instant(2s));
    given.release(1, 1, 0s, Instant(3s));
    BOOST_TEST((given.campaignAllowedFrom(1) == Instant(12s + 1ns)));
    given.release(1, 2, 1s, Instant(3s));
    BOOST_TEST((given.campaignAllowedFrom(1) == Instant(4s + 1ns)));
    BOOST_TEST((given.campaignAllowedFrom(2) == Instant::min()));
}
