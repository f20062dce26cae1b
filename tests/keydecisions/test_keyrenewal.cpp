#define BOOST_TEST_MODULE KeyRenewal

#include "process/keyrenewal.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant now{100s};
const ServiceName service{"s"};
constexpr std::size_t servers = 40;

/** A domain "a" with daemons and servers, and a few servers in a domain "b" without daemons. */
struct Fixture
{
    std::map<HostName, Renewer> daemons;
    ServerDirectory directory;
    KeyAssignment assignment{service, 1, {}};

    void addDaemons(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Renewer made;
            made.host = HostName{"a" + std::to_string(i)};
            made.row = {Incarnation{"x"}, {"10.0.0.1", 80}, DomainName{"a"}};
            daemons[made.host] = made;
        }
    }

    Fixture()
    {
        for (std::size_t i = 0; i < servers; ++i) {
            const ServerName id{"s" + std::to_string(i)};
            const DomainName domain{i % 4 == 0 ? "b" : "a"};
            directory.take({id, service, {"10.0.0.2", 80}, domain, 3, false, {}}, now - 1s);
            const auto first = static_cast<KeyPlace>(i * 100);
            assignment.ranges.push_back({{first, first + 99}, id, 1, {}, {}, 0});
        }
    }

    std::vector<SendGrant> due(const std::string &host, bool isPlanner = false) const
    {
        KeyRenewal renewal{HostName{host}, DomainName{"a"}, KeyTimings{}};
        renewal.setAssignment(assignment);
        renewal.setDaemons(daemons);
        renewal.storeAnswered(now);
        renewal.setPlanner(isPlanner);
        return renewal.due(directory, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(eachServerOfTheDomainIsRenewedByThreeDaemons, Fixture)
{
    addDaemons(25);
    std::map<ServerName, int> renewers;
    for (const auto &[host, daemon] : daemons) {
        const std::vector<SendGrant> grants = due(host.value());
        // Far below all thirty.
        BOOST_TEST(grants.size() < 12U);
        for (const SendGrant &grant : grants)
            ++renewers[grant.owned.owner];
    }
    BOOST_TEST(renewers.size() == 30U);
    for (const auto &[server, count] : renewers)
        BOOST_TEST(count == 3, server.value());
}

BOOST_FIXTURE_TEST_CASE(allRenewWhereThereAreFew, Fixture)
{
    addDaemons(3);
    for (const auto &[host, daemon] : daemons)
        BOOST_TEST(due(host.value()).size() == 30U);
}

BOOST_FIXTURE_TEST_CASE(whoIsGoneIsNotReckonedWith, Fixture)
{
    addDaemons(4);
    daemons.at(HostName{"a3"}).goneSince = now;
    BOOST_TEST(due("a0").size() == 30U);
}

BOOST_FIXTURE_TEST_CASE(thePlannerRenewsForDomainsWithFewDaemons, Fixture)
{
    addDaemons(3);
    BOOST_TEST(due("a0", true).size() == servers);
    addDaemons(25);
    const std::size_t own = due("a0").size();
    BOOST_TEST(due("a0", true).size() == own + 10);
}

BOOST_FIXTURE_TEST_CASE(allIsGrantedOnceMoreBeforeTheRightEnds, Fixture)
{
    addDaemons(1);
    const KeyTimings timings;
    KeyRenewal renewal{HostName{"a0"}, DomainName{"a"}, timings};
    renewal.setAssignment(assignment);
    renewal.setDaemons(daemons);
    renewal.storeAnswered(now);
    Instant last;
    for (Duration passed{}; passed < 6s; passed += 100ms) {
        if (!renewal.due(directory, now + passed).empty())
            last = now + passed;
    }
    const Instant end = now + timings.renewalRight;
    BOOST_TEST((last < end));
    BOOST_TEST((last >= end - KeyRenewal::lastRound));
}
