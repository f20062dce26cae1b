#define BOOST_TEST_MODULE EntryShutdown

#include "entryfleet/checkedfleet.h"
#include "standinprocess/rawconnection.h"

#include <boost/test/unit_test.hpp>

#include <sys/types.h>

#include <chrono>
#include <csignal>
#include <future>
#include <limits>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Service time that keeps requests in flight during the other steps of a test. */
constexpr int slowMs = 1500;

struct SlowFleet : CheckedFleet
{
    SlowFleet()
        : CheckedFleet({"a1", "b1"})
    {
        writeConfig();
        startServer({"p1", "payments", "a", false, slowMs});
        startServer({"p2", "payments", "b", false, slowMs});
        startServer({"c1", "catalogue", "a", true, 5});
        startDaemons();
        waitUntilServing();
    }

    /** Sends a payment on its own thread, with its own client. */
    std::future<SyncHttpResult> payInBackground(const std::string &host, const std::string &id,
                                                int deadlineMs = 4000,
                                                const std::string &path = "/pay/x")
    {
        SyncHttpRequest request;
        request.method = "POST";
        request.url = callersAddress(host) + path;
        request.body = "euro=120";
        request.headers = {{"Host", "shop.example"},
                           {"X-Bulrushswitch-Request-Id", id},
                           {"X-Bulrushswitch-Deadline-Ms", std::to_string(deadlineMs)}};
        return std::async(std::launch::async, [this, request] {
            SyncHttpResult result = SyncHttpClient{}.send(request);
            recordAnswer(request, result);
            return result;
        });
    }
};

