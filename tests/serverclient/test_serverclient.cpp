#define BOOST_TEST_MODULE ServerClient

#include "scriptedserver.h"

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
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

/** Longer than any test takes: a call that meets it fails the test. */
constexpr Duration ample = 20s;
const std::string echo = "Request-Id";

std::string answerTo(const std::string &id, const std::string &body = "ok")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture
{
    asio::io_context loop;
    ServerClient client{loop};

    ServerCall call(const ScriptedServer &server, const std::string &id, std::string body = {})
    {
        const std::string url = server.url("");
        ServerCall made;
        made.server = {"127.0.0.1",
                       static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)))};
        made.method = body.empty() ? "GET" : "POST";
        made.headers = {{"Host", "x"}, {echo, id}};
        made.body = std::make_shared<const std::string>(std::move(body));
        made.timeout = ample;
        made.echoedField = echo;
        return made;
    }

    HttpResult send(ServerCall made)
    {
        std::optional<HttpResult> result;
        client.send(std::move(made), [&](HttpResult end) { result = std::move(end); });
        BOOST_TEST(!result.has_value());
        run([&] { return result.has_value(); });
        return std::move(*result);
    }

    void run(const std::function<bool()> &isOver)
    {
        loop.restart();
        while (!isOver() && loop.run_one() > 0) { }
        BOOST_REQUIRE(isOver());
    }

    /** Lets what is under way on the connections come in. */
    void settle()
    {
        loop.restart();
        loop.run_for(50ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(connectionsAreKept, Fixture)
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
    BOOST_TEST(client.openedCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aRequestIsNeverSentAgain, Fixture)
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

BOOST_FIXTURE_TEST_CASE(aKeptConnectionThatTheServerClosedIsNotUsed, Fixture)
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

BOOST_FIXTURE_TEST_CASE(anAnswerToAnotherRequestIsPassedOver, Fixture)
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

BOOST_FIXTURE_TEST_CASE(anAnswerWithoutAnIdCountsOnAConnectionThatCarriedNoOther, Fixture)
{
    const std::string nameless = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, nameless);
                              co_await ScriptedServer::readHead(socket, buffer);
                              co_await ScriptedServer::write(socket, nameless + answerTo("two"));
                              co_await ScriptedServer::drain(socket);
                          }};
    BOOST_TEST(send(call(server, "one")).response.status == 421);
    BOOST_TEST(send(call(server, "two")).response.status == 200);
    BOOST_TEST(server.connections() == 1);
}

BOOST_FIXTURE_TEST_CASE(bytesAfterAnAnswerEndTheConnection, Fixture)
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

BOOST_FIXTURE_TEST_CASE(anAnswerThatIsResetOnTheWayIsNotWhole, Fixture)
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

BOOST_FIXTURE_TEST_CASE(anAnswerWithoutALengthEndsWithAProperClose, Fixture)
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

BOOST_FIXTURE_TEST_CASE(anAnswerBeforeTheEndOfTheRequestEndsTheConnection, Fixture)
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

BOOST_FIXTURE_TEST_CASE(withoutAListenerNothingIsSent, Fixture)
{
    ScriptedServer server{loop, [](Socket &, int) -> asio::awaitable<void> {
                              co_return;
                          }};
    const ServerCall made = call(server, "one");
    server.close();
    const HttpResult result = send(made);
    BOOST_TEST(result.error == TransportError::ConnectionFailed);
    BOOST_TEST((result.stage == TransferStage::NotConnected));
}

BOOST_FIXTURE_TEST_CASE(aSilentServerEndsTheCallByItsTimeout, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                          }};
    ServerCall made = call(server, "one");
    made.timeout = 100ms;
    const HttpResult result = send(made);
    BOOST_TEST(result.error == TransportError::TimedOut);
    BOOST_TEST((result.stage == TransferStage::Sent));
}

BOOST_FIXTURE_TEST_CASE(anAnswerThatHasBegunIsNotGivenUpByTheTimeoutForItsBegin, Fixture)
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
    for (const Duration answerWithin : {Duration{0ms}, Duration{ample}}) {
        ServerCall made = call(server, "one");
        made.timeout = 200ms;
        made.answerWithin = answerWithin;
        const HttpResult result = send(std::move(made));
        if (answerWithin == Duration::zero())
            BOOST_TEST(result.error == TransportError::TimedOut);
        else
            BOOST_TEST(result.response.body == "a long answer");
    }
}

