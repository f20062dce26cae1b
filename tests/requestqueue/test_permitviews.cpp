#define BOOST_TEST_MODULE PermitViews

#include "requestqueue/permitfleet.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <random>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(viewsThatLackEachOtherDaemonWithOneInTenStayWithinTheBound)
{
    std::mt19937 random{11};
    for (const std::size_t count : fleetSizes) {
        for (int trial = 0; trial < 10; ++trial) {
            Fleet fleet{count};
            for (const DaemonLocation &self : fleet.daemons)
                std::erase_if(fleet.views[self.host], [&](const DaemonLocation &daemon) {
                    return daemon != self && random() % 10 == 0;
                });
            fleet.run(16.0, 5.3, 60s, 300ms);
            BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(5.3),
                       count << " daemons, trial " << trial << ": " << fleet.mostInWindow());
            BOOST_TEST(fleet.sends.size() >= 100U, count << " daemons");
        }
    }
}

BOOST_AUTO_TEST_CASE(viewsOfSmallFleetsThatLackATenthStayWithinTheBound)
{
    std::mt19937 random{11};
    for (const std::size_t count : {12U, 66U}) {
        for (int trial = 0; trial < 100; ++trial) {
            Fleet fleet{count};
            for (const DaemonLocation &self : fleet.daemons) {
                std::vector<DaemonLocation> &view = fleet.views[self.host];
                std::ranges::shuffle(view, random);
                for (std::size_t lacked = 0; lacked < count / 10; ++lacked)
                    view.erase(view.begin() + (view.front() == self ? 1 : 0));
            }
            fleet.run(16.0, 5.3, 60s, 300ms);
            BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(5.3),
                       count << " daemons, trial " << trial << ": " << fleet.mostInWindow());
        }
    }
}
