#define BOOST_TEST_MODULE RefusedRequests

#include "forwardworker/trafficfixture.h"

#include <asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** The time for which a server works on a request for `/late`. */
constexpr auto workTime = 400ms;

/** \returns whether a caller who gets \a status may repeat the request: it did not run. */
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/**
 * A backend server that runs all requests. It answers `/status/N` with status N and without the
 * field that states that the request did not run; `/anonymous` with that field, but without the
 * request's id; and `/late` after workTime.
 */
class RunningServer
{
public:
    std::string address() const
    {
        return m_backend.address();
    }

    std::atomic<int> runs{0};

private:
    asio::awaitable<void> run(ScriptedServer::Socket &socket)
    {
        std::string buffer;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            ++runs;
            asio::steady_timer timer{socket.get_executor(), workTime};
            if (head.find("/late") != std::string::npos)
                co_await timer.async_wait(asio::use_awaitable);
            co_await ScriptedServer::write(socket, answerTo(head));
        }
    }

    static std::string answerTo(const std::string &head)
    {
        const std::string end = "Content-Length: 0\r\n\r\n";
        if (head.find("/anonymous") != std::string::npos)
            return "HTTP/1.1 503 Service Unavailable\r\nX-Bulrushswitch-Not-Executed: 1\r\n" + end;
        const std::string wanted = "/status/";
        const std::size_t place = head.find(wanted);
        if (place == std::string::npos)
            return answerHead(head) + end;
        return "HTTP/1.1 " + head.substr(place + wanted.size(), 3)
            + " Some Text\r\nX-Bulrushswitch-Request-Id: "
            + fieldOf(head, "X-Bulrushswitch-Request-Id") + "\r\n" + end;
    }

    ScriptedBackend m_backend{[this](ScriptedServer::Socket &socket, int) {
        return run(socket);
    }};
};

/** \returns the refusal of the request with \a head as one that did not run. */
std::string notRunAnswer(const std::string &head)
{
    return "HTTP/1.1 421 Misdirected Request\r\nX-Bulrushswitch-Request-Id: "
        + fieldOf(head, "X-Bulrushswitch-Request-Id")
        + "\r\nX-Bulrushswitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/**
 * The owner of all keys. It refuses the first copy of a request for `/pay` and runs the second one;
 * before it answers that one, it refuses the first copy once more if both came over one connection.
 */
class RefusingOwner
{
public:
    std::string address() const
    {
        return m_backend.address();
    }

    std::atomic<int> runs{0};

private:
    asio::awaitable<void> run(ScriptedServer::Socket &socket)
    {
        std::string buffer;
        std::string refusal;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            const bool isPayment = head.find("/pay") != std::string::npos;
            if (isPayment && !m_isOneRefused.exchange(true)) {
                refusal = notRunAnswer(head);
                co_await ScriptedServer::write(socket, refusal);
                continue;
            }
            runs += isPayment ? 1 : 0;
            co_await ScriptedServer::write(socket, refusal);
            co_await ScriptedServer::write(socket, answerHead(head) + "Content-Length: 0\r\n\r\n");
        }
    }

    std::atomic<bool> m_isOneRefused{false};
    ScriptedBackend m_backend{[this](ScriptedServer::Socket &socket, int) {
        return run(socket);
    }};
};

/** The daemon on a1 reaches no server; that on b1 reaches one that runs all requests. */
struct RelayFixture
{
    RelayFixture()
    {
        auto state = routingState({refusingAddress(), refusingAddress()});
        state->relays = {helper.relay()};
        cutOff.setState(state);
        helper.setState(routingState({endpointOf(server.address())}));
    }

    RunningServer server;
    TrafficNode helper{"b1"};
    TrafficNode cutOff{"a1"};
};

struct ServerFixture
{
    ServerFixture()
    {
        node.setState(routingState({endpointOf(server.address())}));
        // No request may use a connection before those of the tests.
        std::this_thread::sleep_for(100ms);
    }

    RunningServer server;
    TrafficNode node{"a1"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(quarantinedRequestThatAnotherDaemonHasIsNotRefused, RelayFixture)
{
    std::thread quarantine{[this] {
        for (int i = 0; i < 200 && server.runs == 0; ++i)
            std::this_thread::sleep_for(5ms);
        cutOff.setQuarantine(quarantineOf("/late"));
    }};
    const SyncHttpResult result = cutOff.send("/late");
    quarantine.join();
    BOOST_TEST(server.runs == 1);
    BOOST_TEST(result.status == 200);
}

BOOST_FIXTURE_TEST_CASE(requestThatCrashesServersIsNotToldToComeBackByAnotherDaemon, RelayFixture)
{
    helper.setQuarantine(quarantineOf("/late"));
    const SyncHttpResult result = cutOff.send("/late");
    BOOST_TEST(result.status == 503);
    BOOST_TEST(!result.header("Retry-After").has_value());
    BOOST_TEST(server.runs == 0);
}

BOOST_AUTO_TEST_CASE(secondAnswerToARefusedAttemptIsNotThatToItsRepeat)
{
    RefusingOwner owner;
    TrafficNode node{"a1"};
    node.setState(keyedState(endpointOf(owner.address())));
    // Repeats are a share of the requests before them.
    for (int i = 0; i < 60; ++i)
        node.send("/warm");
    const SyncHttpResult result = node.send("/pay", {}, 600);
    BOOST_TEST(owner.runs == 1);
    BOOST_TEST(result.status == 200);
}

BOOST_FIXTURE_TEST_CASE(statusThatIsNoStatementOfTheServerIsNoPromise, ServerFixture)
{
    for (const int status : {408, 421, 429, 503}) {
        const SyncHttpResult result = node.send("/status/" + std::to_string(status));
        BOOST_TEST(!isPromise(result.status), "status " << status << " became " << result.status);
    }
    BOOST_TEST(server.runs == 4);
}

BOOST_FIXTURE_TEST_CASE(statementWithoutTheRequestsIdIsNoPromise, ServerFixture)
{
    const SyncHttpResult result = node.send("/anonymous");
    BOOST_TEST(server.runs == 1);
    BOOST_TEST(!isPromise(result.status));
}
