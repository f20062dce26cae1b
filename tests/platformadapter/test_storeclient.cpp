#define BOOST_TEST_MODULE StoreClient

#include "platform/storeclient.h"

#include "httpclient/scriptedserver.h"
#include "process/scalartype.h"
#include "standinprocess/childprocess.h"
#include "standinprocess/synchttpclient.h"
#include "support/storeversions.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bulrush;
using namespace bulrush::platform;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

Endpoint endpointOf(const ScriptedServer &server)
{
    const std::string url = server.url("");
    return *io::endpoint(io::PortZero::Refused).parse(url.substr(std::string{"http://"}.size()));
}

struct Fixture
{
    ChildProcess process{std::string{BULRUSH_BINARY_DIR} + "/store-standin",
                         {"--listen", "one=127.0.0.1:0", "--listen", "control=127.0.0.1:0"}};
    asio::io_context loop;
    io::ServerClient client{loop};
    StoreClient store{client, *io::endpoint(io::PortZero::Refused).parse(process.address("one"))};
    SyncHttpClient http;

    template<typename Outcome>
    Outcome await(const std::function<void(std::function<void(Outcome)>)> &start)
    {
        std::optional<Outcome> outcome;
        start([&](Outcome received) { outcome = std::move(received); });
        loop.restart();
        while (!outcome && loop.run_one() > 0) { }
        BOOST_REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }

    RowsOutcome read(const std::string &table)
    {
        return await<RowsOutcome>([&](auto handler) { store.read(table, handler); });
    }

    RowsOutcome follow(const StoreVersion &version, Duration wait)
    {
        return await<RowsOutcome>([&](auto handler) { store.follow("t", version, wait, handler); });
    }

    CommitOutcome commit(std::vector<ConditionalWrite> writes)
    {
        return await<CommitOutcome>([&](auto handler) { store.commit({"t", writes}, handler); });
    }

