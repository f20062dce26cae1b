#define BOOST_TEST_MODULE MemoryAccount

#include "admission/memoryholder.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <utility>
#include <vector>

using namespace bulrush;

namespace {

constexpr std::uint64_t smallestHost = 120'000'000;
constexpr std::uint64_t largestBody = std::uint64_t{64} << 20;
constexpr std::uint64_t megabyte = std::uint64_t{1} << 20;

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
