#define BOOST_TEST_MODULE MemoryAccount

#include "admission/memoryholder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t smallestHost = 120'000'000;
constexpr std::uint64_t largestBody = std::uint64_t{64} << 20;
constexpr std::uint64_t megabyte = std::uint64_t{1} << 20;
const Instant start{100s};

/** Holders of a full account, whose peers move what \a moved says. */
struct CrowdFixture
{
    struct Peer
    {
        std::optional<std::uint64_t> moved = 0;
        bool isEnded = false;
        MemoryHolder holder;
    };

    /** Lets peers take \a bytes each until there is no room; the first one gets number 0. */
    void fill(MemoryUse use, std::uint64_t bytes)
    {
        while (add(use, bytes)) { }
    }

    bool add(MemoryUse use, std::uint64_t bytes)
    {
        auto peer = std::make_unique<Peer>();
        peer->holder = MemoryHolder{account, use};
        if (!peer->holder.growTo(bytes))
            return false;
        peer->holder.setTransfer({[raw = peer.get()] { return raw->moved; },
                                  [raw = peer.get()] {
                                      raw->isEnded = true;
                                  }});
        peers.push_back(std::move(peer));
        return true;
    }

    /** Updates the transfers for the time in which a peer stalls; \a act runs before each. */
    void pass(const std::function<void()> &act = [] {})
    {
        for (Duration passed{}; passed <= TransferWatch::stallPeriod; passed += 1s) {
            act();
            account->updateTransfers(now);
            now += 1s;
        }
    }

    int endedCount() const
    {
        return static_cast<int>(
            std::ranges::count_if(peers, [](const auto &peer) { return peer->isEnded; }));
    }

    std::shared_ptr<MemoryAccount> account = std::make_shared<MemoryAccount>(smallestHost);
    std::vector<std::unique_ptr<Peer>> peers;
    Instant now = start;
};

} // namespace

BOOST_AUTO_TEST_CASE(theLargestBodyHasRoomOnTheSmallestHost)
{
    const auto account = std::make_shared<MemoryAccount>(smallestHost);
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(body.growTo(largestBody));
    BOOST_TEST(account->held() == largestBody);
    BOOST_TEST(account->capacity() < smallestHost - MemoryAccount::minReserve + 1);
}

BOOST_AUTO_TEST_CASE(largeBodiesLeaveRoomForAnswersAndSmallHolders)
{
    const auto account = std::make_shared<MemoryAccount>(smallestHost);
    std::vector<MemoryHolder> bodies;
    do
        bodies.emplace_back(account, MemoryUse::Request);
    while (bodies.back().growTo(megabyte));
    MemoryHolder answer{account, MemoryUse::Answer};
    BOOST_TEST(answer.growTo(MemoryAccount::answerShare));
    BOOST_TEST(!answer.growTo(MemoryAccount::answerShare + 2 * megabyte));
    BOOST_TEST(answer.bytes() == MemoryAccount::answerShare);
    MemoryHolder small{account, MemoryUse::Request};
    BOOST_TEST(small.growTo(MemoryAccount::smallHolder));
    BOOST_TEST(!small.growTo(MemoryAccount::smallHolder + 2 * megabyte));
    BOOST_TEST(account->refusals(MemoryUse::Request) == 2U);
    BOOST_TEST(account->refusals(MemoryUse::Answer) == 1U);
}

BOOST_AUTO_TEST_CASE(whatIsHeldIsGivenBackOnce)
{
    const auto account = std::make_shared<MemoryAccount>(smallestHost);
    {
        MemoryHolder first{account, MemoryUse::Request};
        BOOST_TEST(first.growTo(megabyte));
        MemoryHolder second = std::move(first);
        MemoryHolder third;
        third = std::move(second);
        BOOST_TEST(third.bytes() == megabyte);
        BOOST_TEST(account->held() == megabyte);
    }
    BOOST_TEST(account->held() == 0U);
}

