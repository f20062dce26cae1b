#define BOOST_TEST_MODULE ServerDirectory

#include "process/serverdirectory.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

ServerRecord record(const std::string &id, bool isDraining = false)
{
    return {ServerName{id}, ServiceName{"s"}, {"10.0.0.1", 80}, DomainName{"a"}, 3, isDraining, {}};
}

ServerRecord numbered(ServerRecord record, std::uint64_t sequence)
{
    record.sequence = sequence;
    return record;
}

bool isReady(const ServerDirectory &directory, const std::string &id)
{
    const KnownServer *server = directory.find(ServerName{id});
    return server && server->isReady();
}

} // namespace

BOOST_AUTO_TEST_CASE(drainingServerIsNotReady)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    BOOST_TEST(isReady(directory, "one"));
    directory.applyRecord(record("one", true), start + 1s, start + 900ms);
    directory.applyRecord(record("one", true), start + 2s, start + 2s);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST((directory.find(ServerName{"one"})->drainsAfter == start + 900ms));
}

BOOST_AUTO_TEST_CASE(retainsAServerAfterItsRecordIsRemoved)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    directory.remove(ServerName{"one"}, start + 1s);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST((directory.find(ServerName{"one"})->removedSince == start + 1s));
    directory.advance(start + 20s);
    BOOST_TEST(directory.find(ServerName{"one"}) != nullptr);
    directory.advance(start + 40s);
    BOOST_TEST(directory.find(ServerName{"one"}) == nullptr);
}

BOOST_AUTO_TEST_CASE(recordsThatExpiredInAnOutageMayReappear)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    directory.applyRecord(record("two"), start, start);
    const std::vector<ServerRecord> none;
    directory.applyAll(none, true, start + 5s, start + 5s);
    BOOST_TEST(isReady(directory, "one"));
    directory.applyRecord(record("one"), start + 6s, start + 6s);
    BOOST_TEST(directory.advance(start + 8s));
    BOOST_TEST(isReady(directory, "one"));
    BOOST_TEST(!isReady(directory, "two"));
}

BOOST_AUTO_TEST_CASE(serverWhoseAddressAnswersForAnotherHasStopped)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    BOOST_TEST(directory.markStopped(ServerName{"one"}, start + 1s));
    BOOST_TEST(!directory.markStopped(ServerName{"one"}, start + 2s));
    directory.applyRecord(record("one"), start + 2s, start + 2s);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST(!directory.markStopped(ServerName{"nobody"}, start));
}

BOOST_AUTO_TEST_CASE(withoutAnOutageAMissingServerIsRemovedAtOnce)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    const std::vector<ServerRecord> others{record("two")};
    directory.applyAll(others, false, start + 1s, start + 1s);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST(isReady(directory, "two"));
}

BOOST_AUTO_TEST_CASE(laterRunOfAServerSupersedesTheEarlierOne)
{
    const auto run = [](const std::string &id) {
        ServerRecord result = record(id);
        result.recordName = ServerName{"one"};
        return result;
    };
    ServerDirectory directory;
    directory.applyRecord(record("two"), start, start);
    directory.applyRecord(run("one@1"), start, start);
    directory.applyRecord(run("one@2"), start + 1s, start + 1s);
    BOOST_TEST(!isReady(directory, "one@1"));
    BOOST_TEST(isReady(directory, "one@2"));
    BOOST_TEST(isReady(directory, "two"));
    BOOST_TEST(directory.latestRunOf(ServerName{"one@1"})->record.id.value() == "one@2");
    directory.applyRecord(run("one@3"), start + 2s, start + 2s);
    BOOST_TEST(directory.latestRunOf(ServerName{"one@1"})->record.id.value() == "one@3");
    // An outdated record of the first run changes nothing.
    directory.applyRecord(run("one@1"), start + 3s, start + 3s);
    BOOST_TEST(!isReady(directory, "one@1"));
    BOOST_TEST(isReady(directory, "one@3"));
    directory.remove(ServerName{"one"}, start + 4s);
    BOOST_TEST(!isReady(directory, "one@3"));
    BOOST_TEST(isReady(directory, "two"));
}

