#define BOOST_TEST_MODULE RequestQueue

#include "request/requestqueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const ServiceName plain{"payments"};
const ServiceName keyed{"catalogue"};

KnownServer server(const std::string &id, const ServiceName &service, const std::string &domain)
{
    KnownServer made;
    made.record = {ServerName{id}, service, {"10.0.0.1", 80}, DomainName{domain}, 3, false, {}};
    made.firstSeen = start;
    return made;
}

struct Fixture
{
    RoutingState state;
    ServerGauges gauges;
    ServerPicker picker{gauges, DomainName{"a"}};
    RequestQueue queue{picker};
    std::uint64_t nextTicket = 1;

    Fixture()
    {
        state.servers[plain] = {server("p1", plain, "a"), server("p2", plain, "b")};
        state.servers[keyed] = {server("c1", keyed, "a"), server("c2", keyed, "b")};
        own("c1", "c2");
    }

    void own(const std::string &first, const std::string &second)
    {
        KeyAssignment assignment{keyed, 1, {}};
        assignment.ranges = {{{0, 999}, ServerName{first}, 1, "", {}, 0},
                             {{1000, keyPlaces - 1}, ServerName{second}, 1, "", {}, 0}};
        state.assignments[keyed] = std::make_shared<const KeyAssignment>(assignment);
    }

    WaitingRequest request(const ServiceName &service, Instant now, std::uint32_t priority = 1)
    {
        WaitingRequest made;
        made.ticket = nextTicket++;
        made.service = service;
        made.priority = priority;
        made.arrivedAt = now;
        made.onTimeUntil = now + 1500ms;
        made.answerBy = now + 2s;
        made.notBefore = now;
        return made;
    }

    WaitingRequest keyedRequest(KeyPlace key, Instant now)
    {
        WaitingRequest made = request(keyed, now);
        made.key = key;
        return made;
    }

    /** \returns what was sent, by ticket. */
    std::map<std::uint64_t, std::string> dispatch(Instant now,
                                                  std::map<std::uint64_t, GiveUpReason> *gone = {})
    {
        std::map<std::uint64_t, std::string> sent;
        const auto givenUp =
            queue.dispatch(state, now, [&](std::uint64_t ticket, const ServerRecord &target) {
                gauges.attemptStarted(target.id, now);
                sent[ticket] = target.id.value();
            });
        for (const GivenUp &request : givenUp) {
            if (gone)
                (*gone)[request.ticket] = request.reason;
        }
        return sent;
    }

