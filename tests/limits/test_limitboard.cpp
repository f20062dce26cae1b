#define BOOST_TEST_MODULE LimitRegistry

#include "domainshares.h"
#include "limitregistry.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bulrush;

namespace {

const OrganisationName organisation{"leuvensport"};
const Incarnation daemonA{"a1#1"};
const Incarnation daemonB{"a2#1"};

Instant at(int milliseconds)
{
    return Instant{} + std::chrono::hours{1} + std::chrono::milliseconds{milliseconds};
}

DaemonSettings threeDomains()
{
    DaemonSettings settings;
    settings.domains = {DomainName{"c"}, DomainName{"a"}, DomainName{"b"}};
    return settings;
}

ContractMap contracts(std::uint32_t rate, std::uint32_t concurrency)
{
    Contract contract;
    contract.organisation = organisation;
    contract.limits = {rate, concurrency};
    return {{organisation, std::make_shared<const Contract>(contract)}};
}

/** Performs one renewal of shares at \a now, without a network. */
ShareReply renew(LimitRegistry &registry, DomainShares &shares, const Incarnation &daemon,
                 const ContractMap &known, Instant now)
{
    const ShareReply reply =
        shares.renew({daemon, registry.demands(std::vector{organisation}, now)}, known, now);
    registry.applyGrants(reply.organisations, now, now);
    return reply;
}

void grantShares(LimitRegistry &registry, double rate, double concurrency, Instant now)
{
    OrganisationGrant grant;
    grant.organisation = organisation;
    grant.rate = {{1, 1}, rate, std::chrono::seconds{6}};
    grant.concurrency = {{1, 1}, concurrency, std::chrono::seconds{6}};
    registry.applyGrants(std::vector{grant}, now, now);
}

FailurePoint refusalOf(LimitRegistry &registry, Instant now)
{
    const auto admission = registry.admit(organisation, now);
    const auto *refusal = std::get_if<LimitRefusal>(&admission);
    BOOST_REQUIRE(refusal);
    BOOST_CHECK(refusal->retryAfter > Duration{});
    return refusal->reason;
}

double concurrencyOf(const LimitRegistry &registry, Instant now)
{
    return registry.status(now)[organisation.value()]["concurrency"].asDouble();
}

int inFlight(const LimitRegistry &registry, Instant now)
{
    return registry.status(now)[organisation.value()]["inFlight"].asInt();
}

} // namespace

BOOST_AUTO_TEST_CASE(nothingIsAdmittedWithoutAShare)
{
    LimitRegistry registry{defaultDriftPpm};
    BOOST_TEST(!registry.canAdmit(organisation, at(0)));
    BOOST_CHECK(refusalOf(registry, at(0)) == FailurePoint::Overloaded);
    BOOST_TEST(inFlight(registry, at(0)) == 0);
}

BOOST_AUTO_TEST_CASE(ticketsCountFromAdmissionToRelease)
{
    LimitRegistry registry{defaultDriftPpm};
    grantShares(registry, 1000.0, 2.0, at(0));
    BOOST_TEST(registry.canAdmit(organisation, at(0)));
    {
        auto first = registry.admit(organisation, at(100));
        BOOST_REQUIRE(std::holds_alternative<LimitTicket>(first));
        const LimitTicket moved{std::get<LimitTicket>(std::move(first))};
        const auto second = registry.admit(organisation, at(100));
        BOOST_TEST(std::holds_alternative<LimitTicket>(second));
        BOOST_CHECK(refusalOf(registry, at(100)) == FailurePoint::Overloaded);
        BOOST_TEST(inFlight(registry, at(100)) == 2);
    }
    BOOST_TEST(inFlight(registry, at(100)) == 0);
    const auto again = registry.admit(organisation, at(100));
    BOOST_TEST(std::holds_alternative<LimitTicket>(again));
}