std::string uploadHead(const std::string &path, const std::string &id, int deadlineMs,
                       std::size_t length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: " + id
        + "\r\nX-Bulrushswitch-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestInFlightIsAnsweredAfterSigterm, SlowFleet)
{
    std::future<SyncHttpResult> payment = payInBackground("a1", "one");
    std::this_thread::sleep_for(300ms);
    ::kill(daemon("a1").pid(), SIGTERM);
    const SyncHttpResult result = payment.get();
    BOOST_TEST(result.status == 200);
    BOOST_TEST(daemon("a1").terminate().code.value_or(-1) == 0);
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(requestsLongAfterSigtermAreRefusedNotCutOff, SlowFleet)
{
    std::future<SyncHttpResult> first = payInBackground("a1", "one");
    std::this_thread::sleep_for(200ms);
    ::kill(daemon("a1").pid(), SIGTERM);
    // The load balancer still sends callers: until the end of the notice period they are served,
    // later they are rejected.
    std::vector<std::future<SyncHttpResult>> others;
    for (int i = 0; i < 10; ++i) {
        others.push_back(payInBackground("a1", "later" + std::to_string(i)));
        std::this_thread::sleep_for(400ms);
    }
    BOOST_TEST(first.get().status == 200);
    for (std::size_t i = 0; i < others.size(); ++i) {
        const SyncHttpResult result = others[i].get();
        const bool wasRefusedUnread = result.curlCode != 0 && result.status == 0;
        const bool isProper = result.status == 200 || result.status == 503 || wasRefusedUnread;
        BOOST_TEST(isProper, "request " << i << " got " << result.status);
    }
    BOOST_TEST(daemon("a1").terminate().code.value_or(-1) == 0);
    for (const RequestRun &run : runs())
        BOOST_TEST(run.endUs != std::numeric_limits<std::int64_t>::max(), run.request);
}

// The daemon must not close a connection before it has written the rejection.
BOOST_FIXTURE_TEST_CASE(partlyReceivedRequestDelaysTheShutdown, SlowFleet)
{
    RawConnection caller{callersAddress("a1")};
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(2300ms);
    const std::string request =
        "GET /read/7 HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: slow\r\n"
        "X-Bulrushswitch-Deadline-Ms: 4000\r\nX-Bulrushswitch-Shard-Key: 7\r\n\r\n";
    caller.send(request.substr(0, request.size() / 2));
    // By now new requests are rejected, and no request is in flight.
    std::this_thread::sleep_for(1500ms);
    caller.send(request.substr(request.size() / 2));
    const std::string answer = caller.receiveUntilClosed();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
    BOOST_TEST(daemon("a1").terminate().code.value_or(-1) == 0);
}

BOOST_FIXTURE_TEST_CASE(anUploadInFlightIsAnsweredAfterSigterm, SlowFleet)
{
    RawConnection caller{callersAddress("a1")};
    const std::string body(6 << 20, 'u');
    caller.send(uploadHead("/upload/x", "up", 4500, body.size()));
    // The signal arrives in the middle of the body.
    caller.send(std::string_view{body}.substr(0, body.size() / 2));
    std::this_thread::sleep_for(200ms);
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(200ms);
    caller.send(std::string_view{body}.substr(body.size() / 2));
    std::string answer;
    BOOST_TEST(eventually([&] {
        answer += caller.receiveAvailable();
        return answer.find("request=up") != std::string::npos;
    }));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
    BOOST_TEST(daemon("a1").terminate().code.value_or(-1) == 0);
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(keepAliveConnectionIsServedOnceMoreAfterSigterm, SlowFleet)
{
    RawConnection caller{callersAddress("a1")};
    const auto exchange = [&](const std::string &id) {
        caller.send(
            "GET /read/7 HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: " + id
            + "\r\nX-Bulrushswitch-Deadline-Ms: 4000\r\nX-Bulrushswitch-Shard-Key: 7\r\n\r\n");
        std::string answer;
        BOOST_TEST(eventually([&] {
            answer += caller.receiveAvailable();
            return answer.find("request=" + id) != std::string::npos;
        }));
        return answer;
    };
    BOOST_TEST(exchange("before").starts_with("HTTP/1.1 200"));
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(1s);
    // The connection was open and idle. The daemon must not close it without an answer: it answers
    // the next request and announces that it closes the connection.
    const std::string last = exchange("after");
    BOOST_TEST(last.starts_with("HTTP/1.1 200"));
    BOOST_TEST(last.find("Connection: close") != std::string::npos, last);
}

BOOST_FIXTURE_TEST_CASE(overlappingShutdownsOfTwoHostsCutNoRequestsOff, SlowFleet)
{
    std::vector<std::future<SyncHttpResult>> payments;
    for (int i = 0; i < 4; ++i)
        payments.push_back(payInBackground(i % 2 == 0 ? "a1" : "b1", "p" + std::to_string(i)));
    std::this_thread::sleep_for(200ms);
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(300ms);
    ::kill(daemon("b1").pid(), SIGTERM);
    for (auto &payment : payments)
        BOOST_TEST(payment.get().status == 200);
    for (const std::string host : {"a1", "b1"})
        BOOST_TEST(daemon(host).terminate().code.value_or(-1) == 0);
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(plannerReleasesItsLeaseAtShutdown, SlowFleet)
{
    const std::string leaving = planner();
    BOOST_REQUIRE(!leaving.empty());
    const std::string other = leaving == "a1" ? "b1" : "a1";
    const auto start = std::chrono::steady_clock::now();
    ::kill(daemon(leaving).pid(), SIGTERM);
    BOOST_TEST(eventually(
        [&] { return page(other, "/status").find("planner: yes") != std::string::npos; }));
    // Much shorter than the time after which another daemon takes over the lease of a lost planner.
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2500ms));
}

BOOST_FIXTURE_TEST_CASE(disconnectOfTheCallerCancelsTheRequest, SlowFleet)
{
    SyncHttpRequest request;
    request.method = "GET";
    request.url = callersAddress("a1") + "/pay/x";
    request.headers = {{"Host", "shop.example"},
                       {"X-Bulrushswitch-Request-Id", "left"},
                       {"X-Bulrushswitch-Deadline-Ms", "4000"}};
    request.timeout = 200ms;
    BOOST_TEST(SyncHttpClient{}.send(request).curlCode != 0);
    BOOST_TEST(eventually([&] {
        return page("a1", "/metrics").find("bulrush_callers_gone_total 1") != std::string::npos;
    }));
}

BOOST_FIXTURE_TEST_CASE(aRequestThatCantBeServedInTimeIsAnsweredByItsDeadline, SlowFleet)
{
    const auto start = std::chrono::steady_clock::now();
    const SyncHttpResult result = send("a1", "POST", "/pay/x", std::nullopt, "x", 400);
    BOOST_TEST(result.status == 504);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1200ms));
}

