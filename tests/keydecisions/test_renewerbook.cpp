#define BOOST_TEST_MODULE RenewerBook

#include "process/grantlog.h"
#include "process/renewerbook.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
constexpr Duration longestCall = 500ms;
const ServiceName service{"s"};
const ServerName lost{"lost"};
const HostName one{"one"};
const HostName two{"two"};

DaemonRow row(const std::string &incarnation)
{
    return {Incarnation{incarnation}, {"10.0.0.1", 80}};
}

RenewerAnswer answer(const HostName &host, const std::string &incarnation, std::uint64_t sequence,
                     Duration ago)
{
    return {host, Incarnation{incarnation}, service, sequence, {{lost, ago}}};
}

struct Fixture
{
    KeyTimings timings;
    RenewerBook book{timings};

    Fixture()
    {
        book.rowSeen(one, row("one/1"), 1);
        book.rowSeen(two, row("two/1"), 2);
    }

    Instant freeAt() const
    {
        return book.freeAt(service, 5, lost, start);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(whoSaysNothingMayGrantUntilItHearsNothingOfTheStore, Fixture)
{
    BOOST_TEST((freeAt() == start + timings.silence() + timings.holdAtMost()));
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    BOOST_TEST((freeAt() == start + timings.silence() + timings.holdAtMost()));
}

BOOST_FIXTURE_TEST_CASE(onceAllHaveAnsweredTheLastGrantCounts, Fixture)
{
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    book.answered(answer(two, "two/1", 6, 1s), start + 200ms);
    BOOST_TEST((freeAt() == start - 800ms + timings.holdAtMost()));
}

BOOST_FIXTURE_TEST_CASE(anAnswerByAnEarlierAssignmentSaysNothing, Fixture)
{
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    book.answered(answer(two, "two/1", 4, 2s), start + 100ms);
    BOOST_TEST((freeAt() == start + timings.silence() + timings.holdAtMost()));
}

BOOST_FIXTURE_TEST_CASE(anAnswerOfAnEarlierRunSaysNothing, Fixture)
{
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    book.answered(answer(two, "two/1", 5, 2s), start + 100ms);
    book.rowSeen(two, row("two/2"), 9);
    BOOST_TEST((freeAt() == start + timings.silence() + timings.holdAtMost()));
}

BOOST_FIXTURE_TEST_CASE(whoHasNoRowAnyMoreIsReckonedWithForAWhile, Fixture)
{
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    book.rowGone(two, start - 3s);
    BOOST_TEST((freeAt() == start - 3s + timings.silence() + timings.holdAtMost()));
    book.forgetGone(start + 20s);
    BOOST_TEST((freeAt() == start - 1900ms + timings.holdAtMost()));
}

BOOST_FIXTURE_TEST_CASE(whoStaysSilentIsLost, Fixture)
{
    book.asked(one, start);
    book.asked(two, start);
    book.answered(answer(one, "one/1", 5, 2s), start + 100ms);
    book.asked(two, start + 700ms);
    BOOST_TEST(book.lost(start + 1s).empty());
    const auto lostOnes = book.lost(start + RenewerBook::silenceLimit);
    BOOST_REQUIRE(lostOnes.size() == 1U);
    BOOST_TEST(lostOnes.front().host.value() == "two");
}

BOOST_AUTO_TEST_CASE(grantsThatFoundNoConnectionDidNotCome)
{
    GrantLog log{start, longestCall};
    log.sent(lost, start + 1s);
    log.ended(lost, true, start + 1020ms);
    log.sent(lost, start + 3s);
    // It may come as long as its call lasts.
    BOOST_TEST((log.lastAgo(lost, start + 3100ms) == -400ms));
    log.ended(lost, false, start + 3200ms);
    BOOST_TEST((log.lastAgo(lost, start + 4s) == 2980ms));
}

BOOST_AUTO_TEST_CASE(aGrantWithoutAnswerMayHaveComeUpToTheEndOfItsCall)
{
    GrantLog log{start, longestCall};
    log.sent(lost, start + 1s);
    // The daemon was frozen, and hears of the end of the call late.
    log.ended(lost, true, start + 9s);
    BOOST_TEST((log.lastAgo(lost, start + 10s) == 8500ms));
}

BOOST_AUTO_TEST_CASE(anEarlierRunMayHaveGrantedUntilTheStart)
{
    const GrantLog log{start, longestCall};
    BOOST_TEST((log.lastAgo(lost, start + 4s) == 4s));
}
