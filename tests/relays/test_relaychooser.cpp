#define BOOST_TEST_MODULE RelayChooser

#include "request/relaychooser.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

RelayDaemon daemonOn(const std::string &host)
{
    return {HostName{host}, DomainName{host.substr(0, 1)}, {"10.0.0.1", 7215}};
}

/** Chooses for the daemon on a1, where each domain has three daemons. */
struct Fixture
{
    Fixture()
    {
        std::vector<RelayDaemon> others;
        for (const std::string host : {"a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"})
            others.push_back(daemonOn(host));
        chooser.setDaemons(others);
    }

    /** \returns the chosen host for a request to a server in \a domain, or "". */
    std::string choose(const std::string &domain, Instant now = start, std::uint64_t salt = 1)
    {
        const RelayDaemon *daemon =
            chooser.choose({"server-" + domain, DomainName{domain}, tried, salt}, now);
        return daemon ? daemon->host.value() : "";
    }

    RelayChooser chooser{DomainName{"a"}};
    std::vector<HostName> tried;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(daemonsOfTheOwnAndTheServersDomainComeFirst, Fixture)
{
    std::set<std::string> hosts;
    for (std::uint64_t salt = 0; salt < 200; ++salt)
        hosts.insert(choose("b", start, salt));
    BOOST_TEST((hosts == std::set<std::string>{"a2", "a3", "b1", "b2", "b3"}));
}

BOOST_FIXTURE_TEST_CASE(requestsInFlightAreSpreadEvenly, Fixture)
{
    std::map<std::string, int> counts;
    for (std::uint64_t salt = 0; salt < 50; ++salt) {
        const std::string host = choose("b", start, salt);
        chooser.recordSent(HostName{host}, start);
        ++counts[host];
    }
    for (const auto &[host, count] : counts)
        BOOST_TEST(count == 10);
    chooser.recordEnded(HostName{"b2"});
    BOOST_TEST(choose("b") == "b2");
}

BOOST_FIXTURE_TEST_CASE(daemonOfAnotherDomainIsNextAfterOneThatCouldNotHelp, Fixture)
{
    tried.push_back(HostName{choose("a")});
    BOOST_TEST(tried.front().value().front() == 'a');
    const std::string next = choose("a");
    BOOST_TEST(next.front() != 'a');
}

BOOST_FIXTURE_TEST_CASE(noDaemonIsAskedTwiceForOneRequest, Fixture)
{
    std::set<std::string> hosts;
    for (std::string host = choose("b"); !host.empty(); host = choose("b")) {
        BOOST_TEST(hosts.insert(host).second);
        tried.emplace_back(host);
    }
    BOOST_TEST(hosts.size() == 8U);
}

BOOST_FIXTURE_TEST_CASE(daemonThatReachesNoServerIsAvoidedLongerEachTime, Fixture)
{
    chooser.setDaemons({daemonOn("a2")});
    const HostName host{"a2"};
    Instant now = start;
    for (const Duration avoidance : {1s, 2s, 4s, 8s, 8s}) {
        chooser.recordUnusable(host, now);
        chooser.recordUnusable(host, now);
        BOOST_TEST(choose("a", now + avoidance - 1ms) == "");
        now += avoidance;
        BOOST_TEST(choose("a", now) == "a2");
    }
    chooser.recordUsable(host);
    chooser.recordUnusable(host, now);
    BOOST_TEST(choose("a", now + RelayChooser::initialAvoidance) == "a2");
}

BOOST_FIXTURE_TEST_CASE(serverThatThreeDaemonsCanNotReachIsDown, Fixture)
{
    chooser.recordDenied(HostName{"a2"}, "server-a", start);
    BOOST_TEST(choose("a") != "");
    BOOST_TEST(choose("a") != "a2");
    chooser.recordDenied(HostName{"b1"}, "server-a", start);
    BOOST_TEST(choose("a") != "");
    chooser.recordDenied(HostName{"c1"}, "server-a", start);
    BOOST_TEST(choose("a") == "");
    BOOST_TEST(choose("b") != "");
    BOOST_TEST(choose("a", start + RelayChooser::denialPeriod) != "");
}

BOOST_FIXTURE_TEST_CASE(serverIsDownIfAllOfTwoDaemonsCanNotReachIt, Fixture)
{
    chooser.setDaemons({daemonOn("a2"), daemonOn("b1")});
    chooser.recordDenied(HostName{"a2"}, "server-a", start);
    chooser.recordDenied(HostName{"b1"}, "server-a", start);
    BOOST_TEST(choose("a") == "");
}

BOOST_FIXTURE_TEST_CASE(daemonThatReachedTheServerLatelyComesFirst, Fixture)
{
    chooser.recordAnswered(HostName{"c2"}, "server-a", start);
    for (const std::string host : {"a2", "b1", "c1"})
        chooser.recordDenied(HostName{host}, "server-a", start);
    for (std::uint64_t salt = 0; salt < 50; ++salt)
        BOOST_TEST(choose("a", start + 100ms, salt) == "c2");
    // It has lost its paths, too.
    chooser.recordDenied(HostName{"c2"}, "server-a", start + 200ms);
    BOOST_TEST(choose("a", start + 200ms) == "");
    chooser.recordAnswered(HostName{"c2"}, "server-a", start);
    BOOST_TEST(choose("a", start + RelayChooser::answeredPeriod) != "c2");
}

BOOST_AUTO_TEST_CASE(requestsAreServedWhileFourOfElevenOthersAreCutOffFromTheirServerToo)
{
    RelayChooser chooser{DomainName{"a"}};
    std::vector<RelayDaemon> others;
    for (const std::string host :
         {"a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1", "c2", "c3", "c4"})
        others.push_back(daemonOn(host));
    chooser.setDaemons(others);
    const std::set<std::string> cutOff{"a3", "b1", "b4", "c2"};
    constexpr int serverCount = 19;
    constexpr int requestCount = 1000;
    int refused = 0;
    for (int i = 0; i < requestCount; ++i) {
        const Instant now = start + 30ms * i;
        const std::string target = "server-" + std::to_string(i * 7 % serverCount);
        std::vector<HostName> tried;
        bool isServed = false;
        while (!isServed) {
            const RelayDaemon *daemon = chooser.choose(
                {target, DomainName{"b"}, tried, static_cast<std::uint64_t>(i)}, now);
            if (!daemon)
                break;
            tried.push_back(daemon->host);
            isServed = !cutOff.contains(daemon->host.value());
            if (isServed)
                chooser.recordAnswered(daemon->host, target, now);
            else
                chooser.recordDenied(daemon->host, target, now);
        }
        refused += isServed ? 0 : 1;
    }
    BOOST_TEST_MESSAGE("refused " << refused << " of " << requestCount);
    BOOST_TEST(refused * 50 <= requestCount);
}

BOOST_FIXTURE_TEST_CASE(expiredEntriesAreRemoved, Fixture)
{
    chooser.recordUnusable(HostName{"a2"}, start);
    chooser.recordDenied(HostName{"b1"}, "server-a", start);
    chooser.removeExpired(start + 1s);
    BOOST_TEST(chooser.uses(start).size() == 2U);
    BOOST_TEST((chooser.uses(start).front().avoidedFor == RelayChooser::initialAvoidance));
    chooser.removeExpired(start + 1h);
    BOOST_TEST(chooser.uses(start).empty());
}

BOOST_AUTO_TEST_CASE(largeDomainWithoutPathsIsLeftAfterOneAttemptEach)
{
    // The whole domain of 65 daemons is cut off; a request finds another domain with its second
    // attempt.
    RelayChooser chooser{DomainName{"a"}};
    std::vector<RelayDaemon> others;
    for (int i = 0; i < 65; ++i) {
        for (const std::string domain : {"a", "b", "c"})
            others.push_back(daemonOn(domain + std::to_string(i)));
    }
    chooser.setDaemons(others);
    int most = 0;
    for (std::uint64_t salt = 0; salt < 300; ++salt) {
        std::vector<HostName> tried;
        int attempts = 0;
        for (bool isServed = false; !isServed; ++attempts) {
            const RelayDaemon *daemon =
                chooser.choose({"s", DomainName{"a"}, tried, salt}, start + 10ms * salt);
            BOOST_REQUIRE(daemon);
            isServed = daemon->domain.value() != "a";
            tried.push_back(daemon->host);
            if (!isServed)
                chooser.recordUnusable(daemon->host, start + 10ms * salt);
        }
        most = std::max(most, attempts);
    }
    BOOST_TEST(most == 2);
}