BOOST_FIXTURE_TEST_CASE(serverGetsNoMoreRequestsThanItCanQueue, SlowFleet)
{
    startServer({"p3", "payments", "a", false, 300, 1, true});
    writeRecord("p1", "draining");
    writeRecord("p2", "draining");
    std::this_thread::sleep_for(2s);
    std::vector<std::future<SyncHttpResult>> payments;
    for (int i = 0; i < 30; ++i)
        payments.push_back(
            payInBackground(i % 2 == 0 ? "a1" : "b1", "q" + std::to_string(i), 2500));
    int served = 0;
    for (auto &payment : payments) {
        const SyncHttpResult result = payment.get();
        served += result.status == 200 ? 1 : 0;
        const bool isAnswered =
            result.status == 200 || result.status == 503 || result.status == 504;
        BOOST_TEST(isAnswered, "got " << result.status);
    }
    // One slot with 300 ms per request, for 2.5 s.
    BOOST_TEST(served >= 5);
    BOOST_TEST(repeatedRuns().empty());
}

// A request that was read late in the grace was passed on, and cut at its end without an answer.
BOOST_FIXTURE_TEST_CASE(uploadThatEndsLateInTheGraceIsRefusedNotCutOff, SlowFleet)
{
    addRoute("/archive/", "upload", "payments", 20s);
    writeConfig();
    BOOST_REQUIRE(eventually([&] { return send("a1", "POST", "/archive/x").status == 200; }));
    const std::string body(4 << 20, 'u');
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(500ms);
    RawConnection caller{callersAddress("a1")};
    caller.send(uploadHead("/archive/x", "late", 15'000, body.size()));
    caller.send(std::string_view{body}.substr(0, body.size() / 2));
    // What its server would need ends after the daemon.
    std::this_thread::sleep_for(3900ms);
    caller.send(std::string_view{body}.substr(body.size() / 2));
    const std::string answer = caller.receiveUntilClosed();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
    BOOST_TEST(daemon("a1").terminate().code.value_or(-1) == 0);
    for (const RequestRun &run : runs())
        BOOST_TEST(run.request != "late");
}

// Requests that waited for a server until the end of the grace were cut without an answer.
BOOST_FIXTURE_TEST_CASE(requestsThatWaitInTheGraceAreAnswered, SlowFleet)
{
    addRoute("/ledger/", "unsafe", "payments", 20s);
    writeConfig();
    BOOST_REQUIRE(eventually([&] { return send("a1", "POST", "/ledger/x").status == 200; }));
    ::kill(daemon("a1").pid(), SIGTERM);
    std::this_thread::sleep_for(1s);
    // With six slots, the last of them would run for longer than the daemon does.
    std::vector<std::future<SyncHttpResult>> orders;
    for (int i = 0; i < 60; ++i)
        orders.push_back(payInBackground("a1", "order" + std::to_string(i), 15'000, "/ledger/x"));
    int served = 0;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        const SyncHttpResult result = orders[i].get();
        const bool isAnswered =
            result.status == 200 || result.status == 503 || result.status == 504;
        BOOST_TEST(isAnswered, "order " << i << " got " << result.status);
        served += result.status == 200 ? 1 : 0;
    }
    BOOST_TEST(served >= 6);
}