BOOST_AUTO_TEST_CASE(refusedByRateLeavesNothingInFlight)
{
    LimitRegistry registry{defaultDriftPpm};
    grantShares(registry, 10.0, 100.0, at(0));
    int passed = 0;
    for (int i = 0; i < 50; ++i) {
        const auto admission = registry.admit(organisation, at(500));
        passed += std::holds_alternative<LimitTicket>(admission) ? 1 : 0;
    }
    BOOST_TEST(passed == 5);
    BOOST_CHECK(refusalOf(registry, at(500)) == FailurePoint::RateLimited);
    BOOST_TEST(inFlight(registry, at(500)) == 0);
}

BOOST_AUTO_TEST_CASE(sharesExpire)
{
    LimitRegistry registry{defaultDriftPpm};
    grantShares(registry, 1000.0, 10.0, at(0));
    BOOST_TEST(registry.canAdmit(organisation, at(5900)));
    BOOST_TEST(!registry.canAdmit(organisation, at(6000)));
    BOOST_CHECK(refusalOf(registry, at(6000)) == FailurePoint::Overloaded);
}

BOOST_AUTO_TEST_CASE(domainsPartsAddUpToTheLimit)
{
    double sum = 0.0;
    double concurrency = 0.0;
    for (const char *name : {"a", "b", "c"}) {
        LimitRegistry registry{defaultDriftPpm};
        DomainShares shares{threeDomains(), DomainName{name}, 1, at(0)};
        const ShareReply reply = renew(registry, shares, daemonA, contracts(100, 8), at(0));
        BOOST_TEST(reply.isSettled);
        BOOST_REQUIRE(reply.organisations.size() == 1U);
        sum += reply.organisations.front().rate.amount;
        concurrency += reply.organisations.front().concurrency.amount;
    }
    BOOST_TEST(sum == 100.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(concurrency == 8.0);
}

BOOST_AUTO_TEST_CASE(sharesOfADomainNeverExceedItsPart)
{
    const ContractMap known = contracts(30, 9);
    DomainShares shares{threeDomains(), DomainName{"a"}, 1, at(0)};
    LimitRegistry first{defaultDriftPpm};
    LimitRegistry second{defaultDriftPpm};
    for (int now = 0; now < 3000; now += 250) {
        renew(first, shares, daemonA, known, at(now));
        renew(second, shares, daemonB, known, at(now));
        BOOST_TEST(concurrencyOf(first, at(now)) + concurrencyOf(second, at(now)) <= 3.0);
    }
    BOOST_TEST(first.canAdmit(organisation, at(3000)));
    BOOST_TEST(second.canAdmit(organisation, at(3000)));
}

BOOST_AUTO_TEST_CASE(successorOnlyConfirmsUntilOldGrantsExpire)
{
    const ContractMap known = contracts(30, 9);
    DomainShares before{threeDomains(), DomainName{"a"}, 1, at(0)};
    LimitRegistry holder{defaultDriftPpm};
    renew(holder, before, daemonA, known, at(0));
    const double held = concurrencyOf(holder, at(0));

    DomainShares successor{threeDomains(), DomainName{"a"}, 2, at(1000)};
    LimitRegistry newcomer{defaultDriftPpm};
    BOOST_TEST(!renew(newcomer, successor, daemonB, known, at(1100)).isSettled);
    BOOST_TEST(!newcomer.canAdmit(organisation, at(1100)));
    renew(holder, successor, daemonA, known, at(1200));
    BOOST_TEST(holder.canAdmit(organisation, at(1200)));
    BOOST_TEST(concurrencyOf(holder, at(1200)) <= held);

    for (int now = 7100; now < 9000; now += 250) {
        BOOST_TEST(renew(newcomer, successor, daemonB, known, at(now)).isSettled);
        renew(holder, successor, daemonA, known, at(now));
    }
    BOOST_TEST(newcomer.canAdmit(organisation, at(9000)));
}

BOOST_AUTO_TEST_CASE(unknownContractGetsNothing)
{
    LimitRegistry registry{defaultDriftPpm};
    DomainShares shares{threeDomains(), DomainName{"a"}, 1, at(0)};
    BOOST_TEST(renew(registry, shares, daemonA, {}, at(0)).organisations.empty());
    BOOST_TEST(!registry.canAdmit(organisation, at(0)));
}