BOOST_AUTO_TEST_CASE(evacuatedDomainHasNoReadyServers)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    ServerRecord other = record("other");
    other.domain = DomainName{"b"};
    directory.applyRecord(other, start, start);
    directory.applyEvacuation(DomainName{"a"}, start + 2s, start + 1s);
    directory.applyEvacuation(DomainName{"a"}, start + 3s, start + 3s);
    directory.applyEvacuation(DomainName{"nowhere"}, start + 3s, start + 3s);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST(isReady(directory, "other"));
    BOOST_TEST((directory.find(ServerName{"one"})->evacuatedAfter == start + 1s));
    BOOST_TEST(directory.evacuations().size() == 2U);
    // Servers that register there meanwhile are not used either.
    directory.applyRecord(record("new"), start + 4s, start + 4s);
    BOOST_TEST(!isReady(directory, "new"));
    directory.applyRecord(record("one"), start + 4s, start + 4s);
    BOOST_TEST((directory.find(ServerName{"one"})->evacuatedAfter == start + 1s));
    directory.applyReturn(DomainName{"a"}, start + 5s);
    BOOST_TEST(isReady(directory, "one"));
    BOOST_TEST(isReady(directory, "new"));
}

BOOST_AUTO_TEST_CASE(serverIsColdForTheTimeInItsRecord)
{
    ServerDirectory directory;
    directory.setColdStarts({{ServiceName{"s"}, {3s, 5.9}}});
    ServerRecord cold = record("one");
    cold.coldRemaining = 2s;
    directory.applyRecord(cold, start, start);
    const KnownServer *server = directory.find(ServerName{"one"});
    BOOST_TEST(server->coldRate == 5.9);
    BOOST_TEST(server->isCold(start + 1999ms));
    BOOST_TEST(!server->isCold(start + 2s));
    // The same record read again is no news of a later time.
    directory.applyRecord(cold, start + 1s, start + 1s);
    BOOST_TEST(!server->isCold(start + 2s));
    // It becomes cold again.
    cold.coldRemaining = 3s;
    directory.applyRecord(cold, start + 10s, start + 10s);
    BOOST_TEST(server->isCold(start + 12s));
    cold.coldRemaining = 0s;
    directory.applyRecord(cold, start + 11s, start + 11s);
    BOOST_TEST(!server->isCold(start + 11s));
}

BOOST_AUTO_TEST_CASE(serversMayBeColdAfterAnEvacuation)
{
    ServerDirectory directory;
    directory.setColdStarts({{ServiceName{"s"}, {3s, 5.9}}});
    directory.applyRecord(record("one"), start, start);
    directory.applyEvacuation(DomainName{"a"}, start + 1s, start + 1s);
    directory.applyReturn(DomainName{"a"}, start + 9s);
    const KnownServer *server = directory.find(ServerName{"one"});
    BOOST_TEST(server->isCold(start + 11999ms));
    BOOST_TEST(!server->isCold(start + 12s));
    // A record that was written before the server became cold proves nothing.
    ServerRecord rewritten = record("one");
    rewritten.slots = 4;
    directory.applyRecord(rewritten, start + 10s, start + 10s);
    BOOST_TEST(server->isCold(start + 11s));
    // The same holds for a server whose record comes only now.
    directory.applyRecord(record("late"), start + 10s, start + 10s);
    BOOST_TEST(directory.find(ServerName{"late"})->isCold(start + 11s));
}

BOOST_AUTO_TEST_CASE(servicesWithoutColdStartHaveNoLimit)
{
    ServerDirectory directory;
    directory.applyRecord(record("one"), start, start);
    BOOST_TEST(directory.find(ServerName{"one"})->coldRate == 0.0);
    directory.setColdStarts({{ServiceName{"s"}, {3s, 5.9}}});
    BOOST_TEST(directory.find(ServerName{"one"})->coldRate == 5.9);
}

BOOST_AUTO_TEST_CASE(serversMayBeColdAfterAnEvacuationThatWasMissed)
{
    // This daemon was cut off throughout the evacuation, and only receives that it has ended.
    ServerDirectory directory;
    directory.setColdStarts({{ServiceName{"s"}, {3s, 5.9}}});
    directory.applyRecord(record("one"), start, start);
    directory.applyReturn(DomainName{"a"}, start + 9s);
    BOOST_TEST(directory.find(ServerName{"one"})->isCold(start + 11999ms));
    BOOST_TEST(!directory.find(ServerName{"one"})->isCold(start + 12s));
}

