#define BOOST_TEST_MODULE EntryAnswers

#include "entryfleet/scriptedfleet.h"
#include "entryfleet/servingfleet.h"
#include "standinprocess/rawconnection.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

constexpr const char *attemptsSentMetric = "bulrush_attempts_sent_total";

std::string answerTo(const std::string &id, int status, const std::string &furtherFields,
                     const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Said\r\nX-Bulrushswitch-Request-Id: " + id
        + "\r\n" + furtherFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** \returns whether \a result is the answer to the request \a id. */
bool isOwnAnswer(const SyncHttpResult &result, const std::string &id)
{
    return result.status == 200 && result.header("X-Bulrushswitch-Request-Id") == id
        && result.body.ends_with("request=" + id);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(secondAnswersAreDiscarded, PairFleet)
{
    for (const std::string id : {"p1", "p2"})
        injectAnswerFaults(id, "twice", 30);
    for (int i = 0; i < 60; ++i) {
        const SyncHttpResult result = send("a1", "POST", "/pay/x", std::nullopt, "euro=1");
        BOOST_TEST(isOwnAnswer(result, lastRequestId()), "request " << i << ": " << result.body);
    }
    const std::string owner = ownerOf("a1", 100);
    injectAnswerFaults(owner, "twice", 30);
    for (int i = 0; i < 60; ++i) {
        const SyncHttpResult result = read("a1", 100);
        BOOST_TEST(isOwnAnswer(result, lastRequestId()), "read " << i << ": " << result.body);
    }
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(answerWithoutLengthIsCompleteWhenTheConnectionCloses, PairFleet)
{
    for (const std::string id : {"p1", "p2"})
        injectAnswerFaults(id, "unframed", 10);
    for (int i = 0; i < 20; ++i) {
        const SyncHttpResult result = send("a1", "POST", "/pay/x", std::nullopt, "euro=1");
        BOOST_TEST(isOwnAnswer(result, lastRequestId()), "request " << i << ": " << result.body);
        BOOST_TEST(result.header("X-Bulrushswitch-Response-Stamp").has_value());
    }
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_AUTO_TEST_CASE(answerWithoutLengthIsIncompleteAfterAReset)
{
    std::atomic<int> runs = 0;
    ScriptedFleet fleet{[&runs](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        const std::string head = co_await ScriptedServer::readHead(socket, buffer);
        ++runs;
        co_await ScriptedServer::write(socket,
                                       "HTTP/1.1 200 OK\r\nX-Bulrushswitch-Request-Id: "
                                           + idOf(head)
                                           + "\r\nX-Bulrushswitch-Response-Stamp: s\r\n\r\nhalf");
        std::this_thread::sleep_for(50ms);
        ScriptedServer::reset(socket);
    }};
    BOOST_TEST(fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1").status == 502);
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(noOtherBytesAreSentAsTheBodyAfterAnEarlyAnswer)
{
    // Larger than the socket buffers, so that the answer arrives while the body is being sent.
    const std::string body(24 << 20, 'b');
    std::mutex mutex;
    std::string afterAnswer;
    std::atomic<int> connections = 0;
    ScriptedFleet fleet{[&](Socket &socket, int) -> asio::awaitable<void> {
        ++connections;
        std::string buffer;
        const std::string head = co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(
            socket, answerTo(idOf(head), 503, "X-Bulrushswitch-Not-Executed: 1\r\n", ""));
        std::this_thread::sleep_for(100ms);
        // The server treats everything that it receives from here on as the rest of the body.
        asio::error_code ignored;
        co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                  asio::redirect_error(asio::use_awaitable, ignored));
        const std::scoped_lock lock{mutex};
        afterAnswer += buffer;
    }};
    BOOST_TEST(fleet.send("a1", "POST", "/upload/x", std::nullopt, body).status == 503);
    BOOST_TEST(fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1").status == 503);
    BOOST_TEST(connections >= 2);
    BOOST_TEST(fleet.daemon("a1").terminate().code.value_or(-1) == 0);
    const std::scoped_lock lock{mutex};
    BOOST_TEST(afterAnswer.find("POST") == std::string::npos);
    BOOST_TEST(afterAnswer.find("X-Bulrushswitch") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(answersToOtherRequestsAreNotForwarded)
{
    ScriptedFleet fleet{[](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            const std::string stamp = "X-Bulrushswitch-Response-Stamp: s\r\n";
            co_await ScriptedServer::write(socket,
                                           answerTo("somebody-elses", 200, stamp, "not yours")
                                               + answerTo(idOf(head), 200, stamp, "yours"));
        }
    }};
    for (int i = 0; i < 5; ++i) {
        const SyncHttpResult result = fleet.send("a1", "GET", "/pay/x");
        BOOST_TEST(result.status == 200);
        BOOST_TEST(result.body == "yours");
    }
    BOOST_TEST(fleet.counter("a1", attemptsSentMetric) >= 5);
}

BOOST_AUTO_TEST_CASE(malformedAnswersGiveABadGateway)
{
    ScriptedFleet fleet{[](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(socket, "this is no answer at all\r\n\r\n");
        co_await ScriptedServer::drain(socket);
    }};
    const SyncHttpResult result = fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1");
    BOOST_TEST(result.status == 502);
    BOOST_TEST(result.body.find("this is no answer") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(unresponsiveServerDoesNotBlockOtherRequests)
{
    std::atomic<int> heads = 0;
    ScriptedFleet fleet{[&heads](Socket &socket, int connection) -> asio::awaitable<void> {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            ++heads;
            if (connection == 0)
                co_await ScriptedServer::drain(socket);
            co_await ScriptedServer::write(
                socket,
                answerTo(idOf(head), 200, "X-Bulrushswitch-Response-Stamp: s\r\n", "yours"));
        }
    }};
    const SyncHttpResult silent = fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1", 600);
    BOOST_TEST(silent.status == 504);
    BOOST_TEST(fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1").status == 200);
    BOOST_TEST(heads == 2);
}

BOOST_AUTO_TEST_CASE(failedAnswerIsDeliveredIfNoOtherServerSucceeds)
{
    std::atomic<int> heads = 0;
    ScriptedFleet fleet{[&heads](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            ++heads;
            co_await ScriptedServer::write(
                socket,
                answerTo(idOf(head), 500, "X-Bulrushswitch-Response-Stamp: s\r\n", "broke"));
        }
    }};
    fleet.writeConfig({"/new/"});
    BOOST_TEST(
        EntryFleet::eventually([&] { return fleet.send("a1", "GET", "/new/x").status != 404; }));
    // The requests earn retry budget, so some are retried, but there is no second server.
    for (int i = 0; i < 30; ++i) {
        const SyncHttpResult result = fleet.send("a1", "GET", "/new/x");
        // The request has run, so an answer that says "not run" would be wrong.
        BOOST_TEST(result.status == 500);
        BOOST_TEST(result.body == "broke");
        BOOST_TEST(result.header("X-Bulrushswitch-Response-Stamp").has_value());
    }
}

BOOST_AUTO_TEST_CASE(requestWithoutAConnectionByItsDeadlineHasNotRun)
{
    // A listener that accepts no connection: its backlog of one is full.
    asio::io_context loop;
    asio::ip::tcp::acceptor full{loop};
    full.open(asio::ip::tcp::v4());
    full.bind({asio::ip::address_v4::loopback(), 0});
    full.listen(0);
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(loop);
        waiting.back().async_connect(full.local_endpoint(), [](const asio::error_code &) {});
    }
    loop.run_for(100ms);
    EntryFleet fleet{{"a1"}};
    fleet.writeConfig();
    fleet.startServer({"c1", "catalogue", "a", true});
    fleet.writeRecordOf({"p0", "payments", "a"},
                        "127.0.0.1:" + std::to_string(full.local_endpoint().port()));
    fleet.startDaemons();
    fleet.waitUntilServing();
    const auto start = std::chrono::steady_clock::now();
    const SyncHttpResult result = fleet.send("a1", "POST", "/pay/x", std::nullopt, "euro=1", 250);
    BOOST_TEST(result.status == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
}

BOOST_AUTO_TEST_CASE(requestsRejectedByFullAndFaultyServersHaveNotRun)
{
    EntryFleet fleet{{"a1", "b1"}};
    fleet.writeConfig();
    fleet.startServer({"c1", "catalogue", "a", true});
    for (const std::string id : {"p1", "p2"})
        fleet.startServer({id, "payments", id == "p1" ? "a" : "b", false, 150, 2, true});
    fleet.startDaemons();
    fleet.waitUntilServing();
    fleet.injectAnswerFaults("p1", "lose", 5);
    fleet.injectAnswerFaults("p2", "twice", 5);

    // Twice as many concurrent requests as can be served before their deadline.
    constexpr int count = 60;
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(
            std::make_unique<RawConnection>(fleet.callersAddress(i % 2 == 0 ? "a1" : "b1")));
        callers.back()->send("POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                             "X-Bulrushswitch-Request-Id: full"
                             + std::to_string(i)
                             + "-\r\nX-Bulrushswitch-Deadline-Ms: 1000\r\n"
                               "Content-Length: 6\r\n\r\neuro=1");
    }
    std::set<std::string> ran;
    std::map<int, int> statuses;
    std::vector<std::string> answers;
    for (const auto &caller : callers)
        answers.push_back(caller->receiveUntilClosed());
    // After this time, all requests in the queues of the servers have run.
    std::this_thread::sleep_for(2s);
    for (const RequestRun &run : fleet.runs())
        ran.insert(run.request);
    for (int i = 0; i < count; ++i) {
        const std::string id = "full" + std::to_string(i) + '-';
        const std::string &answer = answers[static_cast<std::size_t>(i)];
        BOOST_REQUIRE(answer.size() > 12);
        const int status = std::stoi(answer.substr(9, 3));
        ++statuses[status];
        if (status == 200)
            BOOST_TEST(answer.find("request=" + id) != std::string::npos, answer);
        if (status == 503)
            BOOST_TEST(!ran.contains(id), id << " was refused as not run, and ran");
    }
    BOOST_TEST(statuses[200] > 0);
    BOOST_TEST(statuses[503] > 0);
    BOOST_TEST(fleet.repeatedRuns().empty());
}
