#define BOOST_TEST_MODULE ProxyExchange

#include "rawcaller.h"
#include "scriptedserver.h"

#include "connection/callerserver.h"
#include "connection/proxyexchange.h"
#include "connection/transporterror.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

const std::string bulrushFields = "X-Bulrush-Request: r1\r\nX-Bulrush-Ran: yes\r\n";

/** A minimal daemon: forwards each request to one server and answers failures with 502. */
struct Fixture
{
    asio::io_context loop;
    HttpClient client{loop};
    ProxyTarget target;
    std::shared_ptr<IncomingRequest> request;
    std::shared_ptr<ResponseWriter> writer;
    std::shared_ptr<ProxyExchange> exchange;
    std::optional<ExchangeResult> exchangeResult;
    CallerServer server{loop, {}, [this](auto incoming, auto outgoing) {
                            request = std::move(incoming);
                            writer = std::move(outgoing);
                            start();
                        }};

    Fixture()
    {
        target.requestId = "r1";
        target.timeout = 20s;
        BOOST_REQUIRE(!server.listen());
    }

    void start()
    {
        exchange = std::make_shared<ProxyExchange>(client, request, writer, target,
                                                   [this](const ExchangeResult &result) {
                                                       exchangeResult = result;
                                                       if (!exchangeResult->hasBegunAnswer)
                                                           writer->send({502, {}, "failed"});
                                                       writer.reset();
                                                   });
        exchange->start();
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto giveUpAt = std::chrono::steady_clock::now() + 30s;
        loop.restart();
        while (!condition()) {
            if (loop.run_one_until(giveUpAt) == 0)
                BOOST_FAIL("the condition did not hold within 30 s");
        }
    }

    /** \returns what a caller receives for \a bytes from a server that runs \a script. */
    std::string relay(std::string bytes, ScriptedServer::Script script)
    {
        ScriptedServer backend{loop, std::move(script)};
        target.origin = backend.url("");
        exchangeResult.reset();
        RawCaller caller{loop, server.port(), std::move(bytes)};
        runUntil([&] { return caller.isClosed() && exchangeResult.has_value(); });
        return caller.received();
    }

    void checkResult(TransportError error, TransferStage stage, bool hasBegunAnswer)
    {
        BOOST_REQUIRE(exchangeResult.has_value());
        BOOST_TEST(exchangeResult->error == make_error_code(error));
        BOOST_TEST(static_cast<int>(exchangeResult->stage) == static_cast<int>(stage));
        BOOST_TEST(exchangeResult->hasBegunAnswer == hasBegunAnswer);
    }
};

ScriptedServer::Script answering(std::string answer)
{
    return [answer = std::move(answer)](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(socket, answer);
    };
}

std::string answerText(const std::string &body, const std::string &fields = bulrushFields)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields
        + "\r\n" + body;
}

const std::string get = "GET /a?b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

