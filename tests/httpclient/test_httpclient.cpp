#define BOOST_TEST_MODULE HttpClient

#include "scriptedserver.h"

#include "connection/httpclient.h"
#include "connection/streamtransfer.h"
#include "connection/transporterror.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

/** Longer than any test takes, so that a time-out of this length fails the test. */
constexpr Duration testTimeout = 20s;

struct Fixture
{
    asio::io_context loop;
    HttpClient client{loop};

    HttpResult fetch(HttpRequest request)
    {
        std::optional<HttpResult> result;
        client.fetch(std::move(request),
                     [&](HttpResult httpResult) { result = std::move(httpResult); });
        BOOST_TEST(!result.has_value());
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        BOOST_REQUIRE(result.has_value());
        return std::move(*result);
    }
};

HttpRequest post(const std::string &url, std::string body, bool isFreshConnection)
{
    return {"POST", url, {}, std::move(body), testTimeout, isFreshConnection};
}

HttpRequest get(const std::string &url)
{
    return {"GET", url, {}, {}, testTimeout, false};
}

ScriptedServer::Script answering(std::string answer)
{
    return [answer = std::move(answer)](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        for (;;) {
            co_await ScriptedServer::readHead(socket, buffer);
            co_await ScriptedServer::write(socket, answer);
        }
    };
}

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nhi";

void checkResult(const HttpResult &result, TransportError error, TransferStage stage)
{
    BOOST_TEST(result.error == make_error_code(error));
    BOOST_TEST(static_cast<int>(result.stage) == static_cast<int>(stage));
    BOOST_TEST(result.response.body.empty());
}

} // namespace

BOOST_FIXTURE_TEST_CASE(returnsCompleteAnswer, Fixture)
{
    ScriptedServer server{loop, answering(okAnswer)};
    const HttpResult result = fetch(get(server.url()));
    BOOST_TEST(!result.error);
    BOOST_TEST((result.stage == TransferStage::Answered));
    BOOST_TEST(result.response.status == 200);
    BOOST_TEST(result.response.body == "hi");
    BOOST_REQUIRE(result.response.headers.size() == 2u);
    BOOST_TEST(result.response.headers[1].name == "X-A");
    BOOST_TEST(result.response.headers[1].value == "b");
}

BOOST_FIXTURE_TEST_CASE(sendsOnlyTheGivenFields, Fixture)
{
    // By default, libcurl sends Expect: 100-continue for a body of this size.
    constexpr std::size_t bodySize = 2'000'000;
    std::string head;
    std::string buffer;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              head = co_await ScriptedServer::readHead(socket, buffer);
                              co_await asio::async_read(
                                  socket, asio::dynamic_buffer(buffer),
                                  asio::transfer_exactly(bodySize - buffer.size()),
                                  asio::use_awaitable);
                              co_await ScriptedServer::write(socket, okAnswer);
                          }};
    HttpRequest request = post(server.url("/a/../b?c=%20"), std::string(bodySize, 'x'), true);
    request.method = "PATCH";
    request.headers = {{"X-Empty", ""}, {"X-Full", "yes"}};
    BOOST_TEST(!fetch(std::move(request)).error);
    const std::string host = server.url("").substr(7);
    BOOST_TEST(head
               == "PATCH /a/../b?c=%20 HTTP/1.1\r\nHost: " + host
                   + "\r\nX-Empty:\r\nX-Full: yes\r\nContent-Length: 2000000\r\n\r\n");
}

BOOST_FIXTURE_TEST_CASE(refusedConnectionIsNotConnected, Fixture)
{
    ScriptedServer server{loop, answering(okAnswer)};
    const std::string url = server.url();
    server.close();
    checkResult(fetch(post(url, "x", true)), TransportError::ConnectionFailed,
                TransferStage::NotConnected);
}

BOOST_FIXTURE_TEST_CASE(refusesInvalidRequestsUnsent, Fixture)
{
    HttpRequest split = get("http://127.0.0.1:1/");
    split.headers = {{"X-A", "b\r\nX-C: d"}};
    for (const HttpRequest &request :
         {get("https://127.0.0.1:1/"), get("file:///etc/hostname"), get("http://127.0.0.1:1/a b"),
          split, HttpRequest{"GE T", "http://127.0.0.1:1/", {}, {}, testTimeout, false}}) {
        checkResult(fetch(request), TransportError::InvalidRequest, TransferStage::NotConnected);
    }
}

