#define BOOST_TEST_MODULE AnswersOfServersAndDaemons

#include "forwardworker/trafficfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <optional>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

const std::string idField = "X-Bulrushswitch-Request-Id";
const std::string statementLine = "X-Bulrushswitch-Not-Executed: 1\r\n";

/** \returns whether a caller who gets \a status may repeat the request: it did not run. */
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** \returns the text of an answer with the field lines \a fields and no body. */
std::string answerOf(int status, const std::string &fields)
{
    const std::string length = status == 204 ? "" : "Content-Length: 0\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + fields + length + "\r\n";
}

std::string idLine(const std::string &id)
{
    return idField + ": " + id + "\r\n";
}

/**
 * A server that answers `/warm` with 200, and all other requests with the text that \a answer
 * returns for their id, without reading their bodies. It may close connections after such answers,
 * so that a request whose answer is dropped does not wait for its deadline.
 */
class TextServer
{
public:
    using Answer = std::function<std::string(const std::string &id)>;

    explicit TextServer(Answer answer, bool isClosing = false)
        : m_answer(std::move(answer))
        , m_isClosing(isClosing)
    { }

    Endpoint endpoint() const
    {
        return endpointOf(m_backend.address());
    }

    /** \returns how many copies of requests other than `/warm` came. */
    int copies() const
    {
        return m_copies;
    }

private:
    asio::awaitable<void> serve(ScriptedServer::Socket &socket)
    {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            std::string text = answerHead(head) + "Content-Length: 0\r\n\r\n";
            const bool isCounted = head.find("/warm") == std::string::npos;
            if (isCounted) {
                ++m_copies;
                text = m_answer(fieldOf(head, idField));
            }
            co_await ScriptedServer::write(socket, text);
            if (isCounted && m_isClosing)
                co_return;
        }
    }

    const Answer m_answer;
    const bool m_isClosing;
    std::atomic<int> m_copies{0};
    ScriptedBackend m_backend{[this](ScriptedServer::Socket &socket, int) {
        return serve(socket);
    }};
};

/** A daemon with one server. */
struct DirectFixture
{
    explicit DirectFixture(TextServer::Answer answer, bool isClosing = false)
        : server(std::move(answer), isClosing)
    {
        node.setState(routingState({server.endpoint()}));
    }

    TextServer server;
    TrafficNode node{"a1"};
};

/** A daemon that reaches no server, and another one that reaches one. */
struct RelayFixture
{
    explicit RelayFixture(TextServer::Answer answer)
        : server(std::move(answer))
    {
        auto state = routingState({refusingAddress(), refusingAddress()});
        state->relays = {helper.relay()};
        cutOff.setState(state);
        helper.setState(routingState({server.endpoint()}));
    }

    TextServer server;
    TrafficNode helper{"b1"};
    TrafficNode cutOff{"a1"};
};

/** A daemon that reaches no server; \a answer is what another daemon answers. */
struct ScriptedRelayFixture
{
    explicit ScriptedRelayFixture(TextServer::Answer answer)
        : other(std::move(answer))
    {
        auto state = routingState({refusingAddress(), refusingAddress()});
        state->relays = {{HostName{"b1"}, DomainName{"b"}, other.endpoint()}};
        cutOff.setState(state);
    }

    TextServer other;
    TrafficNode cutOff{"a1"};
};

/** How an answer names its request. */
enum class IdSign {
    None,
    Right,
    Prefix,
    OtherCase,
    RightThenAnother,
};

std::string idLines(IdSign sign, const std::string &id)
{
    switch (sign) {
    case IdSign::None:
        return {};
    case IdSign::Right:
        return idLine(id);
    case IdSign::Prefix:
        return idLine(id.substr(0, id.size() - 1));
    case IdSign::OtherCase:
        return idLine("R" + id.substr(1));
    case IdSign::RightThenAnother:
        return idLine(id) + idLine("other");
    }
    return {};
}

/** An answer of the server p0 or of another one at its address. */
struct StatedAnswer
{
    int status = 0;
    bool isStated = false;
    bool isByAnother = false;
    IdSign id = IdSign::None;

