#define BOOST_TEST_MODULE ForwardWorker

#include "forwardworker/trafficfixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Answers requests at once, but leaves those for `/hang` without an answer. */
asio::awaitable<void> answerOrHang(ScriptedServer::Socket &socket, int /*connection*/)
{
    std::string buffer;
    for (;;) {
        const std::string head = co_await ScriptedServer::readHead(socket, buffer);
        if (head.find("/hang") != std::string::npos)
            co_await ScriptedServer::drain(socket);
        else
            co_await ScriptedServer::write(socket, answerHead(head) + "Content-Length: 0\r\n\r\n");
    }
}

/** One daemon and four servers. */
struct Fixture
{
    Fixture()
    {
        std::vector<Endpoint> servers;
        for (int i = 0; i < 4; ++i) {
            backends.push_back(std::make_unique<ScriptedBackend>(answerOrHang));
            servers.push_back(endpointOf(backends.back()->address()));
        }
        node.setState(routingState(servers));
        while (node.send("/ready").status != 200)
            std::this_thread::sleep_for(10ms);
    }

    ~Fixture()
    {
        for (std::thread &caller : callers)
            caller.join();
    }

    /** Sends \a count requests that get no answer, and waits until they are at servers. */
    void sendHanging(int count)
    {
        for (int i = 0; i < count; ++i)
            callers.emplace_back([this, i] { node.send("/hang/" + std::to_string(i)); });
        std::this_thread::sleep_for(500ms);
    }

    TrafficNode node{"a1"};
    std::vector<std::unique_ptr<ScriptedBackend>> backends;
    std::vector<std::thread> callers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requestsAreNotSuspectIfAllServersRefuseConnections, Fixture)
{
    sendHanging(4);
    // No server may be reachable any more when the first connection breaks.
    for (const auto &backend : backends)
        backend->refuseConnections();
    backends.clear();
    std::this_thread::sleep_for(3s);
    BOOST_TEST(node.reportCount == 0);
}

BOOST_FIXTURE_TEST_CASE(requestsAreSuspectIfTheirServerAloneRefusesConnections, Fixture)
{
    sendHanging(8);
    backends.erase(backends.begin());
    for (int i = 0; i < 40 && node.reportCount == 0; ++i)
        std::this_thread::sleep_for(50ms);
    BOOST_TEST(node.reportCount > 0);
}
