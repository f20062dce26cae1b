#define BOOST_TEST_MODULE TimerService

#include "process/timerservice.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(firesInOrderOfDueTimeThenSubscription)
{
    TimerService timers;
    std::vector<int> fired;
    timers.subscribe(Instant{2s}, [&](Instant) { fired.push_back(2); });
    timers.subscribe(Instant{1s}, [&](Instant) { fired.push_back(1); });
    timers.subscribe(Instant{2s}, [&](Instant) { fired.push_back(3); });

    timers.advanceTo(Instant{1s});
    BOOST_TEST(fired == std::vector<int>{1});
    timers.advanceTo(Instant{5s});
    BOOST_TEST(fired == (std::vector<int>{1, 2, 3}));
    BOOST_TEST(!timers.nextDue().has_value());
}

BOOST_AUTO_TEST_CASE(cancelledSubscriptionDoesNotFire)
{
    TimerService timers;
    bool hasFired = false;
    const auto id = timers.subscribe(Instant{1s}, [&](Instant) { hasFired = true; });
    timers.cancel(id);
    timers.cancel(id);

    timers.advanceTo(Instant{2s});
    BOOST_TEST(!hasFired);
}
