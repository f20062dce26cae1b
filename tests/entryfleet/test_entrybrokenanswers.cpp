#define BOOST_TEST_MODULE EntryBrokenAnswers

#include "entryfleet/scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

constexpr int badGateway = 502;
const std::string stampField = "X-Bulrushswitch-Response-Stamp";
/** Far more than the buffers of both sockets hold, so that it is never sent whole. */
constexpr std::size_t longBodyBytes = std::size_t{24} << 20;
constexpr int serverReceiveBufferBytes = 16 * 1024;

/** \returns the fields of an answer to the request with \a head that make it one of its server. */
std::string ownFields(const std::string &head)
{
    return "X-Bulrushswitch-Request-Id: " + idOf(head) + "\r\n" + stampField + ": s\r\n";
}

std::string soundAnswerTo(const std::string &head)
{
    return "HTTP/1.1 200 OK\r\n" + ownFields(head) + "Content-Length: 5\r\n\r\nsound";
}

bool isUpload(const std::string &head)
{
    return head.starts_with("POST /upload/");
}

/** Waits until the server is used again, which a daemon suspects after broken answers. */
void waitUntilUsed(EntryFleet &fleet)
{
    BOOST_REQUIRE(
        EntryFleet::eventually([&] { return fleet.send("a1", "GET", "/pay/x").status == 200; }));
}

/** Checks that \a result promises nothing and has nothing of the server's answer. */
void expectBadGateway(const SyncHttpResult &result)
{
    BOOST_TEST(result.status == badGateway);
    BOOST_TEST(!result.header(stampField).has_value());
}

/** What a server answers to the request with \a head. */
using Answer = std::function<std::string(const std::string &head)>;

/**
 * Checks that callers get a 502 in place of each of \a answers. The server answers uploads with
 * them, one after the other, and all else soundly.
 */
void expectBadGatewayForEach(const std::vector<Answer> &answers)
{
    std::atomic<std::size_t> uploads = 0;
    ScriptedFleet fleet{[&](Socket &socket, int) -> asio::awaitable<void> {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            const Answer &answer = isUpload(head) ? answers.at(uploads++) : soundAnswerTo;
            co_await ScriptedServer::write(socket, answer(head));
        }
    }};
    for (std::size_t sent = 1; sent <= answers.size(); ++sent) {
        waitUntilUsed(fleet);
        expectBadGateway(fleet.send("a1", "POST", "/upload/x"));
        // The upload may have run, so that it is not sent again.
        BOOST_TEST(uploads == sent);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(answerWithInvalidStatusReachesNoCaller)
{
    std::vector<Answer> answers;
    for (const std::string status : {"000", "00", "99", "0200", "1000", "999"})
        answers.emplace_back([status](const std::string &head) {
            // What follows the broken answer must not be taken for the answer either.
            return "HTTP/1.1 " + status + " Broken\r\n" + ownFields(head)
                + "Content-Length: 0\r\n\r\n" + soundAnswerTo(head);
        });
    expectBadGatewayForEach(answers);
}

BOOST_AUTO_TEST_CASE(answerWithInvalidFieldReachesNoCaller)
{
    std::vector<Answer> answers;
    for (const std::string line : {"Some Name: x", "Content-Length : 3", "Name\t: x", "Na\x01me: x",
                                   " continued: x", "Name: a\x01"})
        answers.emplace_back([line](const std::string &head) {
            std::string answer = soundAnswerTo(head);
            return answer.insert(answer.find("\r\n") + 2, line + "\r\n");
        });
    expectBadGatewayForEach(answers);
}

BOOST_AUTO_TEST_CASE(brokenAnswerThatStatesThatTheRequestDidNotRunProvesNothing)
{
    expectBadGatewayForEach({[](const std::string &head) {
        return "HTTP/1.1 503 Busy\r\n" + ownFields(head)
            + "X-Bulrushswitch-Not-Executed: 1\r\nSome Name: x\r\nContent-Length: 0\r\n\r\n";
    }});
}

BOOST_AUTO_TEST_CASE(answerInAnotherCodingReachesNoCaller)
{
    std::vector<Answer> answers;
    for (const std::string coding : {"gzip, chunked", "chunked, chunked", "identity"})
        answers.emplace_back([coding](const std::string &head) {
            return "HTTP/1.1 200 OK\r\n" + ownFields(head) + "Transfer-Encoding: " + coding
                + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        });
    expectBadGatewayForEach(answers);
}

BOOST_AUTO_TEST_CASE(answerWithInvalidChunksReachesNoCaller)
{
    std::vector<Answer> answers;
    for (const std::string body :
         {"5\r\nwhole body\r\n0\r\n\r\n", "5\r\nwholeXY0\r\n\r\n", "5\rXwhole\r\n0\r\n\r\n",
          "5\r\nwhole\r\n0\r\nSome Name: x\r\n\r\n"})
        answers.emplace_back([body](const std::string &head) {
            return "HTTP/1.1 200 OK\r\n" + ownFields(head) + "Transfer-Encoding: chunked\r\n\r\n"
                + body;
        });
    expectBadGatewayForEach(answers);
}

BOOST_AUTO_TEST_CASE(partOfAnAnswerThatIsResetDuringALongUploadIsNoAnswer)
{
    // From a reset that comes with the answer to one that comes when the daemon waits to write.
    const std::vector<std::chrono::milliseconds> pausesBeforeReset{0ms, 20ms, 100ms, 300ms};
    std::atomic<std::size_t> uploads = 0;
    ScriptedFleet fleet{[&](Socket &socket, int) -> asio::awaitable<void> {
        socket.set_option(asio::socket_base::receive_buffer_size{serverReceiveBufferBytes});
        std::string buffer;
        std::string head = co_await ScriptedServer::readHead(socket, buffer);
        for (; !isUpload(head); head = co_await ScriptedServer::readHead(socket, buffer))
            co_await ScriptedServer::write(socket, soundAnswerTo(head));
        const std::chrono::milliseconds pause = pausesBeforeReset.at(uploads++);
        co_await ScriptedServer::write(socket,
                                       "HTTP/1.1 200 OK\r\n" + ownFields(head) + "\r\nthe first");
        std::this_thread::sleep_for(pause);
        ScriptedServer::reset(socket);
    }};
    const std::string body(longBodyBytes, 'b');
    for (std::size_t sent = 1; sent <= pausesBeforeReset.size(); ++sent) {
        waitUntilUsed(fleet);
        const SyncHttpResult result = fleet.send("a1", "POST", "/upload/x", std::nullopt, body);
        expectBadGateway(result);
        BOOST_TEST(result.body.find("the first") == std::string::npos);
        // The upload may have run, so that it is not sent again.
        BOOST_TEST(uploads == sent);
    }
}