BOOST_FIXTURE_TEST_CASE(aCancelledCallClosesItsConnection, Fixture)
{
    bool hasClosed = false;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              co_await ScriptedServer::drain(socket);
                              hasClosed = true;
                          }};
    const auto id = client.send(
        call(server, "one"), [](const HttpResult &) { BOOST_FAIL("a cancelled call has no end"); });
    settle();
    client.cancel(id);
    run([&] { return hasClosed; });
}

BOOST_FIXTURE_TEST_CASE(aSilentConnectionTakesNoOthersWithIt, Fixture)
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

BOOST_FIXTURE_TEST_CASE(aCallThatIsGivenUpResetsItsConnection, Fixture)
{
    // What a cut of the network held up would otherwise come after the end of the cut.
    std::optional<asio::error_code> seen;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              asio::error_code end;
                              co_await asio::async_read(
                                  socket, asio::dynamic_buffer(buffer),
                                  asio::redirect_error(asio::use_awaitable, end));
                              seen = end;
                          }};
    ServerCall late = call(server, "late");
    late.timeout = 30ms;
    BOOST_TEST(send(std::move(late)).error == TransportError::TimedOut);
    run([&] { return seen.has_value(); });
    BOOST_TEST(*seen == asio::error::connection_reset);

    seen.reset();
    const ServerClient::CallId id = client.send(call(server, "left"), [](const HttpResult &) {});
    settle();
    client.cancel(id);
    run([&] { return seen.has_value(); });
    BOOST_TEST(*seen == asio::error::connection_reset);
}

BOOST_FIXTURE_TEST_CASE(whatWaitedForItsConnectionTooLongIsNotSent, Fixture)
{
    bool hasHead = false;
    ScriptedServer server{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                              std::string buffer;
                              co_await ScriptedServer::readHead(socket, buffer);
                              hasHead = buffer.find("late") != std::string::npos;
                          }};
    ServerCall late = call(server, "late", "body");
    late.sendBy = hostNow() - 1ms;
    const HttpResult result = send(std::move(late));
    BOOST_TEST(result.error == TransportError::TimedOut);
    BOOST_TEST((result.stage == TransferStage::NotConnected));
    settle();
    BOOST_TEST(!hasHead);
}

BOOST_FIXTURE_TEST_CASE(aConnectionToAnEarlierRunCarriesNoCallToTheNext, Fixture)
{
    ScriptedServer server{loop, [](Socket &socket, int) -> asio::awaitable<void> {
                              for (;;) {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(socket, answerTo("x"));
                              }
                          }};
    for (const std::string run : {"i@1", "i@1", "i@2"}) {
        ServerCall made = call(server, "x");
        made.run = run;
        BOOST_TEST(!send(std::move(made)).error);
    }
    BOOST_TEST(client.openedCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(linksAreToldAsTheyAreMadeAndLost, Fixture)
{
    std::vector<std::string> told;
    client.setLinkHandler([&](const std::string &run, ServerClient::Link link) {
        told.push_back(run + (link == ServerClient::Link::Made ? " made" : " lost"));
    });
    ScriptedServer server{loop, [this](Socket &socket, int) -> asio::awaitable<void> {
                              asio::steady_timer timer{loop, 100ms};
                              co_await timer.async_wait(asio::use_awaitable);
                              ScriptedServer::reset(socket);
                          }};
    ServerCall like = call(server, "x");
    like.run = "i@1";
    client.keepConnected(like);
    client.keepConnected(like);
    run([&] { return !told.empty(); });
    client.keepConnected(like);
    BOOST_TEST(client.openedCount() == 1U);
    run([&] { return told.size() == 2; });
    BOOST_TEST(told[0] == "i@1 made");
    BOOST_TEST(told[1] == "i@1 lost");
    // One that can't be made is lost as well.
    like.server.port = 1;
    like.run = "i@2";
    client.keepConnected(like);
    run([&] { return told.size() == 3; });
    BOOST_TEST(told[2] == "i@2 lost");
}
