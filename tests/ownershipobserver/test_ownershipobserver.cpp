#define BOOST_TEST_MODULE ownershipobserver
#include "observer.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using bulrush::Instant;
using bulrush::ServerName;

namespace {

AcceptedWork work(const char *server, bulrush::KeyHash key, int startMs, int endMs)
{
    return {ServerName(server), key, {1, 1}, Instant(1ms * startMs), Instant(1ms * endMs)};
}

} // namespace

BOOST_AUTO_TEST_CASE(finds_overlap_after_a_short_request)
{
    OwnershipObserver observer;
    observer.record(work("a", 1, 0, 100));
    observer.record(work("a", 1, 10, 20));
    observer.record(work("b", 1, 99, 120));
    BOOST_REQUIRE_EQUAL(observer.overlaps().size(), 1U);
    BOOST_TEST((observer.overlaps()[0].first.end == Instant(100ms)));
}

BOOST_AUTO_TEST_CASE(allows_adjacent_requests_other_keys_and_one_server)
{
    OwnershipObserver observer;
    observer.record(work("a", 1, 0, 100));
    observer.record(work("a", 1, 50, 90));
    observer.record(work("b", 1, 100, 120));
    observer.record(work("b", 2, 0, 120));
    BOOST_TEST(observer.overlaps().empty());
    BOOST_TEST((observer.longestGap(1, Instant(0ms), Instant(300ms)) == 200ms));
}
