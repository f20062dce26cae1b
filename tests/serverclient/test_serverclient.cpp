#define BOOST_TEST_MODULE ServerClient

#include "clientfixture.h"

#include "connection/serverclient.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::io;
using namespace bulrush::test;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

using Fixture = ClientFixture;

} // namespace

BOOST_FIXTURE_TEST_CASE(reusesIdleConnection, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              for (int i = 0;; ++i) {
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(socket,
                                                                 answerTo(std::to_string(i)));
                              }
                          }};
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(send(call(server, std::to_string(i))).response.body == "ok");
    BOOST_TEST(server.connections() == 1);
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(neverResendsRequest, Fixture)
{
    int heads = 0;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              ++heads;
                              co_await ScriptedServer::write(socket, answerTo("one"));
                              co_await ScriptedServer::readHead(socket, buffer);
                              ++heads;
                              ScriptedServer::reset(socket);
                          }};
    BOOST_TEST(!send(call(server, "one")).error);
    const HttpResult second = send(call(server, "two"));
    BOOST_TEST(second.error == TransportError::ConnectionLost);
    BOOST_TEST((second.stage != TransferStage::NotConnected));
    settle();
    BOOST_TEST(heads == 2);
    BOOST_TEST(server.connections() == 1);
}

BOOST_FIXTURE_TEST_CASE(doesNotReuseConnectionClosedByServer, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, answerTo("one"));
                          }};
    BOOST_TEST(!send(call(server, "one")).error);
    settle();
    BOOST_TEST(!send(call(server, "one")).error);
    BOOST_TEST(server.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(dropsAnswerToAnotherRequest, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket,
                                                             answerTo("earlier", "not yours"));
                              co_await ScriptedServer::write(socket, answerTo("mine", "yours"));
                              co_await ScriptedServer::drain(socket);
                          }};
    BOOST_TEST(send(call(server, "mine")).response.body == "yours");
}

BOOST_FIXTURE_TEST_CASE(acceptsAnswerWithoutIdOnlyForFirstCall, Fixture)
{
    const std::string answerWithoutId =
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, answerWithoutId);
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket,
                                                             answerWithoutId + answerTo("two"));
                              co_await ScriptedServer::drain(socket);
                          }};
    BOOST_TEST(send(call(server, "one")).response.status == 421);
    BOOST_TEST(send(call(server, "two")).response.status == 200);
    BOOST_TEST(server.connections() == 1);
}

BOOST_FIXTURE_TEST_CASE(closesConnectionOnBytesAfterAnswer, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(
                                  socket, answerTo("one") + answerTo("one", "once more"));
                              co_await ScriptedServer::drain(socket);
                          }};
    BOOST_TEST(send(call(server, "one")).response.body == "ok");
    BOOST_TEST(send(call(server, "one")).response.body == "ok");
    BOOST_TEST(server.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(resetDuringAnswerMeansTruncated, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(
                                  socket, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\nno length");
                              asio::steady_timer timer{socket.get_executor(), 20ms};
                              co_await timer.async_wait(asio::use_awaitable);
                              ScriptedServer::reset(socket);
                          }};
    BOOST_TEST(send(call(server, "one")).error == TransportError::AnswerTruncated);
}

BOOST_FIXTURE_TEST_CASE(orderlyCloseEndsAnswerWithoutLength, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(
                                  socket, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\nno length");
                          }};
    const HttpResult result = send(call(server, "one"));
    BOOST_TEST(!result.error);
    BOOST_TEST(result.response.body == "no length");
}

BOOST_FIXTURE_TEST_CASE(doesNotReuseConnectionAfterEarlyAnswer, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, answerTo("one"));
                              co_await ScriptedServer::drain(socket);
                          }};
    BOOST_TEST(!send(call(server, "one", std::string(16 << 20, 'x'))).error);
    BOOST_TEST(!send(call(server, "one", "short")).error);
    BOOST_TEST(server.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(failsUnsentIfNobodyListens, Fixture)
{
    ScriptedServer server{loop, [](Socket &, int) -> asio::awaitable<void> {
                              co_return;
                          }};
    const ServerCall serverCall = call(server, "one");
    server.close();
    const HttpResult result = send(serverCall);
    BOOST_TEST(result.error == TransportError::ConnectionFailed);
    BOOST_TEST((result.stage == TransferStage::NotConnected));
}

BOOST_FIXTURE_TEST_CASE(timesOutOnSilentServer, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                          }};
    ServerCall serverCall = call(server, "one");
    serverCall.timeout = 100ms;
    const HttpResult result = send(serverCall);
    BOOST_TEST(result.error == TransportError::TimedOut);
    BOOST_TEST((result.stage == TransferStage::Sent));
}

BOOST_FIXTURE_TEST_CASE(startedAnswerExtendsDeadline, Fixture)
{
    ScriptedServer server{loop, [this](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              const std::string answer = answerTo("one", "a long answer");
                              co_await ScriptedServer::write(socket, answer.substr(0, 20));
                              asio::steady_timer timer{loop, 400ms};
                              co_await timer.async_wait(asio::use_awaitable);
                              co_await ScriptedServer::write(socket, answer.substr(20));
                          }};
    for (const Duration answerTimeout : {Duration{0ms}, Duration{testTimeout}}) {
        ServerCall serverCall = call(server, "one");
        serverCall.timeout = 200ms;
        serverCall.answerTimeout = answerTimeout;
        const HttpResult result = send(std::move(serverCall));
        if (answerTimeout == Duration::zero())
            BOOST_TEST(result.error == TransportError::TimedOut);
        else
            BOOST_TEST(result.response.body == "a long answer");
    }
}

