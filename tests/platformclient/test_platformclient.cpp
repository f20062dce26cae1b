#define BOOST_TEST_MODULE platformclient

#include "process/platformclient.h"
#include "process/platformerror.h"
#include "standinprocess/childprocess.h"
#include "standinprocess/synchttpclient.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

namespace {

/** The client, a platform process that it calls, and calls that block until their result. */
struct Fixture
{
    void faults(const std::string &body)
    {
        BOOST_REQUIRE(http.post(process.address("a") + "/_faults", body).status == 200);
    }

    /**
     * Calls \a start with a handler, and runs the loop until the handler has received the result.
     */
    template<typename Result, typename Start>
    Result await(Start start)
    {
        std::optional<Result> result;
        start([&result](Result end) { result = std::move(end); });
        BOOST_TEST(!result.has_value());
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        BOOST_REQUIRE(result.has_value());
        return *std::move(result);
    }

    TransactOutcome transact(const Transaction &transaction)
    {
        return await<TransactOutcome>(
            [&](const auto &handler) { client.transact(transaction, handler); });
    }

    Settlement settle(const Transaction &transaction)
    {
        return await<Settlement>([&](const auto &handler) { client.settle(transaction, handler); });
    }

    RowsResult read(const RowId &id)
    {
        return await<RowsResult>([&](const auto &handler) { client.read({id}, handler); });
    }

