#define BOOST_TEST_MODULE EntryTroubles

#include "entryfleet/refusalfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Servers, daemons and paths in random trouble, one after another and together. */
class RandomTroubles
{
public:
    RandomTroubles(RefusalFleet &fleet, PayingCallers &callers, unsigned seed)
        : m_fleet(fleet)
        , m_callers(callers)
        , m_random(seed)
    { }

    void playFor(std::chrono::seconds span)
    {
        const auto end = RefusalFleet::Clock::now() + span;
        while (RefusalFleet::Clock::now() < end) {
            playOne();
            m_fleet.runFor(std::chrono::milliseconds{number(100, 900)});
        }
    }

    /** Ends what would last: lost paths, pauses and limits. */
    void end()
    {
        m_fleet.cutFromServers({});
        for (const std::string &id : m_fleet.allServers()) {
            if (!m_fleet.server(id).isRunning())
                continue;
            m_fleet.askForBackoff(id, "");
            m_fleet.nameLimit(id, "");
        }
    }

private:
    using Server = const std::string &;

    void playOne()
    {
        const std::vector<std::pair<std::string, std::function<void()>>> troubles{
            {"poison",
             [this] {
                 m_callers.poison();
             }},
            {"lose paths",
             [this] {
                 losePaths(RefusalFleet::Partition::AllConnections);
             }},
            {"reset paths",
             [this] {
                 losePaths(RefusalFleet::Partition::ResetOpen);
             }},
            {"restore paths",
             [this] {
                 m_fleet.cutFromServers({});
             }},
            {"ask for a pause",
             [this] {
                 atServer([this](Server id) { pause(id, "0.4"); });
             }},
            {"end pauses",
             [this] {
                 endPauses();
             }},
            {"name a limit",
             [this] {
                 atServer([this](Server id) { limit(id); });
             }},
            {"answer twice",
             [this] {
                 spoil("twice");
             }},
            {"lose answers",
             [this] {
                 spoil("lose");
             }},
            {"cut answers",
             [this] {
                 spoil("cut");
             }},
            {"refuse twice",
             [this] {
                 refuse(true);
             }},
            {"refuse once",
             [this] {
                 refuse(false);
             }},
            {"freeze a daemon",
             [this] {
                 freeze();
             }},
            {"kill a daemon",
             [this] {
                 m_fleet.killAndStart(anyHost());
             }},
            {"stop a daemon",
             [this] {
                 m_fleet.stopAndStart(anyHost());
             }},
            {"kill a server",
             [this] {
                 atServer([this](Server id) { kill(id); });
             }},
        };
        const auto &[name, play] =
            troubles[static_cast<std::size_t>(number(0, static_cast<int>(troubles.size()) - 1))];
        std::cout << name << std::endl;
        play();
    }

    void losePaths(RefusalFleet::Partition kind)
    {
        std::vector<std::string> cut = m_fleet.hosts;
        std::ranges::shuffle(cut, m_random);
        cut.resize(static_cast<std::size_t>(number(1, static_cast<int>(cut.size()) - 1)));
        m_fleet.cutFromServers(cut, kind);
    }

    void pause(Server id, const std::string &retryAfter)
    {
        m_fleet.askForBackoff(id, retryAfter);
    }

    void endPauses()
    {
        for (const std::string &id : m_fleet.allServers()) {
            if (m_fleet.server(id).isRunning())
                m_fleet.askForBackoff(id, "");
        }
    }

    void limit(Server id)
    {
        m_fleet.nameLimit(id, std::to_string(number(2, 20)) + ".0");
    }

    void spoil(const std::string &mode)
    {
        for (int i = 0; i < 3; ++i)
            atServer([this, &mode](Server id) { m_fleet.injectAnswerFaults(id, mode, 10); });
    }

    void refuse(bool isTwice)
    {
        for (int i = 0; i < 3; ++i)
            atServer([this, isTwice](Server id) { m_fleet.refuseRequests(id, 10, isTwice); });
    }

    void freeze()
    {
        m_fleet.freeze(anyHost(), std::chrono::milliseconds{number(100, 2500)});
    }

    void kill(Server id)
    {
        m_fleet.server(id).kill();
    }

    /** Calls \a action for a random server, unless that one is down. */
    void atServer(const std::function<void(Server)> &action)
    {
        const std::vector<std::string> all = m_fleet.allServers();
        const std::string &id =
            all[static_cast<std::size_t>(number(0, static_cast<int>(all.size()) - 1))];
        if (m_fleet.server(id).isRunning())
            action(id);
    }

    std::string anyHost()
    {
        return m_fleet
            .hosts[static_cast<std::size_t>(number(0, static_cast<int>(m_fleet.hosts.size()) - 1))];
    }

    int number(int least, int most)
    {
        return std::uniform_int_distribution<int>{least, most}(m_random);
    }

    RefusalFleet &m_fleet;
    PayingCallers &m_callers;
    std::mt19937 m_random;
};

constexpr unsigned defaultSeed = 7;

/** \returns the seed in BULRUSH_REFUSALS_SEED, or the default one, and prints it. */
unsigned troubleSeed()
{
    const char *text = std::getenv("BULRUSH_REFUSALS_SEED");
    const unsigned seed = text != nullptr ? static_cast<unsigned>(std::stoul(text)) : defaultSeed;
    std::cout << "BULRUSH_REFUSALS_SEED=" << seed << std::endl;
    return seed;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(noPaymentIsRefusedAfterItRanInRandomTroubles, RefusalFleet)
{
    PayingCallers callers{*this, hosts};
    RandomTroubles troubles{*this, callers, troubleSeed()};
    troubles.playFor(22s);
    troubles.end();
    runFor(3s);
    const PayingCallers::Outcomes outcomes = callers.stop();
    std::cout << "sent " << outcomes.sent << ", served " << outcomes.served << ", refused "
              << outcomes.refused << std::endl;
    BOOST_TEST(outcomes.served > 0);
    BOOST_TEST(outcomes.refused > 0);
}