BOOST_FIXTURE_TEST_CASE(cancelClosesConnection, Fixture)
{
    bool hasClosed = false;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                              hasClosed = true;
                          }};
    const auto id = client.send(call(server, "one"), [](const HttpResult &) {
        BOOST_FAIL("a cancelled call must not call its handler");
    });
    settle();
    client.cancel(id);
    run([&] { return hasClosed; });
}

BOOST_FIXTURE_TEST_CASE(silentConnectionDoesNotBlockOthers, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int connection) -> asio::awaitable<void> {
                              std::string buffer;
                              if (connection == 0)
                                  co_await ScriptedServer::drain(socket);
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, answerTo("two"));
                              co_await ScriptedServer::drain(socket);
                          }};
    client.send(call(server, "one"), [](const HttpResult &) {});
    settle();
    BOOST_TEST(!send(call(server, "two")).error);
}

BOOST_FIXTURE_TEST_CASE(failedCallResetsConnection, Fixture)
{
    // Without the reset, bytes that a network partition delayed would arrive after it.
    std::optional<asio::error_code> readError;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              asio::error_code readFailure;
                              co_await asio::async_read(
                                  socket, asio::dynamic_buffer(buffer),
                                  asio::redirect_error(asio::use_awaitable, readFailure));
                              readError = readFailure;
                          }};
    ServerCall late = call(server, "late");
    late.timeout = 30ms;
    BOOST_TEST(send(std::move(late)).error == TransportError::TimedOut);
    run([&] { return readError.has_value(); });
    BOOST_TEST(*readError == asio::error::connection_reset);

    readError.reset();
    const ServerClient::CallId id = client.send(call(server, "left"), [](const HttpResult &) {});
    settle();
    client.cancel(id);
    run([&] { return readError.has_value(); });
    BOOST_TEST(*readError == asio::error::connection_reset);
}

BOOST_FIXTURE_TEST_CASE(doesNotSendAfterSendDeadline, Fixture)
{
    bool hasHead = false;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              hasHead = buffer.find("late") != std::string::npos;
                          }};
    ServerCall late = call(server, "late", "body");
    late.sendDeadline = hostNow() - 1ms;
    const HttpResult result = send(std::move(late));
    BOOST_TEST(result.error == TransportError::TimedOut);
    BOOST_TEST((result.stage == TransferStage::NotConnected));
    settle();
    BOOST_TEST(!hasHead);
}

BOOST_FIXTURE_TEST_CASE(doesNotSendCallThatIsNoLongerWantedAndKeepsItsConnection, Fixture)
{
    int headCount = 0;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              for (;;) {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  ++headCount;
                                  co_await ScriptedServer::write(socket, answerTo("x"));
                              }
                          }};
    ServerCall unwanted = call(server, "x");
    unwanted.confirmSend = [] {
        return false;
    };
    const HttpResult result = send(std::move(unwanted));
    BOOST_TEST(result.error == TransportError::CallWithdrawn);
    BOOST_TEST((result.stage == TransferStage::NotConnected));
    settle();
    BOOST_TEST(headCount == 0);
    BOOST_TEST(!send(call(server, "x")).error);
    BOOST_TEST(headCount == 1);
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(doesNotReuseConnectionOfEarlierRun, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              for (;;) {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(socket, answerTo("x"));
                              }
                          }};
    for (const std::string run : {"i@1", "i@1", "i@2"}) {
        ServerCall serverCall = call(server, "x");
        serverCall.run = run;
        BOOST_TEST(!send(std::move(serverCall)).error);
    }
    BOOST_TEST(client.openedConnectionCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(reportsConnectionEvents, Fixture)
{
    std::vector<std::string> events;
    client.setConnectionEventHandler([&](const std::string &run,
                                         ServerClient::ConnectionEvent event) {
        events.push_back(run
                         + (event == ServerClient::ConnectionEvent::Connected ? " made" : " lost"));
    });
    ScriptedServer server{loop, [this](Socket &socket, int) -> asio::awaitable<void> {
                              asio::steady_timer timer{loop, 100ms};
                              co_await timer.async_wait(asio::use_awaitable);
                              ScriptedServer::reset(socket);
                          }};
    ServerCall like = call(server, "x");
    like.run = "i@1";
    client.ensureConnected(like);
    client.ensureConnected(like);
    run([&] { return !events.empty(); });
    client.ensureConnected(like);
    BOOST_TEST(client.openedConnectionCount() == 1U);
    run([&] { return events.size() == 2; });
    BOOST_TEST(events[0] == "i@1 made");
    BOOST_TEST(events[1] == "i@1 lost");
    // A connection that can't be established is reported as lost, too.
    like.server.port = 1;
    like.run = "i@2";
    client.ensureConnected(like);
    run([&] { return events.size() == 3; });
    BOOST_TEST(events[2] == "i@2 lost");
}