BOOST_FIXTURE_TEST_CASE(resetDuringBodyReportsSending, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              ScriptedServer::reset(socket);
                          }};
    // Larger than the socket buffers of both sides, so that the body can't be sent completely.
    const HttpResult result = fetch(post(server.url(), std::string(32 * 1024 * 1024, 'x'), true));
    checkResult(result, TransportError::ConnectionLost, TransferStage::Sending);
}

BOOST_FIXTURE_TEST_CASE(closeWithoutAnswerReportsSent, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                          }};
    checkResult(fetch(post(server.url(), "pay", true)), TransportError::ConnectionLost,
                TransferStage::Sent);
    HttpRequest bare = get(server.url());
    bare.isFreshConnection = true;
    checkResult(fetch(bare), TransportError::ConnectionLost, TransferStage::Sent);
}

BOOST_FIXTURE_TEST_CASE(silentServerTimeoutReportsSent, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                          }};
    HttpRequest request = post(server.url(), "pay", true);
    request.timeout = 100ms;
    checkResult(fetch(std::move(request)), TransportError::TimedOut, TransferStage::Sent);
}

BOOST_FIXTURE_TEST_CASE(timeoutRunsWhileWaitingForConnection, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                          }};
    client.setConnectionsPerHost(1);
    const auto holder = client.fetch(post(server.url(), "a", true), [](const HttpResult &) {
        BOOST_ERROR("a cancelled transfer called its handler");
    });
    HttpRequest waiting = post(server.url(), "b", true);
    waiting.timeout = 100ms;
    checkResult(fetch(std::move(waiting)), TransportError::TimedOut, TransferStage::NotConnected);
    BOOST_TEST(server.connections() == 1);
    client.cancel(holder);
}

BOOST_FIXTURE_TEST_CASE(rejectsTruncatedAndUnframedAnswers, Fixture)
{
    struct Case
    {
        std::string answer;
        TransportError error;
    };
    const std::vector<Case> cases{
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", TransportError::AnswerTruncated},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
         TransportError::AnswerTruncated},
        {"HTTP/1.1 200 OK\r\n\r\nhi", TransportError::AnswerUnframed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"what is this\r\n\r\n", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Le", TransportError::AnswerTruncated},
        {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 99 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 1000 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nSome Name: x\r\nContent-Length: 2\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length : 1\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nNa\x01me: x\r\nContent-Length: 2\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nName: x\r\n continued: y\r\nContent-Length: 2\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nName: a\x01\r\nContent-Length: 2\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA b: c\r\n\r\n",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nhi",
         TransportError::AnswerMalformed},
        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2a\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhi", TransportError::AnswerMalformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiXY0\r\n\r\n",
         TransportError::AnswerTruncated},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nhi\r\n0\r\n\r\n",
         TransportError::AnswerTruncated},
        {"HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nhi", TransportError::AnswerMalformed},
    };
    for (const Case &testCase : cases) {
        BOOST_TEST_CONTEXT(testCase.answer)
        {
            ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                                      std::string buffer;
                                      co_await ScriptedServer::readHead(socket, buffer);
                                      co_await ScriptedServer::write(socket, testCase.answer);
                                  }};
            checkResult(fetch(post(server.url(), "x", true)), testCase.error, TransferStage::Sent);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(answersWithoutContentHaveNoBody, Fixture)
{
    for (const std::string answer :
         {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"}) {
        ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(socket, answer);
                                  co_await ScriptedServer::drain(socket);
                              }};
        const HttpResult result = fetch(get(server.url()));
        BOOST_TEST(!result.error, answer);
        BOOST_TEST(result.response.body.empty());
    }
}

namespace {

/** Answers the first request of a connection, closes it after the second, and counts requests. */
ScriptedServer::Script closingAfterSecond(int &requests)
{
    return [&requests](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        ++requests;
        co_await ScriptedServer::write(socket, okAnswer);
        co_await ScriptedServer::readHead(socket, buffer);
        ++requests;
    };
}

} // namespace