    std::string text(const std::string &request) const
    {
        const std::string server =
            std::string{"X-Bulrushswitch-Instance-Id: "} + (isByAnother ? "p9" : "p0") + "\r\n";
        return answerOf(status,
                        idLines(id, request) + server + (isStated ? statementLine : std::string{}));
    }

    /** \returns whether the server states, about this request, that it did not run it. */
    bool isDenial() const
    {
        const bool isRefusal = status == 400 || status == 421 || status == 429 || status == 503;
        const bool isReplaced = status == 421 && isByAnother;
        return id == IdSign::Right && isRefusal && (isStated || isReplaced);
    }
};

/** Sends a request that runs once at most, on a new connection or a kept one, and checks it. */
void checkPromise(const StatedAnswer &answer, bool isFirstCall)
{
    const TextServer::Answer textOf = [&](const std::string &id) {
        return answer.text(id);
    };
    DirectFixture fixture{textOf, true};
    if (!isFirstCall)
        BOOST_REQUIRE(fixture.node.send("/warm").status == 200);
    const SyncHttpResult result = fixture.node.send("/pay");
    const std::string text = "status " + std::to_string(answer.status)
        + (answer.isStated ? ", stated" : ", not stated")
        + (answer.isByAnother ? ", by another server" : "") + ", id sign "
        + std::to_string(static_cast<int>(answer.id)) + (isFirstCall ? ", first" : ", later")
        + " call: " + std::to_string(result.status);
    BOOST_TEST(result.status != 0, text);
    BOOST_TEST(isPromise(result.status) == answer.isDenial(), text);
    if (!answer.isDenial())
        BOOST_TEST(fixture.server.copies() == 1, text);
}

void checkPromises(IdSign id)
{
    for (const int status : {200, 204, 400, 408, 421, 429, 500, 502, 503, 504}) {
        for (const bool isStated : {true, false}) {
            for (const bool isByAnother : {true, false}) {
                for (const bool isFirstCall : {true, false})
                    checkPromise({status, isStated, isByAnother, id}, isFirstCall);
            }
        }
    }
}

const std::array<std::string, 7> outcomes = {"answered",    "not-run", "denied",  "cut-off",
                                             "unavailable", "unknown", "rejected"};

/** \returns the lines of a daemon's statement; no line for the request if \a id is empty. */
std::string relayLines(const std::string &outcome, const std::string &id)
{
    return "X-Bulrush-Relay-Outcome: " + outcome + "\r\nX-Bulrush-Relay-Reason: some-reason\r\n"
        + (id.empty() ? "" : "X-Bulrush-Relay-Request: " + id + "\r\n");
}

/** Checks that a request that another daemon answers with \a answer gets no promise. */
void checkNoRelayedPromise(const std::string &name, const TextServer::Answer &answer)
{
    ScriptedRelayFixture fixture{answer};
    const SyncHttpResult result = fixture.cutOff.send("/pay", {}, 500);
    BOOST_TEST(result.status != 0, name);
    BOOST_TEST(!isPromise(result.status), name << ": " << result.status);
    BOOST_TEST(fixture.other.copies() == 1, name);
}

} // namespace

BOOST_AUTO_TEST_CASE(answerWithTheRequestsIdIsAPromiseOnlyIfItsServerDenies)
{
    checkPromises(IdSign::Right);
}

BOOST_AUTO_TEST_CASE(answerWithoutIdIsNoPromise)
{
    checkPromises(IdSign::None);
}

BOOST_AUTO_TEST_CASE(answerWithAPartOfTheIdIsNoPromise)
{
    checkPromises(IdSign::Prefix);
}

BOOST_AUTO_TEST_CASE(answerWithTheIdInOtherCaseIsNoPromise)
{
    checkPromises(IdSign::OtherCase);
}

BOOST_AUTO_TEST_CASE(answerThatNamesTwoRequestsIsNoPromise)
{
    checkPromises(IdSign::RightThenAnother);
}