BOOST_AUTO_TEST_CASE(withoutAnAccountAnythingCanBeHeld)
{
    MemoryHolder holder;
    BOOST_TEST(holder.growTo(smallestHost));
    BOOST_TEST(holder.bytes() == smallestHost);
}

// Bodies that stop short of their end kept their room until their time-outs.
BOOST_FIXTURE_TEST_CASE(stalledBodiesGiveWayToAnotherOne, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(!body.growTo(3 * megabyte));
    pass();
    BOOST_TEST(body.growTo(3 * megabyte));
    BOOST_TEST(endedCount() == 3);
    BOOST_TEST(account->evictionCount() == 3U);
    const std::uint64_t held = account->held();
    peers.clear();
    BOOST_TEST(account->held() == 3 * megabyte);
    BOOST_TEST(held > 3 * megabyte);
}

BOOST_FIXTURE_TEST_CASE(bodiesThatMoveDoNotGiveWay, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    pass([this] {
        for (const auto &peer : peers)
            *peer->moved += TransferWatch::minProgress;
    });
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(!body.growTo(megabyte));
    BOOST_TEST(endedCount() == 0);
}

// A time-out that each byte starts again is no bound.
BOOST_FIXTURE_TEST_CASE(bodiesThatMoveByBytesGiveWay, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    pass([this] {
        for (const auto &peer : peers)
            ++*peer->moved;
    });
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(body.growTo(megabyte));
    BOOST_TEST(endedCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(holdersThatDoNotWaitForTheirPeerDoNotGiveWay, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    for (const auto &peer : peers)
        peer->moved.reset();
    pass();
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(!body.growTo(megabyte));
    peers.front()->moved = 0;
    peers.back()->holder.clearTransfer();
    pass();
    BOOST_TEST(body.growTo(megabyte));
    BOOST_TEST(peers.front()->isEnded);
    BOOST_TEST(endedCount() == 1);
}

// The request of an answer has run, so the answer is worth more than a request.
BOOST_FIXTURE_TEST_CASE(answersGiveWayToAnswersOnly, CrowdFixture)
{
    fill(MemoryUse::Answer, megabyte);
    pass();
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(!body.growTo(megabyte));
    BOOST_TEST(endedCount() == 0);
    MemoryHolder answer{account, MemoryUse::Answer};
    BOOST_TEST(answer.growTo(megabyte));
    BOOST_TEST(endedCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(requestsGiveWayToAnswersFirst, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    const std::size_t requests = peers.size();
    fill(MemoryUse::Answer, megabyte);
    BOOST_REQUIRE(peers.size() > requests);
    pass();
    MemoryHolder answer{account, MemoryUse::Answer};
    BOOST_TEST(answer.growTo(requests * megabyte));
    BOOST_TEST(endedCount() == static_cast<int>(requests));
    BOOST_TEST(!peers.back()->isEnded);
}

BOOST_FIXTURE_TEST_CASE(whoHasStalledLongestGivesWayFirst, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    pass([this] {
        for (const auto &peer : peers)
            *peer->moved += peer == peers[5] ? 0 : TransferWatch::minProgress;
    });
    pass();
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(body.growTo(megabyte));
    BOOST_TEST(peers[5]->isEnded);
    BOOST_TEST(endedCount() == 1);
}

// A body that grows must not give way to itself.
BOOST_FIXTURE_TEST_CASE(stalledHolderThatGrowsKeepsItsRoom, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    for (const auto &peer : peers)
        peer->moved.reset();
    peers.front()->moved = 0;
    pass();
    BOOST_TEST(!peers.front()->holder.growTo(2 * megabyte));
    BOOST_TEST(peers.front()->holder.bytes() == megabyte);
    BOOST_TEST(endedCount() == 0);
}

BOOST_FIXTURE_TEST_CASE(movedHolderKeepsItsTransfer, CrowdFixture)
{
    fill(MemoryUse::Request, megabyte);
    MemoryHolder moved = std::move(peers.front()->holder);
    pass();
    MemoryHolder body{account, MemoryUse::Request};
    BOOST_TEST(body.growTo(megabyte));
    BOOST_TEST(endedCount() == 1);
}
