#include "goldensession.h"
#include "process/ratelimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{100s};
const Incarnation one{"one"};
const Incarnation two{"two"};

/** A daemon that renews its share with the domain leader. */
struct ShareHolder
{
    Incarnation name;
    ShareGrant grant;
    Instant validUntil;

    double renewShare(ShareAllocator &allocator, double wanted, Instant now)
    {
        grant = allocator.renew(name, {wanted, 0.0, grant.sequence}, grant.amount, now);
        validUntil = now + shortened(grant.length, defaultDriftPpm);
        return grant.amount;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Shares)

BOOST_AUTO_TEST_CASE(sharesFollowDemandWithoutEverExceedingTheLimit)
{
    ShareAllocator allocator{100.0, 1, {}};
    ShareHolder first{one, {}, {}};
    ShareHolder second{two, {}, {}};
    BOOST_TEST(first.renewShare(allocator, 80.0, start) == 100.0);
    BOOST_TEST(second.renewShare(allocator, 60.0, start) == 0.0);
    BOOST_TEST(first.renewShare(allocator, 80.0, start + 1s) == 50.0);
    BOOST_TEST(second.renewShare(allocator, 60.0, start + 1s) == 0.0);
    BOOST_TEST(first.renewShare(allocator, 80.0, start + 2s) == 50.0);
    BOOST_TEST(second.renewShare(allocator, 60.0, start + 2s) == 50.0);
    BOOST_TEST(allocator.outstanding(start + 2s) <= 100.0);
    BOOST_TEST(first.renewShare(allocator, 10.0, start + 3s) < 30.0);
}

BOOST_AUTO_TEST_CASE(shareOfADisconnectedDaemonIsReusedOnlyAfterItExpired)
{
    ShareAllocator allocator{100.0, 1, {}};
    ShareHolder first{one, {}, {}};
    ShareHolder second{two, {}, {}};
    first.renewShare(allocator, 100.0, start);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 5s) == 0.0);
    BOOST_TEST(second.renewShare(allocator, 100.0, first.validUntil) == 0.0);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 6s + 7ms) == 100.0);
}

BOOST_AUTO_TEST_CASE(successorOnlyConfirmsSharesUntilOldOnesExpire)
{
    ShareAllocator old{100.0, 1, {}};
    ShareHolder first{one, {}, {}};
    ShareHolder second{two, {}, {}};
    first.renewShare(old, 100.0, start);
    ShareAllocator allocator = ShareAllocator::successor(100.0, 2, {}, start + 4s);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 4s) == 0.0);
    BOOST_TEST(first.renewShare(allocator, 100.0, start + 5s) == 50.0);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 17s) == 0.0);
    first.renewShare(allocator, 100.0, start + 18s);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 18s + 15ms) == 50.0);
}

BOOST_AUTO_TEST_CASE(shareOfALeavingDaemonIsReusedAtOnce)
{
    ShareAllocator allocator{100.0, 1, {}};
    ShareHolder first{one, {}, {}};
    ShareHolder second{two, {}, {}};
    first.renewShare(allocator, 100.0, start);
    allocator.release(one);
    BOOST_TEST(second.renewShare(allocator, 100.0, start + 1s) == 100.0);
}

