#define BOOST_TEST_MODULE SuspectTrial

#include "process/answeredrequests.h"
#include "process/suspecttrials.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};

RequestFingerprint request(int number)
{
    return RequestFingerprint{{"GET", "shop.example", "/" + std::to_string(number), ""}};
}

std::vector<HostName> hosts(int count)
{
    std::vector<HostName> names;
    for (int i = 0; i < count; ++i)
        names.emplace_back("h" + std::to_string(i));
    return names;
}

Quarantine::Suspects suspectAfter(int ends, const RequestFingerprint &request)
{
    SuspectRequest suspect;
    for (int i = 0; i < ends; ++i)
        suspect.servers.emplace_back("s" + std::to_string(i));
    return {{request, suspect}};
}

/** \returns how many of \a trials may send \a request. */
int allowedCount(std::vector<SuspectTrials> &trials, int ends, const RequestFingerprint &request,
                 Instant now)
{
    int allowed = 0;
    for (SuspectTrials &one : trials)
        allowed += one.leftToOthers(suspectAfter(ends, request), now).empty() ? 1 : 0;
    return allowed;
}

std::vector<SuspectTrials> trialsOf(const std::vector<HostName> &names)
{
    std::vector<SuspectTrials> trials;
    for (const HostName &name : names) {
        trials.emplace_back(name);
        trials.back().setDaemons(names);
    }
    return trials;
}

} // namespace

BOOST_AUTO_TEST_CASE(oneDaemonTriesASuspectUntilTheSpanAfterItsLastEndIsOver)
{
    for (const int count : {1, 8, 195}) {
        std::vector<SuspectTrials> trials = trialsOf(hosts(count));
        BOOST_TEST(allowedCount(trials, 1, request(1), start) == 1);
        BOOST_TEST(allowedCount(trials, 2, request(1), start + 4s) == 1);
        BOOST_TEST(allowedCount(trials, 2, request(1), start + SuspectTrials::span) == 1);
        const Instant over = start + 4s + SuspectTrials::span;
        BOOST_TEST(trials.front().isEndDue(over));
        BOOST_TEST(allowedCount(trials, 2, request(1), over) == count);
        BOOST_TEST(!trials.front().isEndDue(over + 1h));
    }
}

BOOST_AUTO_TEST_CASE(anotherDaemonTriesWhereTheOneBeforeHasNoRowAnyMore)
{
    std::vector<SuspectTrials> trials = trialsOf(hosts(8));
    std::vector<HostName> left;
    for (std::size_t i = 0; i < trials.size(); ++i) {
        if (!trials[i].leftToOthers(suspectAfter(1, request(1)), start).empty())
            left.push_back(hosts(8)[i]);
    }
    BOOST_REQUIRE(left.size() == 7U);
    std::vector<SuspectTrials> others = trialsOf(left);
    BOOST_TEST(allowedCount(others, 1, request(1), start) == 1);
}

BOOST_AUTO_TEST_CASE(whatCallersSendIsRememberedInBounds)
{
    AnsweredRequests answered{start};
    BOOST_TEST(!answered.isPopularityKnown(start));
    BOOST_TEST(answered.isPopularityKnown(start + AnsweredRequests::enough));
    constexpr int most = static_cast<int>(AnsweredRequests::mostOfAGeneration);
    for (int i = 0; i < 3 * most; ++i)
        answered.note(request(i), start);
    BOOST_TEST(!answered.contains(request(0), start));
    BOOST_TEST(answered.contains(request(3 * most - 1), start));
    BOOST_TEST(answered.contains(request(3 * most - 1), start + AnsweredRequests::memory));
    BOOST_TEST(!answered.contains(request(3 * most - 1), start + 2 * AnsweredRequests::memory));
}
