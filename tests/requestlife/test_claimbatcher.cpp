#include "process/claimbatcher.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{10s};

KeyedClaimWrite writeOf(ClaimWriteId id, const std::string &key)
{
    return {id, key, WriteClaim{0, {}}};
}

std::vector<ClaimWriteId> sentIds(const ClaimBatchActions &actions)
{
    std::vector<ClaimWriteId> ids;
    for (const ClaimBatchAction &action : actions) {
        if (const auto *batch = std::get_if<SendClaimBatch>(&action)) {
            for (const KeyedClaimWrite &write : batch->writes)
                ids.push_back(write.id);
        }
    }
    return ids;
}

template<typename Event>
std::vector<ClaimWriteId> endedIds(const ClaimBatchActions &actions)
{
    std::vector<ClaimWriteId> ids;
    for (const ClaimBatchAction &action : actions) {
        const auto *ended = std::get_if<ClaimWriteResult>(&action);
        if (ended != nullptr && std::holds_alternative<Event>(ended->event))
            ids.push_back(ended->id);
    }
    return ids;
}

using Ids = std::vector<ClaimWriteId>;

ClaimBatcher threeWaiting()
{
    ClaimBatcher batcher;
    batcher.add(writeOf(1, "a"), start);
    batcher.add(writeOf(2, "b"), start + 1ms);
    batcher.add(writeOf(3, "c"), start + 1ms);
    return batcher;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Batching)

BOOST_AUTO_TEST_CASE(claimsOfAWindowShareATransaction)
{
    ClaimBatcher batcher = threeWaiting();
    BOOST_TEST(batcher.advance(start + 1ms).empty());
    BOOST_TEST((batcher.nextDue() == start + 2ms));
    BOOST_TEST(sentIds(batcher.advance(start + 2ms)) == (Ids{1, 2, 3}));
    const std::vector<std::uint64_t> versions{4, 5, 6};
    BOOST_TEST(endedIds<ClaimWriteCommitted>(batcher.committed(1, versions, start))
               == (Ids{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(conflictOfOneDoesNotFailTheOthers)
{
    ClaimBatcher batcher = threeWaiting();
    batcher.advance(start + 2ms);
    const std::vector<ClaimConflict> conflicts{{"b", {7, ClaimRow{}}}};
    const ClaimBatchActions actions = batcher.conflicted(1, conflicts, start + 3ms);
    BOOST_TEST(endedIds<ClaimWriteConflicted>(actions) == Ids{2});
    BOOST_TEST(sentIds(actions) == (Ids{1, 3}));
}

BOOST_AUTO_TEST_CASE(conflictWithoutARowIsIsolatedByBisection)
{
    ClaimBatcher batcher = threeWaiting();
    batcher.advance(start + 2ms);
    const ClaimBatchActions halves = batcher.conflicted(1, {}, start + 3ms);
    BOOST_TEST(sentIds(halves) == (Ids{2, 3, 1}));
    BOOST_TEST(halves.size() == 2U);
    BOOST_TEST(endedIds<ClaimWriteLost>(batcher.conflicted(3, {}, start + 4ms)) == Ids{1});
}

BOOST_AUTO_TEST_CASE(sameKeyIsNeverInTwoOpenTransactions)
{
    ClaimBatcher batcher;
    batcher.add(writeOf(1, "a"), start);
    batcher.add(writeOf(2, "a"), start);
    BOOST_TEST(sentIds(batcher.advance(start + 2ms)) == Ids{1});
    BOOST_TEST(sentIds(batcher.advance(start + 20ms)) == Ids{});
    const ClaimBatchActions actions = batcher.lost(1, start + 30ms);
    BOOST_TEST(endedIds<ClaimWriteLost>(actions) == Ids{1});
    BOOST_TEST(sentIds(actions) == Ids{2});
}

BOOST_AUTO_TEST_CASE(lostAndUnsentTransactionsAreDistinguished)
{
    ClaimBatcher batcher = threeWaiting();
    batcher.advance(start + 2ms);
    BOOST_TEST(endedIds<ClaimWriteLost>(batcher.lost(1, start)) == (Ids{1, 2, 3}));
    batcher.add(writeOf(4, "a"), start + 3ms);
    batcher.advance(start + 5ms);
    BOOST_TEST(endedIds<ClaimWriteNotSent>(batcher.notSent(2, start)) == Ids{4});
}

BOOST_AUTO_TEST_CASE(writesMissingFromAnAnswerAreLost)
{
    ClaimBatcher batcher = threeWaiting();
    batcher.advance(start + 2ms);
    const std::vector<std::uint64_t> versions{4};
    BOOST_TEST(endedIds<ClaimWriteLost>(batcher.committed(1, versions, start)) == (Ids{2, 3}));
}

BOOST_AUTO_TEST_CASE(waitingWritesAreBounded)
{
    ClaimBatchLimits limits;
    limits.openBatchLimit = 1;
    limits.waitingLimit = 5;
    ClaimBatcher batcher{limits};
    batcher.add(writeOf(0, "first"), start);
    batcher.advance(start + 2ms);
    Ids refused;
    for (ClaimWriteId id = 1; id <= 7; ++id) {
        for (const ClaimWriteId ended :
             endedIds<ClaimWriteNotSent>(batcher.add(writeOf(id, std::to_string(id)), start + 3ms)))
            refused.push_back(ended);
    }
    BOOST_TEST(refused == (Ids{6, 7}));
    BOOST_TEST(batcher.waitingCount() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