BOOST_AUTO_TEST_CASE(serverThatAnnouncedToLeaveIsNotReadyWhateverItsRecordSays)
{
    ServerDirectory directory;
    directory.applyRecord(record("i-1"), start, start);
    BOOST_TEST(directory.find(ServerName{"i-1"})->isReady());
    BOOST_TEST(directory.markLeaving(ServerName{"i-1"}, start + 1s));
    BOOST_TEST(!directory.markLeaving(ServerName{"i-1"}, start + 2s));
    BOOST_TEST(!directory.markLeaving(ServerName{"unknown"}, start + 1s));
    BOOST_TEST(!directory.find(ServerName{"i-1"})->isReady());
    directory.applyRecord(record("i-1"), start + 2s, start + 2s);
    BOOST_TEST(!directory.find(ServerName{"i-1"})->isReady());
}

BOOST_AUTO_TEST_CASE(recordsOfARestoredStoreDoNotBringLeavingServersBack)
{
    ServerDirectory directory;
    const std::vector<ServerRecord> copy{numbered(record("draining"), 4),
                                         numbered(record("gone"), 4)};
    directory.applyAll(copy, false, start, start);
    directory.applyRecord(numbered(record("draining", true), 9), start + 1s, start + 900ms);
    directory.remove(ServerName{"gone"}, start + 1s);
    directory.applyRestored(copy, start + 2s, start + 1s);
    BOOST_TEST(!isReady(directory, "draining"));
    BOOST_TEST((directory.find(ServerName{"draining"})->drainsAfter == start + 900ms));
    BOOST_TEST(!isReady(directory, "gone"));
    // The same records are read again, from the store or another daemon.
    directory.applyAll(copy, false, start + 2500ms, start + 2s);
    BOOST_TEST(!isReady(directory, "draining"));
    BOOST_TEST(!isReady(directory, "gone"));
    // The record of a server that has stopped expires.
    directory.remove(ServerName{"gone"}, start + 4s);
    directory.advance(start + 20s);
    BOOST_TEST(!isReady(directory, "gone"));
}

BOOST_AUTO_TEST_CASE(removedServerReturnsIfItsRecordStaysInARestoredStore)
{
    ServerDirectory directory;
    const std::vector<ServerRecord> copy{numbered(record("one"), 4), numbered(record("two"), 4)};
    directory.applyAll(copy, false, start, start);
    directory.remove(ServerName{"one"}, start + 1s);
    directory.remove(ServerName{"two"}, start + 1s);
    directory.applyRestored(copy, start + 2s, start + 1s);
    directory.applyRecord(numbered(record("two"), 5), start + 2500ms, start + 2400ms);
    BOOST_TEST(isReady(directory, "two"));
    directory.advance(start + 2s + RecordLifetime{}.maxAfterEnd() - 1ms);
    BOOST_TEST(!isReady(directory, "one"));
    BOOST_TEST(directory.advance(start + 2s + RecordLifetime{}.maxAfterEnd()));
    BOOST_TEST(isReady(directory, "one"));
}

BOOST_AUTO_TEST_CASE(serversThatARestoredStoreLacksHaveTimeToRegisterAgain)
{
    ServerDirectory directory;
    directory.applyRecord(numbered(record("late"), 1), start, start);
    directory.applyRecord(numbered(record("lost"), 1), start, start);
    directory.applyRestored({}, start + 1s, start);
    BOOST_TEST(isReady(directory, "late"));
    directory.applyRecord(numbered(record("late"), 2), start + 2s, start + 1s);
    directory.advance(start + 1s + ServerDirectory::reappearanceTimeout);
    BOOST_TEST(isReady(directory, "late"));
    BOOST_TEST(!isReady(directory, "lost"));
}

BOOST_AUTO_TEST_CASE(olderRecordInARestoredStoreDoesNotMakeAServerColdAgain)
{
    ServerDirectory directory;
    ServerRecord cold = numbered(record("one"), 1);
    cold.coldRemaining = 5s;
    directory.applyRecord(cold, start, start);
    directory.applyRecord(numbered(record("one"), 2), start + 5s, start + 5s);
    directory.applyRestored({{cold}}, start + 6s, start + 5s);
    BOOST_TEST(!directory.find(ServerName{"one"})->isCold(start + 6s));
}