BOOST_AUTO_TEST_CASE(domainLendsItsUnusedPartAndGetsItBack)
{
    const DomainName near{"near"};
    const DomainName far{"far"};
    ShareAllocator lender{50.0, 1, {}};
    ShareAllocator borrower{50.0, 1, {}};
    ShareHolder first{one, {}, {}};
    ShareHolder second{two, {}, {}};
    const auto round = [&](double wantedNear, double wantedFar, Instant now) {
        first.renewShare(lender, wantedNear, now);
        second.renewShare(borrower, wantedFar, now);
        const ShareDemand demand = borrower.loanDemand(near, now);
        borrower.applyLoanGrant(near, lender.lend(far, demand, now), now);
        BOOST_TEST(lender.outstanding(now) <= 50.0 + 1e-9);
        BOOST_TEST(first.grant.amount + second.grant.amount <= 100.0 + 1e-9);
    };
    for (int i = 0; i < 6; ++i)
        round(10.0, 90.0, start + i * 1s);
    BOOST_TEST(second.grant.amount == 90.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(first.grant.amount == 10.0, boost::test_tools::tolerance(0.01));
    for (int i = 6; i < 14; ++i)
        round(60.0, 90.0, start + i * 1s);
    BOOST_TEST(first.grant.amount == 50.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(second.grant.amount == 50.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(randomPartitionsNeverCauseSharesAboveTheLimit)
{
    std::mt19937 random{5};
    ShareAllocator allocator{100.0, 1, {}};
    std::vector<ShareHolder> daemons;
    daemons.reserve(12);
    for (int i = 0; i < 12; ++i)
        daemons.push_back({Incarnation{std::to_string(i)}, {}, {}});
    for (int step = 0; step < 20000; ++step) {
        const Instant now = start + step * 50ms;
        ShareHolder &daemon = daemons[random() % daemons.size()];
        const bool isCutOff = (step / 400 + random() % 12) % 3 == 0;
        if (!isCutOff)
            daemon.renewShare(allocator, static_cast<double>(random() % 100), now);
        double sum = 0.0;
        for (const ShareHolder &one : daemons)
            sum += now < one.validUntil ? one.grant.amount : 0.0;
        BOOST_TEST_REQUIRE(sum <= 100.0 + 1e-6, "step " << step);
    }
}

BOOST_AUTO_TEST_CASE(concurrencySharesAreIntegersAndCoverRequestsInFlight)
{
    ShareTerms terms;
    terms.unit = 1.0;
    ShareAllocator allocator{10.0, 1, terms};
    ConcurrencyLimiter first;
    ConcurrencyLimiter second;
    const auto renew = [&](ConcurrencyLimiter &limiter, const Incarnation &name, Instant now) {
        limiter.applyShareGrant(allocator.renew(name, limiter.demand(), 0.0, now), now);
    };
    renew(first, one, start);
    int started = 0;
    for (int i = 0; i < 20; ++i)
        started += first.start(start) ? 1 : 0;
    BOOST_TEST(started == 10);
    for (int i = 1; i < 4; ++i) {
        BOOST_TEST(!second.start(start + i * 1s));
        renew(first, one, start + i * 1s);
        renew(second, two, start + i * 1s);
    }
    BOOST_TEST(!second.start(start + 4s));
    for (int i = 0; i < 10; ++i)
        first.ended();
    renew(first, one, start + 5s);
    renew(second, two, start + 5s);
    renew(first, one, start + 6s);
    renew(second, two, start + 6s);
    BOOST_TEST(second.start(start + 6s));
}

/** Only requests in flight at disconnected daemons may exceed the limit. */
BOOST_AUTO_TEST_CASE(concurrencyHoldsExceptForRequestsAtDisconnectedDaemons)
{
    std::mt19937 random{9};
    ShareTerms terms;
    terms.unit = 1.0;
    ShareAllocator allocator{20.0, 1, terms};
    std::vector<ConcurrencyLimiter> daemons(12);
    int maximum = 0;
    for (int step = 0; step < 50000; ++step) {
        const Instant now = start + step * 20ms;
        const std::size_t place = random() % daemons.size();
        const bool isCutOff = place < 2 && step % 2000 < 600;
        ConcurrencyLimiter &daemon = daemons[place];
        if (random() % 4 == 0 && !isCutOff)
            daemon.applyShareGrant(
                allocator.renew(Incarnation{std::to_string(place)}, daemon.demand(), 0.0, now),
                now);
        else if (random() % 2 == 0)
            daemon.start(now);
        else if (daemon.inFlight() > 0)
            daemon.ended();
        int others = 0;
        for (std::size_t i = 2; i < daemons.size(); ++i)
            others += daemons[i].inFlight();
        const int all = others + daemons[0].inFlight() + daemons[1].inFlight();
        maximum = std::max(maximum, all);
        BOOST_TEST_REQUIRE(others <= 20, "step " << step);
        const bool isLongAfterCut = step % 2000 >= 1200;
        BOOST_TEST_REQUIRE((!isLongAfterCut || all <= 20), "step " << step);
    }
    BOOST_TEST(maximum >= 18);
}

BOOST_AUTO_TEST_CASE(limiterAdmitsWithinItsShareAndNothingWithoutOne)
{
    RateLimiter limiter;
    BOOST_TEST(!limiter.admits(start));
    limiter.applyShareGrant({{1, 1}, 100.0, 10s}, start, start);
    int admitted = 0;
    for (int i = 0; i < 20000; ++i)
        admitted += limiter.admits(start + i * 1ms) ? 1 : 0;
    BOOST_TEST(admitted >= 998);
    BOOST_TEST(admitted <= 1010);
    BOOST_TEST(limiter.share(start + 10s) == 0.0);
    limiter.applyShareGrant({{1, 1}, 500.0, 10s}, start + 20s, start + 20s);
    BOOST_TEST(!limiter.admits(start + 21s));
}

BOOST_AUTO_TEST_SUITE_END()
