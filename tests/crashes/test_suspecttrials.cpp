#define BOOST_TEST_MODULE SuspectTrial

#include "process/answeredrequests.h"
#include "process/suspectprobes.h"

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

Quarantine::Suspects suspectAfter(int crashes, const RequestFingerprint &request)
{
    SuspectRequest suspect;
    for (int i = 0; i < crashes; ++i)
        suspect.servers.emplace_back("s" + std::to_string(i));
    return {{request, suspect}};
}

/** \returns how many of \a probes may send \a request. */
int allowedCount(std::vector<SuspectProbes> &probes, int crashes, const RequestFingerprint &request,
                 Instant now)
{
    int allowed = 0;
    for (SuspectProbes &probe : probes)
        allowed += probe.probedElsewhere(suspectAfter(crashes, request), now).empty() ? 1 : 0;
    return allowed;
}

std::vector<SuspectProbes> probesOf(const std::vector<HostName> &names)
{
    std::vector<SuspectProbes> probes;
    for (const HostName &name : names) {
        probes.emplace_back(name);
        probes.back().setDaemons(names);
    }
    return probes;
}

} // namespace

BOOST_AUTO_TEST_CASE(oneDaemonProbesSuspectUntilPeriodAfterLastCrashExpires)
{
    for (const int count : {1, 8, 195}) {
        std::vector<SuspectProbes> probes = probesOf(hosts(count));
        BOOST_TEST(allowedCount(probes, 1, request(1), start) == 1);
        BOOST_TEST(allowedCount(probes, 2, request(1), start + 4s) == 1);
        BOOST_TEST(allowedCount(probes, 2, request(1), start + SuspectProbes::probePeriod) == 1);
        const Instant expired = start + 4s + SuspectProbes::probePeriod;
        BOOST_TEST(probes.front().hasExpiredProbe(expired));
        BOOST_TEST(allowedCount(probes, 2, request(1), expired) == count);
        BOOST_TEST(!probes.front().hasExpiredProbe(expired + 1h));
    }
}

BOOST_AUTO_TEST_CASE(anotherDaemonProbesAfterRowOfFirstIsRemoved)
{
    std::vector<SuspectProbes> probes = probesOf(hosts(8));
    std::vector<HostName> remaining;
    for (std::size_t i = 0; i < probes.size(); ++i) {
        if (!probes[i].probedElsewhere(suspectAfter(1, request(1)), start).empty())
            remaining.push_back(hosts(8)[i]);
    }
    BOOST_REQUIRE(remaining.size() == 7U);
    std::vector<SuspectProbes> others = probesOf(remaining);
    BOOST_TEST(allowedCount(others, 1, request(1), start) == 1);
}

BOOST_AUTO_TEST_CASE(answeredRequestsAreBounded)
{
    AnsweredRequests answered{start};
    BOOST_TEST(!answered.hasMinHistory(start));
    BOOST_TEST(answered.hasMinHistory(start + AnsweredRequests::minHistory));
    constexpr int limit = static_cast<int>(AnsweredRequests::maxGenerationSize);
    for (int i = 0; i < 3 * limit; ++i)
        answered.note(request(i), start);
    BOOST_TEST(!answered.contains(request(0), start));
    BOOST_TEST(answered.contains(request(3 * limit - 1), start));
    BOOST_TEST(answered.contains(request(3 * limit - 1), start + AnsweredRequests::retention));
    BOOST_TEST(!answered.contains(request(3 * limit - 1), start + 2 * AnsweredRequests::retention));
}
