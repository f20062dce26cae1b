#define BOOST_TEST_MODULE KnownAssignments

#include "process/knownassignments.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;

namespace {

const ServiceName service{"s"};

KeyAssignment assignment(std::uint64_t sequence, std::uint64_t era)
{
    KeyAssignment made;
    made.service = service;
    made.sequence = sequence;
    made.era = era;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(rowOfARestoredStoreReplacesNoLaterAssignment)
{
    KnownAssignments known;
    BOOST_TEST(known.applyRow(assignment(7, 1), {1, 70}));
    BOOST_TEST(known.areConfirmed());
    BOOST_TEST(!known.applyRow(assignment(5, 1), {2, 50}));
    BOOST_TEST(known.find(service)->sequence == 7U);
    BOOST_TEST((known.rowVersion(service) == StoreVersion{2, 50}));
    BOOST_TEST(!known.areConfirmed());
    BOOST_TEST(known.applyRow(assignment(1'000'008, 2), {2, 51}));
    BOOST_TEST(known.areConfirmed());
}

BOOST_AUTO_TEST_CASE(sameAssignmentIsUnconfirmedUntilItIsCommittedInTheNewEra)
{
    KnownAssignments known;
    known.applyRow(assignment(7, 1), {1, 70});
    BOOST_TEST(!known.applyRow(assignment(7, 1), {2, 70}));
    BOOST_TEST(!known.areConfirmed());
    BOOST_TEST((known.unconfirmed() == std::vector{service}));
}

BOOST_AUTO_TEST_CASE(lateCommitOfAnEarlierEraUnconfirmsALaterAssignment)
{
    KnownAssignments known;
    known.applyRow(assignment(1'000'008, 2), {2, 51});
    BOOST_TEST(!known.applyRow(assignment(8, 1), {2, 60}));
    BOOST_TEST(known.find(service)->sequence == 1'000'008U);
    BOOST_TEST(!known.areConfirmed());
}

BOOST_AUTO_TEST_CASE(serviceWithoutRowInTheCopyIsUnconfirmed)
{
    KnownAssignments known;
    known.applyRow(assignment(7, 1), {1, 70});
    known.enterEra(2);
    BOOST_TEST(!known.areConfirmed());
    BOOST_TEST((known.rowVersion(service) == StoreVersion{2, 0}));
    known.enterEra(2);
    BOOST_TEST(known.find(service)->sequence == 7U);
}

BOOST_AUTO_TEST_CASE(rememberedAssignmentCountsOnlyIfItIsLater)
{
    KnownAssignments known;
    known.applyRow(assignment(5, 1), {2, 50});
    BOOST_TEST(!known.applyRemembered(assignment(5, 1), 2));
    BOOST_TEST(known.applyRemembered(assignment(6, 1), 2));
    BOOST_TEST(!known.areConfirmed());
    BOOST_TEST(known.laterThan({{service, 5}}).size() == 1U);
    BOOST_TEST(known.laterThan({{service, 6}}).empty());
    BOOST_TEST(known.laterThan({}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(answersOfALaterEraThanTheRowsAreNoticed)
{
    KnownAssignments known;
    known.applyRow(assignment(7, 1), {2, 70});
    BOOST_TEST(known.hasRowsAfter(1));
    BOOST_TEST(!known.hasRowsAfter(2));
}
