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