    /** The server answers a request, with others waiting there. */
    void answer(const std::string &id, Instant now, std::uint32_t waiting = 3)
    {
        gauges.attemptEnded(ServerName{id}, AttemptSign::Served, 200ms, ServerLoad{3, waiting, 3},
                            now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aKeyGoesToItsOwnerOnly, Fixture)
{
    queue.add(keyedRequest(5, start));
    queue.add(keyedRequest(5000, start));
    const auto sent = dispatch(start);
    BOOST_TEST(sent.at(1) == "c1");
    BOOST_TEST(sent.at(2) == "c2");
}

BOOST_FIXTURE_TEST_CASE(theOwnDomainIsPreferredWhileItHasRoom, Fixture)
{
    for (int i = 0; i < 3; ++i)
        queue.add(request(plain, start));
    const auto sent = dispatch(start);
    BOOST_TEST(sent.at(1) == "p1");
    BOOST_TEST(sent.at(2) == "p1");
    BOOST_TEST(sent.at(3) == "p2");
}

BOOST_FIXTURE_TEST_CASE(aServerThatDrainsOrIsGoneGetsNothing, Fixture)
{
    state.servers[plain][0].record.isDraining = true;
    state.servers[plain][0].drainsAfter = start;
    queue.add(request(plain, start));
    BOOST_TEST(dispatch(start).at(1) == "p2");
    state.servers[keyed][0].drainsAfter = start;
    state.servers[keyed][0].record.isDraining = true;
    queue.add(keyedRequest(5, start));
    BOOST_TEST(dispatch(start + 900ms).at(2) == "c1"); // until its keys have moved
    queue.add(keyedRequest(5, start + 900ms));
    // However late it was heard of: the second half of two seconds is for connection and link.
    BOOST_TEST(dispatch(start + 1001ms).empty());
    BOOST_TEST((picker.lastSend(state.servers[keyed][0]) == start + 1500ms));
}

BOOST_FIXTURE_TEST_CASE(noServerIsUsedByWhatIsTooOldWhileNewerWordIsToBeHad, Fixture)
{
    picker.setKnowledge({start, false});
    queue.add(request(plain, start));
    BOOST_TEST(dispatch(start + 1400ms).at(1) == "p1");
    BOOST_TEST((picker.lastSend(state.servers[plain][0]) == start + 1500ms));
    queue.add(request(plain, start + 1400ms));
    queue.add(keyedRequest(5, start + 1400ms));
    std::map<std::uint64_t, GiveUpReason> gone;
    BOOST_TEST(dispatch(start + 1401ms, &gone).empty());
    BOOST_TEST(gone.empty());
    // News, or the word that there is none to be had: callers are served by what is known.
    picker.setKnowledge({start + 1300ms, false});
    BOOST_TEST(dispatch(start + 1410ms).size() == 2U);
    queue.add(request(plain, start + 5s));
    picker.setKnowledge({start + 1300ms, true});
    BOOST_TEST(dispatch(start + 5s).size() == 1U);
    // A server that is known to drain is left alone all the same.
    state.servers[keyed][1].drainsAfter = start + 1300ms;
    queue.add(keyedRequest(5000, start + 5s));
    BOOST_TEST(dispatch(start + 5s).empty());
}

BOOST_FIXTURE_TEST_CASE(aRequestIsNotSentToAServerThatItWasSentTo, Fixture)
{
    WaitingRequest again = request(plain, start);
    again.tried = {ServerName{"p1"}};
    queue.add(again);
    BOOST_TEST(dispatch(start).at(1) == "p2");
    again.ticket = 2;
    again.tried = {ServerName{"p1"}, ServerName{"p2"}};
    queue.add(again);
    std::map<std::uint64_t, GiveUpReason> gone;
    BOOST_TEST(dispatch(start, &gone).empty());
    BOOST_TEST((gone.at(2) == GiveUpReason::AllTried));
}

BOOST_FIXTURE_TEST_CASE(theMoreUrgentComeFirstAndTheLateOnesLast, Fixture)
{
    state.servers[plain] = {server("p1", plain, "a")};
    for (int i = 0; i < 2; ++i)
        queue.add(request(plain, start));
    dispatch(start);
    WaitingRequest late = request(plain, start);
    late.onTimeUntil = start + 10ms;
    late.priority = 0;
    queue.add(late);                     // 3
    queue.add(request(plain, start, 2)); // 4
    queue.add(request(plain, start, 1)); // 5
    answer("p1", start + 50ms, 2);
    BOOST_TEST(dispatch(start + 50ms).contains(5));
    answer("p1", start + 60ms, 2);
    BOOST_TEST(dispatch(start + 60ms).contains(4));
    answer("p1", start + 70ms, 2);
    BOOST_TEST(dispatch(start + 70ms).contains(3));
}

BOOST_FIXTURE_TEST_CASE(whatAQueueCantServeInTimeIsGivenUpAtOnce, Fixture)
{
    Instant now = start;
    queue.add(keyedRequest(5, now));
    for (int i = 0; i < 30; ++i) { // three a second, with two there at all times
        queue.add(keyedRequest(5, now));
        dispatch(now);
        now += 333ms;
        gauges.attemptEnded(ServerName{"c1"}, AttemptSign::Served, 666ms, ServerLoad{3, 3, 3}, now);
    }
    for (int i = 0; i < 20; ++i)
        queue.add(keyedRequest(5, now));
    std::map<std::uint64_t, GiveUpReason> gone;
    const auto sent = dispatch(now, &gone);
    BOOST_TEST(sent.size() + gone.size() + queue.size() == 20U);
    BOOST_TEST(gone.size() >= 10U);
    for (const auto &[ticket, reason] : gone)
        BOOST_TEST((reason == GiveUpReason::QueueTooLong));
    // Those that may still be served wait, the first come among them.
    BOOST_TEST(queue.size() >= 2U);
}

BOOST_FIXTURE_TEST_CASE(aKeyWithoutAnOwnerIsWaitedForBriefly, Fixture)
{
    state.assignments.clear();
    queue.add(keyedRequest(5, start));
    std::map<std::uint64_t, GiveUpReason> gone;
    BOOST_TEST(dispatch(start, &gone).empty());
    dispatch(start + 300ms, &gone);
    BOOST_TEST(gone.empty());
    own("c2", "c2");
    BOOST_TEST(dispatch(start + 350ms, &gone).at(1) == "c2");
    state.assignments.clear();
    queue.add(keyedRequest(5, start));
    dispatch(start + 400ms, &gone);
    dispatch(start + 900ms, &gone);
    BOOST_TEST((gone.at(2) == GiveUpReason::NoOwner));
}

BOOST_FIXTURE_TEST_CASE(anOwnerThatIsAwayHoldsNoCallers, Fixture)
{
    for (int i = 0; i < 2; ++i) {
        gauges.attemptStarted(ServerName{"c1"}, start);
        gauges.attemptEnded(ServerName{"c1"}, AttemptSign::Unreached, 400ms, std::nullopt, start);
    }
    queue.add(keyedRequest(5, start));
    std::map<std::uint64_t, GiveUpReason> gone;
    BOOST_TEST(dispatch(start, &gone).empty());
    BOOST_TEST((gone.at(1) == GiveUpReason::OutOfReach));
    // Later one request finds out whether it is back.
    queue.add(keyedRequest(5, start + 900ms));
    queue.add(keyedRequest(6, start + 900ms));
    BOOST_TEST(dispatch(start + 900ms).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(noServerIsBotheredWithWhatIsTooLate, Fixture)
{
    queue.add(request(plain, start));
    std::map<std::uint64_t, GiveUpReason> gone;
    BOOST_TEST(dispatch(start + 1970ms, &gone).empty());
    BOOST_TEST((gone.at(1) == GiveUpReason::NoTimeLeft));
}

BOOST_FIXTURE_TEST_CASE(aRequestOfACallerThatLeftIsForgotten, Fixture)
{
    queue.add(request(plain, start));
    queue.remove(1);
    BOOST_TEST(dispatch(start).empty());
    BOOST_TEST(queue.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(aServerThatThisDaemonAskedLittleOfIsNotTakenForSlow, Fixture)
{
    // One request each second, as at each of many daemons, says nothing of what the server can do.
    Instant now = start;
    for (int i = 0; i < 5; ++i, now += 1s) {
        queue.add(keyedRequest(5, now));
        BOOST_TEST(dispatch(now).size() == 1U);
        answer("c1", now + 90ms, 0);
    }
    std::map<std::uint64_t, GiveUpReason> gone;
    for (int i = 0; i < 5; ++i)
        queue.add(keyedRequest(5, now));
    dispatch(now, &gone);
    BOOST_TEST(gone.empty());
    BOOST_TEST(queue.size() > 0U);
}

BOOST_FIXTURE_TEST_CASE(whatAServerFarTooBusyCannotServeIsRefusedAtOnce, Fixture)
{
    Instant now = start;
    for (int i = 0; i < 8; ++i, now += 500ms) {
        gauges.attemptStarted(ServerName{"c1"}, now);
        gauges.attemptEnded(ServerName{"c1"}, AttemptSign::Served, 400ms, ServerLoad{3, 8, 3},
                            now + 400ms);
    }
    // Its window is one piece of work in four seconds, and what it did before is long ago.
    now += 2s;
    std::map<std::uint64_t, GiveUpReason> gone;
    for (int i = 0; i < 4; ++i)
        queue.add(keyedRequest(5, now));
    dispatch(now, &gone);
    BOOST_TEST(gone.size() == 4U);
    for (const auto &[ticket, reason] : gone)
        BOOST_TEST((reason == GiveUpReason::QueueTooLong));
}
