#define BOOST_TEST_MODULE BrokenAnswers

#include "clientfixture.h"

#include "connection/transporterror.h"

#include <asio/use_awaitable.hpp>

#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::io;
using namespace bulrush::test;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

/** Far more than the buffers of both sockets hold, so that it is never sent whole. */
constexpr std::size_t longBodyBytes = std::size_t{24} << 20;
constexpr int serverReceiveBufferBytes = 16 * 1024;

/** How a server ends a connection whose request it has not read. */
enum class End {
    Reset,
    OrderlyCloseThenReset,
};

/** Answers each request with \a answer before its body is read, and ends the connection at once. */
ScriptedServer::Script answeringEarly(std::string answer, End end)
{
    return [answer = std::move(answer), end](Socket &socket, int) -> asio::awaitable<void> {
        socket.set_option(asio::socket_base::receive_buffer_size{serverReceiveBufferBytes});
        std::string buffer;
        co_await ScriptedServer::readHead(socket, buffer);
        co_await ScriptedServer::write(socket, answer);
        if (end == End::OrderlyCloseThenReset)
            socket.shutdown(Socket::shutdown_send);
        ScriptedServer::reset(socket);
    };
}

std::string answerWithoutLength(const std::string &statusLine, const std::string &fields = {})
{
    return statusLine + "\r\nRequest-Id: one\r\n" + fields + "\r\nthe first part";
}

/** Sends a long request to a server that runs \a script. */
struct LongRequest : ClientFixture
{
    HttpResult sendTo(ScriptedServer::Script script)
    {
        ScriptedServer server{loop, std::move(script)};
        HttpResult result = send(call(server, "one", std::string(longBodyBytes, 'x')));
        connections = server.connections();
        return result;
    }

    int connections = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(answerWithoutLengthIsIncompleteIfResetDuringTheRequest)
{
    const std::vector<std::string> answers{
        answerWithoutLength("HTTP/1.1 200 OK"),
        answerWithoutLength("HTTP/1.1 200 OK", "Connection: close\r\n"),
        answerWithoutLength("HTTP/1.0 200 OK"),
        answerWithoutLength("HTTP/1.1 500 Internal Server Error"),
    };
    for (const std::string &answer : answers) {
        LongRequest request;
        const HttpResult result = request.sendTo(answeringEarly(answer, End::Reset));
        BOOST_TEST(result.error == TransportError::AnswerTruncated, answer);
        BOOST_TEST((result.stage == TransferStage::Sending));
        BOOST_TEST(request.connections == 1);
    }
}

BOOST_AUTO_TEST_CASE(emptyBodyWithoutLengthIsIncompleteIfResetDuringTheRequest)
{
    LongRequest request;
    const HttpResult result =
        request.sendTo(answeringEarly("HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n", End::Reset));
    BOOST_TEST(result.error == TransportError::AnswerTruncated);
}

BOOST_AUTO_TEST_CASE(answerWithoutLengthIsCompleteIfClosedInOrderBeforeAReset)
{
    LongRequest request;
    const HttpResult result = request.sendTo(
        answeringEarly(answerWithoutLength("HTTP/1.1 200 OK"), End::OrderlyCloseThenReset));
    BOOST_TEST(!result.error, result.error.message());
    BOOST_TEST(result.response.body == "the first part");
}

BOOST_AUTO_TEST_CASE(framedAnswerIsCompleteDespiteAResetDuringTheRequest)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const std::string &answer : {answerTo("one", "whole"), chunked}) {
        LongRequest request;
        const HttpResult result = request.sendTo(answeringEarly(answer, End::Reset));
        BOOST_TEST(!result.error, result.error.message());
        BOOST_TEST(result.response.body == "whole");
    }
}