BOOST_FIXTURE_TEST_CASE(freshConnectionNeverResends, Fixture)
{
    int requests = 0;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              const std::string head =
                                  co_await ScriptedServer::readHead(socket, buffer);
                              ++requests;
                              if (head.starts_with("GET"))
                                  co_await ScriptedServer::write(socket, okAnswer);
                              if (head.starts_with("GET")) {
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  ++requests;
                              }
                          }};
    BOOST_TEST(!fetch(get(server.url())).error);
    BOOST_TEST(requests == 1);
    checkResult(fetch(post(server.url(), "pay", true)), TransportError::ConnectionLost,
                TransferStage::Sent);
    BOOST_TEST(requests == 2);
    BOOST_TEST(server.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(reusedConnectionResendsRequest, Fixture)
{
    // Documents why isFreshConnection exists: on a reused connection, this libcurl sends the
    // request twice.
    int requests = 0;
    ScriptedServer server{loop, closingAfterSecond(requests)};
    BOOST_TEST(!fetch(get(server.url())).error);
    BOOST_TEST(!fetch(post(server.url(), "x", false)).error);
    BOOST_TEST(requests == 3);
    BOOST_TEST(server.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(failedRetryKeepsStageOfFirstAttempt, Fixture)
{
    // The server reads the request and stops listening, so that libcurl's retry is refused.
    int requests = 0;
    std::optional<ScriptedServer> server;
    server.emplace(loop, [&](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        ++requests;
        co_await ScriptedServer::write(socket, okAnswer);
        co_await ScriptedServer::readHead(socket, buffer);
        ++requests;
        server->close();
    });
    const std::string url = server->url();
    BOOST_TEST(!fetch(get(url)).error);
    const HttpResult result = fetch(post(url, "x", false));
    BOOST_TEST(requests == 2);
    BOOST_TEST(result.error == make_error_code(TransportError::ConnectionFailed));
    BOOST_TEST((result.stage != TransferStage::NotConnected));
}

BOOST_FIXTURE_TEST_CASE(neverResendsStreamedBody, Fixture)
{
    int requests = 0;
    ScriptedServer server{loop, closingAfterSecond(requests)};
    BOOST_TEST(!fetch(get(server.url())).error);
    std::optional<TransferResult> streamResult;
    std::unique_ptr<StreamTransfer> transfer;
    transfer = std::make_unique<StreamTransfer>(
        client, post(server.url(), {}, false), StreamedBody{3}, std::nullopt,
        [&](const TransferEvent &event) {
            if (std::holds_alternative<BodyRoom>(event)) {
                transfer->feed("pay");
                transfer->finishBody();
            } else if (const auto *transferResult = std::get_if<TransferResult>(&event)) {
                streamResult = *transferResult;
            }
        });
    loop.restart();
    while (!streamResult && loop.run_one() > 0) { }
    BOOST_REQUIRE(streamResult.has_value());
    BOOST_TEST(requests == 2);
    BOOST_TEST(server.connections() == 1);
    BOOST_TEST(static_cast<bool>(streamResult->error));
    BOOST_TEST((streamResult->stage != TransferStage::NotConnected));
}

BOOST_FIXTURE_TEST_CASE(reusesIdleConnection, Fixture)
{
    ScriptedServer server{loop, answering(okAnswer)};
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!fetch(get(server.url())).error);
    BOOST_TEST(server.connections() == 1);
}

BOOST_FIXTURE_TEST_CASE(keepsConnectionsToManyServers, Fixture)
{
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    for (int i = 0; i < 20; ++i)
        servers.push_back(std::make_unique<ScriptedServer>(loop, answering(okAnswer)));
    for (int round = 0; round < 3; ++round) {
        for (const auto &server : servers)
            BOOST_TEST(!fetch(get(server->url())).error);
    }
    for (const auto &server : servers)
        BOOST_TEST(server->connections() == 1);
}

BOOST_FIXTURE_TEST_CASE(cancelClosesTheConnection, Fixture)
{
    bool hasClosed = false;
    HttpClient::TransferId id = 0;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              client.cancel(id);
                              co_await ScriptedServer::drain(socket);
                              hasClosed = true;
                          }};
    id = client.fetch(get(server.url()), [](const HttpResult &) {
        BOOST_ERROR("a cancelled transfer called its handler");
    });
    while (!hasClosed && loop.run_one_for(10s) > 0) { }
    BOOST_TEST(hasClosed);
}

BOOST_FIXTURE_TEST_CASE(handlersMayStartFurtherTransfers, Fixture)
{
    ScriptedServer server{loop, answering(okAnswer)};
    int left = 50;
    HttpClient::Handler next = [&](const HttpResult &result) {
        BOOST_TEST(!result.error);
        if (--left > 0)
            client.fetch(get(server.url()), next);
    };
    client.fetch(get(server.url()), next);
    while (left > 0 && loop.run_one_for(10s) > 0) { }
    BOOST_TEST(left == 0);
}