std::string post(std::uint64_t length)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
        + std::to_string(length) + "\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(relaysRequestAndAnswer, Fixture)
{
    std::string receivedHead;
    target.addedHeaders = {{"X-Bulrush-Service", "catalogue"}};
    const std::string answer = relay(
        "PUT /a/../b?c=%20 HTTP/1.1\r\nHost: x\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
        "X-Bulrush-Fence: 9.9\r\nx-bulrush-request: forged\r\nTE: trailers\r\nX-Kept: 2\r\n"
        "Content-Type: text/plain\r\nContent-Length: 3\r\n\r\nabc",
        [&](Socket &socket, int) -> asio::awaitable<void> {
            std::string buffer;
            receivedHead = co_await ScriptedServer::readHead(socket, buffer);
            co_await ScriptedServer::write(
                socket, answerText("hi", bulrushFields + "X-B: c\r\nKeep-Alive: timeout=5\r\n"));
        });
    BOOST_TEST(receivedHead
               == "PUT /a/../b?c=%20 HTTP/1.1\r\nHost: " + target.origin.substr(7)
                   + "\r\nX-Kept: 2\r\nContent-Type: text/plain\r\nX-Bulrush-Request: r1\r\n"
                     "X-Bulrush-Service: catalogue\r\nContent-Length: 3\r\n\r\n");
    BOOST_TEST(answer
               == "HTTP/1.1 200 OK\r\nX-B: c\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_REQUIRE(exchangeResult.has_value());
    BOOST_TEST(!exchangeResult->error);
    BOOST_TEST((exchangeResult->stage == TransferStage::Answered));
    BOOST_TEST(exchangeResult->status == 200);
    BOOST_TEST(exchangeResult->ran == "yes");
    BOOST_TEST(exchangeResult->answerBytes == 2u);
}

BOOST_FIXTURE_TEST_CASE(relaysBulrushFieldsToOtherDaemons, Fixture)
{
    target.relaysBulrushFields = true;
    const std::string answer = relay(get, answering(answerText("hi")));
    BOOST_TEST(answer.find(bulrushFields) != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(relaysBodylessAnswers, Fixture)
{
    const std::string head = "HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    BOOST_TEST(
        relay(head, answering("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n" + bulrushFields + "\r\n"))
        == "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 7\r\n\r\n");
    BOOST_TEST(relay(get, answering("HTTP/1.1 204 No Content\r\n" + bulrushFields + "\r\n"))
               == "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    BOOST_TEST(
        relay(get, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + bulrushFields + "\r\n"))
        == "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
}

BOOST_FIXTURE_TEST_CASE(dropsAnswersToOtherRequests, Fixture)
{
    for (const std::string &fields :
         {std::string{}, std::string{"X-Bulrush-Request: r2\r\n"},
          std::string{"X-Bulrush-Request: r1\r\nX-Bulrush-Request: r1\r\n"}}) {
        const std::string answer = relay(get, answering(answerText("secret", fields)));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
        BOOST_TEST(answer.find("secret") == std::string::npos);
        checkResult(TransportError::AnswerMismatched, TransferStage::Sent, false);
    }
}

BOOST_FIXTURE_TEST_CASE(mismatchClosesTheConnection, Fixture)
{
    bool hasClosed = false;
    relay(get, [&](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(socket, answerText("secret", ""));
        co_await ScriptedServer::drain(socket);
        hasClosed = true;
    });
    runUntil([&] { return hasClosed; });
    BOOST_TEST(hasClosed);
}

BOOST_FIXTURE_TEST_CASE(doesNotRelayRefusals, Fixture)
{
    const std::string answer =
        relay(get,
              answering("HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Bulrush-Request: r1\r\n"
                        "X-Bulrush-Ran: no\r\nX-Bulrush-Reason: shed\r\n\r\n"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    checkResult(TransportError::ServerRefused, TransferStage::Answered, false);
    BOOST_TEST(exchangeResult->ran == "no");
    BOOST_TEST(exchangeResult->reason == "shed");
}

BOOST_FIXTURE_TEST_CASE(truncatedAnswersNeverLookComplete, Fixture)
{
    const auto truncatedAfter = [](std::size_t sent) {
        return [sent](Socket &socket, int) -> asio::awaitable<void> {
            std::string buffer;
            co_await ScriptedServer::readHead(socket, buffer);
            const std::string completeAnswer = answerText(std::string(300'000, 'x'));
            co_await ScriptedServer::write(socket, completeAnswer.substr(0, sent));
        };
    };
    // A short part is buffered, so that the owner's answer can replace it.
    BOOST_TEST(relay(get, truncatedAfter(1000)).starts_with("HTTP/1.1 502"));
    checkResult(TransportError::AnswerTruncated, TransferStage::Sent, false);

    const std::string answer = relay(get, truncatedAfter(250'000));
    BOOST_TEST(answer.find("Content-Length: 300000\r\n") != std::string::npos);
    BOOST_TEST(answer.size() < 300'000u);
    checkResult(TransportError::AnswerTruncated, TransferStage::Sent, true);

    const std::string chunked = relay(get, [](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(socket,
                                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                           + bulrushFields + "\r\n30d40\r\n"
                                           + std::string(200'000, 'x') + "\r\n");
    });
    BOOST_TEST(chunked.find("Transfer-Encoding: chunked") != std::string::npos);
    BOOST_TEST(!chunked.ends_with("0\r\n\r\n"));
    checkResult(TransportError::AnswerTruncated, TransferStage::Sent, true);
}

BOOST_FIXTURE_TEST_CASE(refusedConnectionKeepsUploadResendable, Fixture)
{
    std::optional<ScriptedServer> closed;
    closed.emplace(loop, answering(""));
    target.origin = closed->url("");
    closed->close();
    RawCaller caller{loop, server.port(), post(200'000) + std::string(200'000, 'x')};
    runUntil([&] { return caller.isClosed() && exchangeResult.has_value(); });
    checkResult(TransportError::ConnectionFailed, TransferStage::NotConnected, false);
    BOOST_TEST(exchangeResult->isBodyResendable);
    BOOST_TEST(caller.status() == 502);
}

BOOST_FIXTURE_TEST_CASE(failsExchangeAtDeadline, Fixture)
{
    target.timeout = 50ms;
    const std::string answer = relay(get, [](Socket &socket, int) -> asio::awaitable<void> {
        co_await ScriptedServer::drain(socket);
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    checkResult(TransportError::TimedOut, TransferStage::Sent, false);
}

BOOST_FIXTURE_TEST_CASE(callerDisconnectCancelsExchange, Fixture)
{
    bool hasClosed = false;
    bool hasBegun = false;
    ScriptedServer backend{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                               std::string buffer;
                               co_await ScriptedServer::readHead(socket, buffer);
                               hasBegun = true;
                               co_await ScriptedServer::drain(socket);
                               hasClosed = true;
                           }};
    target.origin = backend.url("");
    RawCaller caller{loop, server.port(), get};
    runUntil([&] { return hasBegun; });
    caller.close();
    runUntil([&] { return hasClosed && exchangeResult.has_value(); });
    checkResult(TransportError::CallerDisconnected, TransferStage::Sent, false);
}

BOOST_FIXTURE_TEST_CASE(truncatedUploadNeverLooksComplete, Fixture)
{
    std::size_t received = 0;
    bool hasClosed = false;
    ScriptedServer backend{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                               std::string buffer(65536, '\0');
                               asio::error_code error;
                               while (!error)
                                   received += co_await socket.async_read_some(
                                       asio::buffer(buffer),
                                       asio::redirect_error(asio::use_awaitable, error));
                               hasClosed = true;
                           }};
    target.origin = backend.url("");
    RawCaller caller{loop, server.port(), post(200'000) + std::string(100'000, 'x')};
    runUntil([&] { return received >= 100'000; });
    caller.close();
    runUntil([&] { return hasClosed && exchangeResult.has_value(); });
    checkResult(TransportError::RequestTruncated, TransferStage::Sending, false);
    BOOST_TEST(received < 200'000u);
    BOOST_TEST(!exchangeResult->isBodyResendable);
}

BOOST_FIXTURE_TEST_CASE(buffersOfLargeTransfersAreBounded, Fixture)
{
    constexpr std::size_t size = std::size_t{64} * 1024 * 1024;
    std::size_t received = 0;
    std::uint64_t sum = 0;
    ScriptedServer backend{
        loop, [&](Socket &socket, int) -> asio::awaitable<void> {
            std::string buffer;
            co_await ScriptedServer::readHead(socket, buffer);
            received = buffer.size();
            for (const char c : buffer)
                sum += static_cast<unsigned char>(c);
            buffer.resize(1 << 20);
            while (received < size) {
                const std::size_t length =
                    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
                for (std::size_t i = 0; i < length; ++i)
                    sum += static_cast<unsigned char>(buffer[i]);
                received += length;
            }
            co_await ScriptedServer::write(socket, answerText(std::string(size, 'y')));
        }};
    target.origin = backend.url("");
    std::string body(size, '\0');
    std::uint64_t expected = 0;
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>(i * 31 % 251);
        expected += static_cast<unsigned char>(body[i]);
    }
    RawCaller caller{loop, server.port(), post(size) + body};
    runUntil([&] { return caller.isClosed() && exchangeResult.has_value(); });
    BOOST_TEST(!exchangeResult->error);
    BOOST_TEST(received == size);
    BOOST_TEST(sum == expected);
    BOOST_TEST(exchangeResult->answerBytes == size);
    BOOST_TEST(caller.received().size() > size);
    BOOST_TEST(caller.received().ends_with("yyyy"));
    // The buffers of both directions are full, and one part is in transit from or to the caller.
    BOOST_TEST(exchange->peakBufferedBytes() <= 3 * transferBufferLimit);
    BOOST_TEST_MESSAGE("peak of buffered bytes: " << exchange->peakBufferedBytes());
}

BOOST_FIXTURE_TEST_CASE(slowCallerThrottlesServer, Fixture)
{
    // While the caller reads nothing, the server can't send more than the buffers hold.
    constexpr std::size_t size = std::size_t{64} * 1024 * 1024;
    std::size_t written = 0;
    ScriptedServer backend{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                               std::string buffer;
                               co_await ScriptedServer::readHead(socket, buffer);
                               co_await ScriptedServer::write(socket,
                                                              "HTTP/1.1 200 OK\r\nContent-Length: "
                                                                  + std::to_string(size) + "\r\n"
                                                                  + bulrushFields + "\r\n");
                               const std::string piece(64 * 1024, 'x');
                               while (written < size) {
                                   co_await ScriptedServer::write(socket, piece);
                                   written += piece.size();
                               }
                           }};
    target.origin = backend.url("");
    asio::ip::tcp::socket caller{loop};
    caller.connect({asio::ip::address_v4::loopback(), server.port()});
    asio::write(caller, asio::buffer(get));
    runUntil([&] { return written > 0; });
    while (loop.poll() > 0) { }
    BOOST_TEST(written < size);
    BOOST_TEST(exchange->peakBufferedBytes() <= 3 * transferBufferLimit);
    BOOST_TEST(!exchangeResult.has_value());
    caller.close();
    runUntil([&] { return exchangeResult.has_value(); });
    checkResult(TransportError::CallerDisconnected, TransferStage::Sent, true);
}

BOOST_FIXTURE_TEST_CASE(slowServerThrottlesCaller, Fixture)
{
    // As the server reads only the head, the caller can't send more than the buffers hold.
    constexpr std::size_t size = std::size_t{64} * 1024 * 1024;
    bool hasBegun = false;
    std::optional<Socket> openSocket;
    ScriptedServer backend{loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                               std::string buffer;
                               co_await ScriptedServer::readHead(socket, buffer);
                               openSocket = std::move(socket);
                               hasBegun = true;
                           }};
    target.origin = backend.url("");
    RawCaller caller{loop, server.port(), post(size) + std::string(size, 'x')};
    runUntil([&] { return hasBegun; });
    while (loop.poll() > 0) { }
    BOOST_TEST(exchange->peakBufferedBytes() <= 3 * transferBufferLimit);
    BOOST_TEST(!exchangeResult.has_value());
    openSocket->close();
    runUntil([&] { return exchangeResult.has_value(); });
    checkResult(TransportError::ConnectionLost, TransferStage::Sending, false);
    BOOST_TEST(!exchangeResult->isBodyResendable);
}