    void control(const std::string &json)
    {
        http.post(process.address("control") + "/_control", json);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(commitsConditionallyAndReads, Fixture)
{
    const CommitOutcome firstCommit = commit({{"a", 0, "one\n\x01"}, {"b", 0, "two"}});
    BOOST_TEST(!firstCommit.error);
    BOOST_TEST(commit({{"a", 0, "again"}}).error == StoreError::ConditionFailed);
    BOOST_TEST(
        commit({{"a", firstCommit.version.number, "", RowChange::None}, {"c", 7, "no"}}).error
        == StoreError::ConditionFailed);
    BOOST_TEST(
        !commit({{"a", firstCommit.version.number, "", RowChange::None}, {"c", 0, "yes"}}).error);
    BOOST_TEST(!commit({{"b", firstCommit.version.number, "", RowChange::Remove}}).error);
    const RowsOutcome rows = read("t");
    BOOST_TEST(!rows.error);
    BOOST_REQUIRE(rows.rows.size() == 2U);
    BOOST_TEST(rows.rows[0].value == "one\n\x01");
    BOOST_TEST(rows.rows[1].key == "c");
    BOOST_TEST(read("another").rows.empty());
}

BOOST_FIXTURE_TEST_CASE(readsTableOfManyPages, Fixture)
{
    for (int page = 0; page < 12; ++page) {
        std::vector<ConditionalWrite> writes;
        for (int i = 0; i < 100; ++i)
            writes.push_back({"k" + std::to_string(page * 100 + i), 0, "v"});
        BOOST_TEST(!commit(writes).error);
    }
    BOOST_TEST(read("t").rows.size() == 1200U);
}

BOOST_FIXTURE_TEST_CASE(readsKeysThatContinueTheLastKeyOfAPage, Fixture)
{
    // The store answers with pages of 500 rows, so that the first one ends with the key "last".
    std::vector<ConditionalWrite> writes;
    for (int i = 0; i < 499; ++i) {
        writes.push_back({"a" + std::to_string(1000 + i), 0, "v"});
        if (writes.size() == 100 || i == 498) {
            BOOST_TEST(!commit(writes).error);
            writes.clear();
        }
    }
    const std::string last = "last";
    BOOST_TEST(!commit({{last, 0, "v"},
                        {last + '\0', 0, "v"},
                        {last + '\x01', 0, "v"},
                        {last + "\x01x", 0, "v"}})
                    .error);
    const RowsOutcome rows = read("t");
    BOOST_REQUIRE(rows.rows.size() == 503U);
    BOOST_TEST(rows.rows[499].key == last);
    BOOST_TEST((rows.rows[500].key == last + '\0'));
    BOOST_TEST((rows.rows[501].key == last + '\x01'));
}

BOOST_AUTO_TEST_CASE(brokenAnswerLeavesTheOutcomeOfACommitUnknown)
{
    const std::string body = R"({"rowVersion":4,"nowS":1.0})";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::vector<std::string> heads{
        "HTTP/1.1 000 OK\r\n" + length,
        "HTTP/1.1 0503 Busy\r\n" + length,
        "HTTP/1.1 503 Busy\r\nSome Name: x\r\n" + length,
        "HTTP/1.1 200 OK\r\nSome Name: x\r\n" + length,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
    };
    for (const std::string &head : heads) {
        asio::io_context loop;
        ScriptedServer server{loop,
                              [&](ScriptedServer::Socket &socket, int) -> asio::awaitable<void> {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(socket, head + "\r\n" + body);
                              }};
        io::ServerClient client{loop};
        StoreClient store{client, endpointOf(server)};
        std::optional<CommitOutcome> outcome;
        store.commit({"t", {{"a", 0, "1"}}},
                     [&](CommitOutcome received) { outcome = std::move(received); });
        while (!outcome && loop.run_one() > 0) { }
        BOOST_REQUIRE(outcome.has_value());
        BOOST_TEST(outcome->error == StoreError::Unknown, head);
    }
}

BOOST_AUTO_TEST_CASE(truncatedPageWithoutNewRowsIsABadAnswer)
{
    const std::string row = R"({"table":"t","part":"","key":"a","value":"dg==","rowVersion":3})";
    const std::vector<std::pair<std::string, std::size_t>> pages{{"", 1}, {row, 2}};
    for (const auto &[rows, calls] : pages) {
        asio::io_context loop;
        std::size_t answered = 0;
        const std::string body =
            R"({"rows":[)" + rows + R"(],"truncated":true,"rowVersion":4,"nowS":1.0})";
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        ScriptedServer server{loop,
                              [&](ScriptedServer::Socket &socket, int) -> asio::awaitable<void> {
                                  std::string buffer;
                                  for (;;) {
                                      co_await ScriptedServer::readHead(socket, buffer);
                                      ++answered;
                                      co_await ScriptedServer::write(socket, answer);
                                  }
                              }};
        io::ServerClient client{loop};
        StoreClient store{client, endpointOf(server)};
        std::optional<RowsOutcome> outcome;
        store.read("t", [&](RowsOutcome received) { outcome = std::move(received); });
        while (!outcome && loop.run_one() > 0) { }
        BOOST_REQUIRE(outcome.has_value());
        BOOST_TEST(outcome->error == StoreError::BadAnswer);
        BOOST_TEST(answered == calls);
    }
}

BOOST_FIXTURE_TEST_CASE(followsChanges, Fixture)
{
    const CommitOutcome initialCommit = commit({{"a", 0, "1"}});
    const RowsOutcome unchanged = follow(initialCommit.version, 100ms);
    BOOST_TEST(!unchanged.error);
    BOOST_TEST(unchanged.rows.empty());
    commit({{"a", initialCommit.version.number, "", RowChange::Remove}});
    const RowsOutcome changed = follow(initialCommit.version, 5s);
    BOOST_REQUIRE(changed.rows.size() == 1U);
    BOOST_TEST(changed.rows[0].isRemoved);
    BOOST_TEST(changed.version > initialCommit.version);
    control(R"({"dropHistory":true})");
    BOOST_TEST(follow(initialCommit.version, 1s).error == StoreError::HistoryExpired);
}

BOOST_FIXTURE_TEST_CASE(distinguishesNotExecutedFromUnknown, Fixture)
{
    const auto commitWith = [&](const std::string &faults) {
        control(R"({"faults":{"entrance":"one",)" + faults + "}}");
        return commit({{"x", 0, "1"}}).error;
    };
    BOOST_TEST(commitWith(R"("mode":"busy")") == StoreError::NotExecuted);
    BOOST_TEST(commitWith(R"("mode":"many")") == StoreError::NotExecuted);
    BOOST_TEST(commitWith(R"("mode":"reset")") == StoreError::Unknown);
    BOOST_TEST(commitWith(R"("mode":"silent")") == StoreError::Unknown);
    BOOST_TEST(commitWith(R"("mode":"ok","loseAnswers":1)") == StoreError::Unknown);
    control(R"({"faults":{"entrance":"one","mode":"ok"}})");
    // The last commit was executed, although its answer was lost.
    BOOST_TEST(read("t").rows.size() == 1U);
    process.kill();
    // Lets the client detect that its idle connections were closed.
    loop.restart();
    loop.run_for(100ms);
    BOOST_TEST(commit({{"y", 0, "1"}}).error == StoreError::NotExecuted);
}

BOOST_FIXTURE_TEST_CASE(followFailsIfTheStoreWasRestored, Fixture)
{
    commit({{"a", 0, "1"}});
    control(R"({"keepCopy":true})");
    const CommitOutcome lost = commit({{"b", 0, "2"}});
    control(R"({"restoreCopy":true})");
    BOOST_TEST(follow(lost.version, 100ms).error == StoreError::Restored);
    // The store has such a version again, which is not the one that the caller knows.
    const CommitOutcome again = commit({{"c", 0, "3"}});
    BOOST_TEST(again.version.number == lost.version.number);
    BOOST_TEST(again.version > lost.version);
    BOOST_TEST(follow(lost.version, 100ms).error == StoreError::Restored);
    const RowsOutcome rows = read("t");
    BOOST_TEST(rows.version == again.version);
    BOOST_TEST(rows.rows.size() == 2U);
    BOOST_TEST(!follow(rows.version, 100ms).error);
    BOOST_TEST(follow({rows.version.era + 1, 1}, 100ms).error == StoreError::OutdatedEra);
}
