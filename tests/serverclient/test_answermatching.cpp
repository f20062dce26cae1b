#define BOOST_TEST_MODULE AnswerMatching

#include "clientfixture.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <thread>
#include <vector>

using namespace bulrush;
using namespace bulrush::io;
using namespace bulrush::test;
using namespace std::chrono_literals;

using Socket = ScriptedServer::Socket;

namespace {

/** Long enough for the client to read one segment before the next one. */
constexpr Duration segmentPause = 1ms;
const std::string withoutId =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string idleTimeoutAnswer =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/** What a server writes, each part in a segment of its own. */
using Segments = std::vector<std::string>;

std::string idIn(const std::string &head)
{
    const std::string field = echoedFieldName + ": ";
    const std::size_t value = head.find(field) + field.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

Segments cut(const std::string &bytes, std::size_t place)
{
    return {bytes.substr(0, place), bytes.substr(place)};
}

/** A server that answers each request without a body with what \a answers returns for its id. */
class AnsweringServer
{
public:
    using Answers = std::function<Segments(const std::string &id)>;

    AnsweringServer(
        asio::io_context &loop,
        Answers answers = [](const std::string &id) { return Segments{answerTo(id, id)}; })
        : m_answers(std::move(answers))
        , m_server(loop, [this](Socket &socket, int) { return serve(socket); })
    { }

    const ScriptedServer &server() const
    {
        return m_server;
    }

    /** \returns how many copies of the request \a id came. */
    int copies(const std::string &id) const
    {
        const auto found = m_copies.find(id);
        return found == m_copies.end() ? 0 : found->second;
    }

    /** Writes \a bytes to the connection that was opened last, at once. */
    void writeNow(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(*m_latest, asio::buffer(bytes), ignored);
    }

    /** Ends the stream to the client on the connection that was opened last, at once. */
    void endNow()
    {
        asio::error_code ignored;
        m_latest->shutdown(Socket::shutdown_send, ignored);
    }

    /** \returns whether a connection is open. */
    bool hasConnection() const
    {
        return m_latest != nullptr;
    }

private:
    asio::awaitable<void> serve(Socket &socket)
    {
        m_latest = &socket;
        socket.set_option(asio::ip::tcp::no_delay{true});
        asio::steady_timer timer{socket.get_executor()};
        std::string buffer;
        for (;;) {
            const std::string id = idIn(co_await ScriptedServer::readHead(socket, buffer));
            ++m_copies[id];
            for (const std::string &segment : m_answers(id)) {
                co_await ScriptedServer::write(socket, segment);
                timer.expires_after(segmentPause);
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
    }

    Answers m_answers;
    std::map<std::string, int> m_copies;
    Socket *m_latest = nullptr;
    ScriptedServer m_server;
};

/** \returns whether \a result is the answer of an AnsweringServer to \a id. */
bool isAnswerTo(const HttpResult &result, const std::string &id)
{
    return !result.error && result.response.status == 200 && result.response.body == id;
}

struct Fixture : ClientFixture
{
    /** Sends a request \a id and checks that it gets its own answer. */
    void checkAnswered(const AnsweringServer &server, const std::string &id)
    {
        const HttpResult result = send(call(server.server(), id));
        BOOST_TEST(isAnswerTo(result, id),
                   id << " got " << result.response.status << " '" << result.response.body << "' "
                      << result.error.message());
    }

    /** Establishes a connection to \a server without a call on it. */
    void open(const AnsweringServer &server)
    {
        std::optional<bool> isConnected;
        client.probe(call(server.server(), "none"), [&](bool is) { isConnected = is; });
        run([&] { return isConnected && server.hasConnection(); });
        BOOST_REQUIRE(*isConnected);
    }

    /**
     * Sends \a serverCall in the same turn of the loop in which its connection gets what \a act
     * makes the server send, after that has arrived and before the client has handled it.
     */
    HttpResult sendJustAfter(const std::function<void()> &act, ServerCall serverCall)
    {
        std::optional<HttpResult> result;
        settle();
        act();
        std::this_thread::sleep_for(5ms);
        loop.restart();
        asio::post(loop, [&] {
            client.send(std::move(serverCall),
                        [&](HttpResult httpResult) { result = std::move(httpResult); });
        });
        run([&] { return result.has_value(); });
        return std::move(*result);
    }
};

/**
 * Checks whether an answer with the lines \a idLines is taken for that to the request one-id, on a
 * connection's first call and on a later one. The right answer follows it.
 */
void checkTaken(const std::vector<std::string> &idLines, bool isExpected)
{
    const std::string id = "one-id";
    std::string answer = "HTTP/1.1 200 OK\r\n";
    for (const std::string &line : idLines)
        answer += line + "\r\n";
    answer += "Content-Length: 6\r\n\r\nstated";
    for (const bool isFirstCall : {true, false}) {
        Fixture fixture;
        const AnsweringServer server{fixture.loop, [&](const std::string &asked) {
                                         return asked == id
                                             ? Segments{answer, answerTo(id, "right")}
                                             : Segments{answerTo(asked, asked)};
                                     }};
        if (!isFirstCall)
            fixture.checkAnswered(server, "first");
        const HttpResult result = fixture.send(fixture.call(server.server(), id));
        BOOST_TEST(!result.error);
        BOOST_TEST(result.response.body == (isExpected ? "stated" : "right"),
                   (isFirstCall ? "first" : "later")
                       << " call took '" << result.response.body << "' of: " << answer);
    }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(repeatNeverUsesAConnectionThatCarriedTheRequest, Fixture)
{
    const AnsweringServer server{loop};
    std::vector<ConnectionNumber> used;
    for (int attempt = 0; attempt < 4; ++attempt) {
        ServerCall repeat = call(server.server(), "repeated");
        repeat.avoidedConnections = used;
        const HttpResult result = send(std::move(repeat));
        BOOST_TEST(isAnswerTo(result, "repeated"));
        BOOST_TEST((std::ranges::find(used, result.connection) == used.end()));
        used.push_back(result.connection);
        checkAnswered(server, "between");
    }
    BOOST_TEST(client.openedConnectionCount() == used.size());
}

BOOST_FIXTURE_TEST_CASE(connectionsThatOneRequestAvoidsCarryOthers, Fixture)
{
    const AnsweringServer server{loop};
    const ConnectionNumber first = send(call(server.server(), "one")).connection;
    ServerCall repeat = call(server.server(), "one");
    repeat.avoidedConnections = {first};
    BOOST_TEST(send(std::move(repeat)).connection != first);
    std::vector<ConnectionNumber> connections;
    for (const std::string id : {"two", "three"}) {
        client.send(call(server.server(), id), [&, id](const HttpResult &result) {
            BOOST_TEST(isAnswerTo(result, id));
            connections.push_back(result.connection);
        });
    }
    run([&] { return connections.size() == 2; });
    BOOST_TEST((std::ranges::find(connections, first) != connections.end()));
    BOOST_TEST(client.openedConnectionCount() == 2U);
}

BOOST_AUTO_TEST_CASE(secondCopyOfAnEarlierAnswerIsNeverTakenForTheRightOne)
{
    const std::string earlier = answerTo("earlier", "earlier");
    const std::string right = answerTo("right", "right");
    const std::array<std::string, 3> streams = {earlier + right, right + earlier,
                                                earlier + right + earlier};
    for (const std::string &stream : streams) {
        for (std::size_t place = 0; place <= stream.size(); ++place) {
            BOOST_TEST_CONTEXT("cut at " << place << " of: " << stream)
            {
                Fixture fixture;
                const AnsweringServer server{fixture.loop, [&](const std::string &id) {
                                                 return id == "right" ? cut(stream, place)
                                                                      : Segments{answerTo(id, id)};
                                             }};
                for (const std::string id : {"earlier", "right", "later"})
                    fixture.checkAnswered(server, id);
                BOOST_TEST(server.copies("right") == 1);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(secondAnswerThatBeginsOnTheIdleConnectionDoesNotDisturbTheNextRequest)
{
    const std::string earlier = answerTo("earlier", "earlier");
    for (std::size_t place = 1; place <= earlier.size(); place += 7) {
        Fixture fixture;
        const AnsweringServer server{fixture.loop, [&](const std::string &id) {
                                         return id == "earlier"
                                             ? Segments{earlier, earlier.substr(0, place)}
                                             : Segments{answerTo(id, id)};
                                     }};
        fixture.checkAnswered(server, "earlier");
        fixture.settle();
        fixture.checkAnswered(server, "next");
        BOOST_TEST(server.copies("next") == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(answerWithoutIdIsNeverTakenOnALaterCall, Fixture)
{
    const AnsweringServer server{
        loop, [](const std::string &id) {
            const Segments right{answerTo(id, id)};
            return id == "first" ? right : Segments{withoutId, right.front()};
        }};
    checkAnswered(server, "first");
    for (const std::string id : {"second", "third"})
        checkAnswered(server, id);
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answerWithoutIdAloneIsNoAnswerToALaterCall, Fixture)
{
    AnsweringServer server{loop, [&](const std::string &id) {
                               return Segments{id == "first" ? answerTo(id, id) : withoutId};
                           }};
    checkAnswered(server, "first");
    ServerCall later = call(server.server(), "later");
    later.timeout = 200ms;
    const HttpResult result = send(std::move(later));
    BOOST_TEST(static_cast<bool>(result.error));
    BOOST_TEST((result.stage == TransferStage::Sent));
}

BOOST_FIXTURE_TEST_CASE(answerWithoutIdAfterAWithdrawnCallIsNotTaken, Fixture)
{
    const AnsweringServer server{loop, [](const std::string &id) {
                                     return Segments{withoutId, answerTo(id, id)};
                                 }};
    ServerCall unwanted = call(server.server(), "unwanted");
    unwanted.confirmSend = [] {
        return false;
    };
    BOOST_TEST(send(std::move(unwanted)).error == TransportError::CallWithdrawn);
    checkAnswered(server, "next");
    BOOST_TEST(server.copies("unwanted") == 0);
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(secondAnswerToALargeRequestThatWasRefusedEarlyReachesNoOtherRequest)
{
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: large\r\nContent-Length: 0\r\n\r\n";
    for (const bool isInOneSegment : {true, false}) {
        Fixture fixture;
        ScriptedServer server{fixture.loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                                  std::string buffer;
                                  const std::string id =
                                      idIn(co_await ScriptedServer::readHead(socket, buffer));
                                  if (id != "large") {
                                      co_await ScriptedServer::write(socket, answerTo(id, id));
                                      co_return;
                                  }
                                  const std::string second = answerTo("large", "second");
                                  std::string first = refusal;
                                  if (isInOneSegment)
                                      first += second;
                                  co_await ScriptedServer::write(socket, first);
                                  asio::steady_timer timer{fixture.loop, 5ms};
                                  co_await timer.async_wait(asio::use_awaitable);
                                  if (!isInOneSegment)
                                      co_await ScriptedServer::write(socket, second);
                                  co_await ScriptedServer::drain(socket);
                              }};
        const HttpResult early =
            fixture.send(fixture.call(server, "large", std::string(16 << 20, 'x')));
        BOOST_TEST(!early.error);
        BOOST_TEST(early.response.status == 503);
        BOOST_TEST(isAnswerTo(fixture.send(fixture.call(server, "next")), "next"));
        BOOST_TEST(server.connections() == 2);
    }
}

BOOST_AUTO_TEST_CASE(interimAnswersAreNoAnswersAndTheirFieldsAreDropped)
{
    for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        const std::string interim =
            "HTTP/1.1 " + status + "\r\n" + "Request-Id: other\r\nNot-Executed: 1\r\n\r\n";
        Fixture fixture;
        const AnsweringServer server{fixture.loop, [&](const std::string &id) {
                                         return Segments{interim, interim + answerTo(id, id)};
                                     }};
        for (const std::string id : {"one", "two"}) {
            const HttpResult result = fixture.send(fixture.call(server.server(), id));
            BOOST_TEST(isAnswerTo(result, id));
            BOOST_TEST(findField(result.response.headers, "Not-Executed") == nullptr);
        }
        BOOST_TEST(server.server().connections() == 1);
    }
}

BOOST_AUTO_TEST_CASE(interimAnswerOrSwitchOfProtocolAloneIsNoAnswer)
{
    for (const std::string start :
         {"100 Continue\r\n", "101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n"}) {
        Fixture fixture;
        ScriptedServer server{fixture.loop, [&](Socket &socket, int) -> asio::awaitable<void> {
                                  std::string buffer;
                                  co_await ScriptedServer::readHead(socket, buffer);
                                  co_await ScriptedServer::write(
                                      socket, "HTTP/1.1 " + start + "Request-Id: one\r\n\r\n");
                              }};
        const HttpResult result = fixture.send(fixture.call(server, "one"));
        BOOST_TEST(static_cast<bool>(result.error));
        BOOST_TEST((result.stage != TransferStage::NotConnected));
    }
}

BOOST_AUTO_TEST_CASE(idleTimeoutOfAKeptConnectionIsNoAnswerToTheNextRequest)
{
    for (const bool isClosed : {true, false}) {
        Fixture fixture;
        AnsweringServer server{fixture.loop};
        fixture.checkAnswered(server, "first");
        const auto timeOut = [&] {
            server.writeNow(idleTimeoutAnswer);
            if (isClosed)
                server.endNow();
        };
        const HttpResult result =
            fixture.sendJustAfter(timeOut, fixture.call(server.server(), "next"));
        BOOST_TEST(result.response.status != 408);
        BOOST_TEST((result.error || isAnswerTo(result, "next")));
        BOOST_TEST(server.copies("next") <= 1);
        fixture.checkAnswered(server, "after");
    }
}

BOOST_AUTO_TEST_CASE(idleTimeoutOfAConnectionWithoutCallsIsNoAnswerToItsFirstRequest)
{
    for (const bool isClosed : {true, false}) {
        Fixture fixture;
        AnsweringServer server{fixture.loop};
        fixture.open(server);
        const auto timeOut = [&] {
            server.writeNow(idleTimeoutAnswer);
            if (isClosed)
                server.endNow();
        };
        const HttpResult result =
            fixture.sendJustAfter(timeOut, fixture.call(server.server(), "next"));
        BOOST_TEST(result.response.status != 408);
        BOOST_TEST((result.error || isAnswerTo(result, "next")));
        BOOST_TEST(server.copies("next") <= 1);
    }
}

BOOST_FIXTURE_TEST_CASE(answerToHeadHasNoBodyAndLeavesTheConnectionUsable, Fixture)
{
    const AnsweringServer server{
        loop, [](const std::string &id) {
            const std::string text = answerTo(id, id);
            return Segments{id == "head" ? text.substr(0, text.size() - id.size()) : text};
        }};
    ServerCall head = call(server.server(), "head");
    head.method = "HEAD";
    const HttpResult result = send(std::move(head));
    BOOST_TEST(!result.error);
    BOOST_TEST(result.response.body == "");
    checkAnswered(server, "next");
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(secondAnswerAcrossAChangeOfMethodIsNeverTakenForTheRightOne)
{
    for (const bool isHeadFirst : {true, false}) {
        const auto textOf = [isHeadFirst](const std::string &id) {
            const bool isHead = (id == "earlier") == isHeadFirst;
            const std::string text = answerTo(id, id);
            return isHead ? text.substr(0, text.size() - id.size()) : text;
        };
        Fixture fixture;
        const AnsweringServer server{fixture.loop, [&](const std::string &id) {
                                         return id == "earlier"
                                             ? Segments{textOf(id)}
                                             : Segments{textOf("earlier") + textOf(id)};
                                     }};
        ServerCall earlier = fixture.call(server.server(), "earlier");
        ServerCall next = fixture.call(server.server(), "next");
        (isHeadFirst ? earlier : next).method = "HEAD";
        next.timeout = 300ms;
        BOOST_TEST(!fixture.send(std::move(earlier)).error);
        const HttpResult result = fixture.send(std::move(next));
        const HttpHeader *id = findField(result.response.headers, echoedFieldName);
        BOOST_TEST((result.error || (id && id->value == "next")));
        BOOST_TEST((result.error || result.response.body == (isHeadFirst ? "next" : "")));
    }
}

BOOST_AUTO_TEST_CASE(answerWithAnotherIdIsNeverTaken)
{
    for (const std::string value : {"One-Id", "ONE-ID", "one-i", "one-idd", "one", "one id",
                                    "one-id,one-id", "one-id, other", "\"one-id\"", "", "other"})
        checkTaken({"Request-Id: " + value}, false);
}

BOOST_AUTO_TEST_CASE(answerWithTheIdAmongOthersIsNeverTaken)
{
    checkTaken({"Request-Id: one-id", "Request-Id: other"}, false);
    checkTaken({"Request-Id: other", "Request-Id: one-id"}, false);
    checkTaken({"Request-Id: one-id", "Request-Id: "}, false);
    checkTaken({"Request-Id: one-id", "request-id: One-Id"}, false);
    checkTaken({"Request-Id: other", "Request-Id: other"}, false);
}

BOOST_AUTO_TEST_CASE(caseOfTheFieldsNameAndRepeatsOfTheSameIdDoNotMatter)
{
    for (const std::string name : {"Request-Id", "request-id", "REQUEST-ID"})
        checkTaken({name + ": one-id"}, true);
    checkTaken({"Request-Id: one-id", "request-id: one-id"}, true);
}

BOOST_AUTO_TEST_CASE(whiteSpaceAroundTheIdIsNoPartOfIt)
{
    for (const std::string value : {"  one-id", "one-id  ", "\tone-id\t", "one-id\t"})
        checkTaken({"Request-Id:" + value}, true);
}

BOOST_FIXTURE_TEST_CASE(fieldsInTheTrailerOfAnAnswerAreNotFieldsOfTheAnswer, Fixture)
{
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    const std::string own = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: one\r\n" + chunks
        + "Not-Executed: 1\r\n\r\n";
    const AnsweringServer server{loop, [&](const std::string &) {
                                     return Segments{own};
                                 }};
    for (int i = 0; i < 2; ++i) {
        const HttpResult result = send(call(server.server(), "one"));
        BOOST_TEST(!result.error);
        BOOST_TEST(result.response.body == "abc");
        BOOST_TEST(findField(result.response.headers, "Not-Executed") == nullptr);
    }
}

BOOST_FIXTURE_TEST_CASE(idInATrailerDoesNotMakeAnAnswerThatOfALaterCall, Fixture)
{
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    const AnsweringServer server{
        loop, [&](const std::string &id) {
            const std::string trailer =
                "HTTP/1.1 200 OK\r\n" + chunks + "Request-Id: " + id + "\r\n\r\n";
            return id == "first" ? Segments{answerTo(id, id)} : Segments{trailer, answerTo(id, id)};
        }};
    checkAnswered(server, "first");
    checkAnswered(server, "later");
}

BOOST_FIXTURE_TEST_CASE(callIsConfirmedOnceBeforeItsFirstByte, Fixture)
{
    const AnsweringServer server{loop};
    int asked = 0;
    const auto confirmed = [&](const std::string &id) {
        ServerCall serverCall = call(server.server(), id);
        serverCall.confirmSend = [&, id] {
            ++asked;
            BOOST_TEST(server.copies(id) == 0);
            return true;
        };
        return serverCall;
    };
    BOOST_TEST(isAnswerTo(send(confirmed("on-a-new-connection")), "on-a-new-connection"));
    BOOST_TEST(asked == 1);
    BOOST_TEST(isAnswerTo(send(confirmed("on-a-kept-one")), "on-a-kept-one"));
    BOOST_TEST(asked == 2);
    BOOST_TEST(client.openedConnectionCount() == 1U);
    ServerCall late = confirmed("late");
    late.avoidedConnections = {1};
    late.sendDeadline = hostNow() - 1ms;
    BOOST_TEST(static_cast<bool>(send(std::move(late)).error));
    BOOST_TEST(asked == 2);
    BOOST_TEST(server.copies("late") == 0);
}

BOOST_FIXTURE_TEST_CASE(callToAServerThatRefusesConnectionsIsNotConfirmed, Fixture)
{
    ScriptedServer server{loop, [](Socket &, int) -> asio::awaitable<void> {
                              co_return;
                          }};
    ServerCall unreached = call(server, "one");
    server.close();
    int asked = 0;
    unreached.confirmSend = [&] {
        ++asked;
        return true;
    };
    BOOST_TEST((send(std::move(unreached)).stage == TransferStage::NotConnected));
    BOOST_TEST(asked == 0);
}

BOOST_FIXTURE_TEST_CASE(callWithdrawnOnAKeptConnectionSendsNothingAndKeepsIt, Fixture)
{
    const AnsweringServer server{loop};
    checkAnswered(server, "first");
    for (int i = 0; i < 3; ++i) {
        int asked = 0;
        ServerCall unwanted = call(server.server(), "unwanted", "body");
        unwanted.confirmSend = [&] {
            ++asked;
            return false;
        };
        const HttpResult result = send(std::move(unwanted));
        BOOST_TEST(result.error == TransportError::CallWithdrawn);
        BOOST_TEST((result.stage == TransferStage::NotConnected));
        BOOST_TEST(asked == 1);
        checkAnswered(server, "wanted-" + std::to_string(i));
    }
    settle();
    BOOST_TEST(server.copies("unwanted") == 0);
    BOOST_TEST(client.openedConnectionCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(callWithdrawnWhileTheServerClosesSendsNothingAndEndsOnce, Fixture)
{
    AnsweringServer server{loop};
    checkAnswered(server, "first");
    int asked = 0;
    ServerCall unwanted = call(server.server(), "unwanted");
    unwanted.confirmSend = [&] {
        ++asked;
        return false;
    };
    const HttpResult result = sendJustAfter([&] { server.endNow(); }, std::move(unwanted));
    BOOST_TEST(static_cast<bool>(result.error));
    BOOST_TEST((result.stage == TransferStage::NotConnected));
    BOOST_TEST(asked <= 1);
    settle();
    checkAnswered(server, "next");
    BOOST_TEST(server.copies("unwanted") == 0);
}

BOOST_AUTO_TEST_CASE(withdrawnCallGetsNoAnswer)
{
    for (const bool isFirstCall : {true, false}) {
        Fixture fixture;
        AnsweringServer server{fixture.loop};
        if (isFirstCall)
            fixture.open(server);
        else
            fixture.checkAnswered(server, "first");
        ServerCall unwanted = fixture.call(server.server(), "unwanted");
        unwanted.confirmSend = [] {
            return false;
        };
        const auto answer = [&] {
            server.writeNow(isFirstCall ? withoutId : answerTo("unwanted", "x"));
        };
        const HttpResult result = fixture.sendJustAfter(answer, std::move(unwanted));
        BOOST_TEST(static_cast<bool>(result.error));
        BOOST_TEST((result.stage == TransferStage::NotConnected));
        fixture.settle();
        fixture.checkAnswered(server, "next");
        BOOST_TEST(server.copies("unwanted") == 0);
    }
}

BOOST_AUTO_TEST_CASE(secondAnswerThatBeginsWhileACallIsWithdrawnDoesNotDisturbTheNextOne)
{
    const std::string earlier = answerTo("first", "first");
    for (std::size_t place = 1; place < earlier.size(); place += 9) {
        Fixture fixture;
        const AnsweringServer *target = nullptr;
        AnsweringServer server{fixture.loop, [&](const std::string &id) {
                                   const bool isOnSameConnection =
                                       target && target->server().connections() == 1;
                                   return id == "next" && isOnSameConnection
                                       ? Segments{earlier.substr(place), answerTo(id, id)}
                                       : Segments{answerTo(id, id)};
                               }};
        target = &server;
        fixture.checkAnswered(server, "first");
        ServerCall unwanted = fixture.call(server.server(), "unwanted");
        unwanted.confirmSend = [] {
            return false;
        };
        const auto begin = [&] {
            server.writeNow(earlier.substr(0, place));
        };
        const HttpResult withdrawn = fixture.sendJustAfter(begin, std::move(unwanted));
        BOOST_TEST((withdrawn.stage == TransferStage::NotConnected));
        fixture.settle();
        ServerCall next = fixture.call(server.server(), "next");
        next.timeout = 500ms;
        const HttpResult result = fixture.send(std::move(next));
        BOOST_TEST(isAnswerTo(result, "next"),
                   "cut at " << place << ": " << result.error.message());
        BOOST_TEST(server.copies("next") == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(timeOutOfAnAnsweredCallDoesNotEndTheNextOne, Fixture)
{
    AnsweringServer server{loop, [](const std::string &id) {
                               return id == "first" ? Segments{} : Segments{answerTo(id, id)};
                           }};
    ServerCall first = call(server.server(), "first");
    first.timeout = 100ms;
    std::optional<HttpResult> firstResult;
    std::optional<HttpResult> nextResult;
    client.send(std::move(first), [&](HttpResult result) {
        firstResult = std::move(result);
        client.send(call(server.server(), "next"),
                    [&](HttpResult later) { nextResult = std::move(later); });
    });
    run([&] { return server.copies("first") == 1; });
    server.writeNow(answerTo("first", "first"));
    // Both the answer and the time-out are due when the loop runs again.
    std::this_thread::sleep_for(150ms);
    run([&] { return nextResult.has_value(); });
    if (!isAnswerTo(*firstResult, "first"))
        BOOST_TEST(firstResult->error == TransportError::TimedOut);
    BOOST_TEST(isAnswerTo(*nextResult, "next"), nextResult->error.message());
}

BOOST_FIXTURE_TEST_CASE(timeOutOfAConnectionAttemptDoesNotEndACallThatWasSent, Fixture)
{
    const AnsweringServer server{loop};
    ServerCall late = call(server.server(), "late");
    late.connectTimeout = 20ms;
    std::optional<HttpResult> result;
    client.send(std::move(late), [&](HttpResult httpResult) { result = std::move(httpResult); });
    // Both the connection and its time-out are due when the loop runs.
    std::this_thread::sleep_for(60ms);
    run([&] { return result.has_value(); });
    const bool isUnsent =
        result->error && result->stage == TransferStage::NotConnected && server.copies("late") == 0;
    BOOST_TEST((isUnsent || isAnswerTo(*result, "late")), result->error.message());
}