BOOST_AUTO_TEST_CASE(misdirectedAnswerOfAServerWithAPaddedOrEmptyNameIsNoPromise)
{
    for (const std::string name : {"p0  ", "p0\t", ""}) {
        DirectFixture fixture{[&](const std::string &id) {
            return answerOf(421, idLine(id) + "X-Bulrushswitch-Instance-Id: " + name + "\r\n");
        }};
        const SyncHttpResult result = fixture.node.send("/pay", {}, 500);
        BOOST_TEST(result.status == 502, '"' << name << "\": " << result.status);
        BOOST_TEST(fixture.server.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(statementInATrailerIsNoPromise)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (const int status : {400, 421, 429, 503}) {
        const std::string start = "HTTP/1.1 " + std::to_string(status) + " Text\r\n";
        DirectFixture fixture{[&](const std::string &id) {
            return start + idLine(id) + chunked + statementLine + "\r\n";
        }};
        const SyncHttpResult result = fixture.node.send("/pay", {}, 500);
        BOOST_TEST(!isPromise(result.status), status << " became " << result.status);
        BOOST_TEST(fixture.server.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(idInATrailerDoesNotMakeAStatementOneAboutTheRequest)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (const int status : {400, 421, 429, 503}) {
        const std::string start = "HTTP/1.1 " + std::to_string(status) + " Text\r\n";
        DirectFixture fixture{[&](const std::string &id) {
            return start + statementLine + chunked + idLine(id) + "\r\n";
        }};
        const SyncHttpResult result = fixture.node.send("/pay", {}, 500);
        BOOST_TEST(!isPromise(result.status), status << " became " << result.status);
        BOOST_TEST(fixture.server.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(statementInAnInterimAnswerIsNoPromise)
{
    for (const int status : {100, 102, 103}) {
        DirectFixture fixture{[&](const std::string &id) {
            return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + idLine(id) + statementLine
                + "\r\n" + answerOf(503, idLine(id));
        }};
        const SyncHttpResult result = fixture.node.send("/pay", {}, 500);
        BOOST_TEST(result.status == 502);
        BOOST_TEST(fixture.server.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(earlyAnswerToALargeRequestIsAPromiseOnlyIfItsServerDenies)
{
    const std::string body(std::size_t{8} << 20, 'x');
    for (const bool isStated : {true, false}) {
        DirectFixture fixture{[&](const std::string &id) {
            return answerOf(503, idLine(id) + (isStated ? statementLine : std::string{}))
                + answerOf(200, idLine(id));
        }};
        const SyncHttpResult result = fixture.node.send("/pay", body);
        BOOST_TEST(result.status == (isStated ? 503 : 502));
        BOOST_TEST(fixture.node.send("/warm").status == 200);
        if (!isStated)
            BOOST_TEST(fixture.server.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(denialThatFollowsAnotherAnswerIsNoPromise)
{
    DirectFixture fixture{[](const std::string &id) {
        return answerOf(503, idLine(id)) + answerOf(503, idLine(id) + statementLine);
    }};
    for (const bool isFirstCall : {true, false}) {
        const SyncHttpResult result = fixture.node.send("/pay", {}, 500);
        BOOST_TEST(result.status == 502, isFirstCall << ": " << result.status);
        BOOST_TEST(fixture.node.send("/warm").status == 200);
    }
    BOOST_TEST(fixture.server.copies() == 2);
}

BOOST_AUTO_TEST_CASE(denialOfAnEarlierRequestIsNoDenialOfTheNextOne)
{
    std::string earlier = "none";
    DirectFixture fixture{[&](const std::string &id) {
        const std::string denial = answerOf(503, idLine(earlier) + statementLine);
        earlier = id;
        return denial + answerOf(200, idLine(id));
    }};
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(fixture.node.send("/pay", {}, 500).status == 200);
        BOOST_TEST(fixture.node.send("/warm").status == 200);
    }
    BOOST_TEST(fixture.server.copies() == 3);
}

BOOST_AUTO_TEST_CASE(fieldsOfDaemonsInAServersAnswerAreNoPromise)
{
    for (const std::string &outcome : outcomes) {
        for (const int status : {200, 503}) {
            const TextServer::Answer answer = [&](const std::string &id) {
                return answerOf(status, idLine(id) + relayLines(outcome, id));
            };
            const int expected = status == 200 ? 200 : 502;
            DirectFixture direct{answer};
            BOOST_TEST(direct.node.send("/pay", {}, 500).status == expected, outcome);
            BOOST_TEST(direct.server.copies() == 1);
            RelayFixture relayed{answer};
            BOOST_TEST(relayed.cutOff.send("/pay", {}, 1000).status == expected, outcome);
            BOOST_TEST(relayed.server.copies() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(fieldsOfDaemonsInAServersAnswerDoNotReachTheDaemonThatAskedNorItsCaller)
{
    RelayFixture fixture{[](const std::string &id) {
        return answerOf(200,
                        idLine(id) + relayLines("unknown", "other")
                            + "x-bulrush-relay-server: forged\r\n");
    }};
    const SyncHttpResult result = fixture.cutOff.send("/pay", {}, 1000);
    BOOST_TEST(result.status == 200);
    for (const std::string name : {"Outcome", "Reason", "Server", "Request"})
        BOOST_TEST(!result.header("X-Bulrush-Relay-" + name).has_value(), name);
}

BOOST_AUTO_TEST_CASE(statementOfADaemonWithTheRequestsIdIsAPromise)
{
    for (const std::string outcome : {"not-run", "denied", "cut-off", "unavailable"}) {
        ScriptedRelayFixture fixture{[&](const std::string &id) {
            return answerOf(503, relayLines(outcome, id));
        }};
        BOOST_TEST(fixture.cutOff.send("/pay", {}, 500).status == 503, outcome);
        BOOST_TEST(fixture.other.copies() == 1);
    }
}

BOOST_AUTO_TEST_CASE(statementOfADaemonAboutAnotherRequestIsNoPromise)
{
    for (const std::string &outcome : outcomes) {
        for (const int status : {200, 400, 408, 421, 429, 503}) {
            const std::string name = outcome + " with " + std::to_string(status);
            checkNoRelayedPromise(name + ", another id", [&](const std::string &id) {
                return answerOf(status, relayLines(outcome, id + "0"));
            });
            checkNoRelayedPromise(name + ", other case", [&](const std::string &id) {
                return answerOf(status, relayLines(outcome, "R" + id.substr(1)));
            });
            checkNoRelayedPromise(name + ", no id", [&](const std::string &) {
                return answerOf(status, relayLines(outcome, {}));
            });
        }
    }
}

BOOST_AUTO_TEST_CASE(statementOfADaemonThatContradictsItselfIsNoPromise)
{
    for (const std::string &second : {outcomes[0], outcomes[5]}) {
        for (const std::string first : {"not-run", "denied", "cut-off", "unavailable"}) {
            const std::string name = first + " and " + second;
            checkNoRelayedPromise(name, [&](const std::string &id) {
                return answerOf(503, relayLines(first, id) + relayLines(second, id));
            });
            checkNoRelayedPromise(name + ", other way", [&](const std::string &id) {
                return answerOf(503, relayLines(second, id) + relayLines(first, id));
            });
        }
    }
}

BOOST_AUTO_TEST_CASE(statementOfADaemonAboutTwoRequestsIsNoPromise)
{
    for (const std::string outcome : {"not-run", "denied", "cut-off", "unavailable"}) {
        checkNoRelayedPromise(outcome, [&](const std::string &id) {
            return answerOf(503,
                            relayLines(outcome, id) + "X-Bulrush-Relay-Request: " + id + "0\r\n");
        });
    }
}

BOOST_AUTO_TEST_CASE(answerOfADaemonWithoutAStatementIsNoPromise)
{
    for (const int status : {200, 400, 408, 421, 429, 503}) {
        checkNoRelayedPromise(std::to_string(status), [&](const std::string &id) {
            return answerOf(status, idLine(id) + statementLine);
        });
    }
}

BOOST_AUTO_TEST_CASE(secondAnswerOfADaemonIsNotThatToTheNextRequest)
{
    std::string earlier;
    ScriptedRelayFixture fixture{[&](const std::string &id) {
        const std::string second =
            earlier.empty() ? "" : answerOf(503, relayLines("not-run", earlier));
        earlier = id;
        return second + answerOf(200, relayLines("answered", id));
    }};
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(!isPromise(fixture.cutOff.send("/pay", {}, 500).status));
    BOOST_TEST(fixture.other.copies() == 4);
}