    bulrush::test::ChildProcess process{BULRUSH_BINARY_DIR "/platform-standin",
                                        {"--end-with-parent", "--listen", "a=127.0.0.1:0"}};
    bulrush::test::SyncHttpClient http;
    asio::io_context loop;
    HttpClient fetcher{loop};
    PlatformClient client{fetcher, {"http://" + process.address("a"), 20s}};
};

Transaction write(const std::string &id, std::uint64_t version, const std::string &writer = "me")
{
    const RowId place{"t", "k"};
    Json::Value value{Json::objectValue};
    value["holder"] = writer;
    return {TransactionId{id}, Incarnation{writer}, {{place, version}}, {{place, value}}};
}

template<typename Error>
std::error_code errorOf(const TransactOutcome &outcome)
{
    BOOST_REQUIRE(std::holds_alternative<Error>(outcome));
    return std::get<Error>(outcome).error;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(platformclient, Fixture)

BOOST_AUTO_TEST_CASE(commits_and_conflicts)
{
    const TransactOutcome first = transact(write("r1", 0));
    BOOST_REQUIRE(std::holds_alternative<Committed>(first));
    BOOST_TEST(std::get<Committed>(first).versions == std::vector<std::uint64_t>{1});

    const TransactOutcome second = transact(write("r2", 0, "you"));
    BOOST_REQUIRE(std::holds_alternative<Conflict>(second));
    BOOST_TEST(isWrittenBy(std::get<Conflict>(second).rows.at(0), write("r1", 0)));
    BOOST_TEST(read({"t", "k"}).rows.at(0).value["holder"].asString() == "me");
    BOOST_TEST(read({"t", "none"}).rows.at(0).version == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_as_mine)
{
    transact(write("r1", 0));
    faults(R"({"listener":"a","loseAnswers":1})");
    BOOST_TEST(errorOf<Unknown>(transact(write("r2", 1)))
               == make_error_code(PlatformError::ConnectionLost));
    BOOST_TEST(std::holds_alternative<SettledCommitted>(settle(write("r2", 1))));
    BOOST_TEST(errorOf<Unknown>(transact(write("r2", 1)))
               == make_error_code(PlatformError::AlreadyApplied));
    BOOST_TEST(read({"t", "k"}).rows.at(0).version == 2U);
}

BOOST_AUTO_TEST_CASE(a_write_that_was_not_served_stays_unknown_until_another_writes)
{
    faults(R"({"listener":"a","mode":"down"})");
    BOOST_TEST(errorOf<Unknown>(transact(write("r1", 0)))
               == make_error_code(PlatformError::ConnectionLost));
    const Settlement unread = settle(write("r1", 0));
    BOOST_REQUIRE(std::holds_alternative<StillUnknown>(unread));
    BOOST_TEST(std::get<StillUnknown>(unread).error
               == make_error_code(PlatformError::ConnectionLost));

    faults(R"({"listener":"a","mode":"none"})");
    const Settlement unchanged = settle(write("r1", 0));
    BOOST_REQUIRE(std::holds_alternative<StillUnknown>(unchanged));
    BOOST_TEST(std::get<StillUnknown>(unchanged).error
               == make_error_code(PlatformError::RowsUnchanged));
    transact(write("r9", 0, "you"));
    BOOST_TEST(std::holds_alternative<SettledSuperseded>(settle(write("r1", 0))));
}

BOOST_AUTO_TEST_CASE(a_slow_platform_leaves_it_unknown)
{
    faults(R"({"listener":"a","mode":"slow","slowMs":3600000})");
    PlatformClient hasty{fetcher, {"http://" + process.address("a"), 1500ms}};
    const auto outcome = await<TransactOutcome>(
        [&](const auto &handler) { hasty.transact(write("r1", 0), handler); });
    BOOST_TEST(errorOf<Unknown>(outcome) == make_error_code(PlatformError::TimedOut));
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_gone_refuses)
{
    process.kill();
    BOOST_TEST(errorOf<Refused>(transact(write("r1", 0)))
               == make_error_code(PlatformError::NotReached));
    BOOST_TEST(read({"t", "k"}).error == make_error_code(PlatformError::NotReached));
}

BOOST_AUTO_TEST_CASE(scans_in_order)
{
    Transaction both = write("r1", 0);
    both.conditions.clear();
    both.writes.push_back({{"t", "j"}, Json::objectValue});
    transact(both);
    const auto scanned =
        await<RowsResult>([&](const auto &handler) { client.scan("t", "", "", 10, handler); });
    BOOST_REQUIRE(scanned.rows.size() == 2U);
    BOOST_TEST(scanned.rows[0].id.key == "j");
    const auto rest =
        await<RowsResult>([&](const auto &handler) { client.scan("t", "", "j", 10, handler); });
    BOOST_TEST(rest.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(stores_objects)
{
    const auto put = [this](const std::string &body) {
        return await<std::error_code>(
            [&](const auto &handler) { client.putObject("assignment/1", body, handler); });
    };
    const auto get = [this](const std::string &name) {
        return await<ObjectResult>([&](const auto &handler) { client.getObject(name, handler); });
    };
    const std::string large(std::size_t{1024} * 1024, 'x');
    BOOST_TEST(!put(large));
    BOOST_TEST(!put(large));
    BOOST_TEST(put("other") == make_error_code(PlatformError::NotChangeable));
    BOOST_TEST((get("assignment/1").body == large));
    BOOST_TEST(get("assignment/2").error == make_error_code(PlatformError::NotFound));
}

BOOST_AUTO_TEST_CASE(lists_hosts)
{
    http.post(process.address("a") + "/_hosts",
              R"({"hosts":[{"name":"h1","domain":"antwerp","kind":"entry","state":"leaving",
                            "address":"10.0.0.1"},{"name":"h2","kind":"printer"}]})");
    const auto listed = await<HostsResult>([&](const auto &handler) { client.hosts(handler); });
    BOOST_TEST(!listed.error);
    BOOST_TEST(listed.ignoredCount == 1U);
    BOOST_REQUIRE(listed.hosts.size() == 1U);
    BOOST_TEST((listed.hosts[0]
                == ListedHost{"h1", "antwerp", ListedHost::Kind::Entry, ListedHost::State::Leaving,
                              "10.0.0.1"}));
}

BOOST_AUTO_TEST_SUITE_END()
