#define BOOST_TEST_MODULE PeerRelays

#include "forwardworker/trafficfixture.h"

#include <boost/test/unit_test.hpp>

#include <mutex>
#include <optional>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** What the backend server has seen. Thread safe. */
class Record
{
public:
    void addHead(const std::string &head)
    {
        const std::scoped_lock lock{m_mutex};
        m_heads.push_back(head);
    }

    std::vector<std::string> heads()
    {
        const std::scoped_lock lock{m_mutex};
        return m_heads;
    }

    std::atomic<bool> wasClosed{false};

private:
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
};

const std::string largeBody(std::size_t{3} << 20, 'x');

/** Answers by the path: with the request's body, without a length, in part, or not at all. */
asio::awaitable<void> answerByPath(ScriptedServer::Socket &socket, Record &record)
{
    std::string buffer;
    for (;;) {
        const std::string head = co_await ScriptedServer::readHead(socket, buffer);
        record.addHead(head);
        const std::string lengthText = fieldOf(head, "Content-Length");
        const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
        if (buffer.size() < length)
            co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                      asio::transfer_exactly(length - buffer.size()),
                                      asio::use_awaitable);
        const std::string body = buffer.substr(0, length);
        buffer.erase(0, length);
        std::string start = answerHead(head);
        if (head.find("/leaving") != std::string::npos)
            start += "Server-Leaving: 1\r\n";
        if (head.find("/hang") != std::string::npos) {
            co_await ScriptedServer::drain(socket);
            record.wasClosed = true;
            co_return;
        }
        if (head.find("/unframed") != std::string::npos) {
            co_await ScriptedServer::write(socket, start + "Connection: close\r\n\r\nwhole");
            co_return;
        }
        if (head.find("/unnamed") != std::string::npos)
            start += "Some Name: x\r\n";
        if (head.find("/no-status") != std::string::npos)
            start.replace(start.find("200"), 3, "000");
        if (head.find("/truncated") != std::string::npos) {
            co_await ScriptedServer::write(socket, start + "Content-Length: 100\r\n\r\npart");
            co_return;
        }
        co_await ScriptedServer::write(
            socket, start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

/** The daemon on a1 reaches none of the four servers, that on b1 all of them. */
struct Fixture
{
    explicit Fixture(std::uint64_t helperVersion = 1, std::uint64_t version = 1)
    {
        std::vector<Endpoint> unreachable;
        for (int i = 0; i < 4; ++i)
            unreachable.push_back(refusingAddress());
        auto state = routingState(unreachable, version);
        state->relays = {helper->relay()};
        cutOff.setState(state);
        const Endpoint address = endpointOf(backend.address());
        helper->setState(routingState({address, address, address, address}, helperVersion));
    }

    static std::uint64_t count(const TrafficNode &node, EntryCounter counter)
    {
        return node.counters.value(counter);
    }

    Record record;
    ScriptedBackend backend{[this](ScriptedServer::Socket &socket, int) {
        return answerByPath(socket, record);
    }};
    std::unique_ptr<TrafficNode> helper = std::make_unique<TrafficNode>("b1");
    TrafficNode cutOff{"a1"};
};

struct HelperWithOlderConfig : Fixture
{
    HelperWithOlderConfig()
        : Fixture(1, 2)
    { }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(firstRequestsAreServedIfConnectionsAreRefused, Fixture)
{
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(cutOff.send("/pay").status == 200);
    BOOST_TEST(count(*helper, EntryCounter::RelaysTaken) == 20U);
    BOOST_TEST(record.heads().size() == 20U);
}

BOOST_FIXTURE_TEST_CASE(bodiesPassWholeInBothDirections, Fixture)
{
    const SyncHttpResult large = cutOff.send("/upload", largeBody);
    BOOST_TEST(large.status == 200);
    BOOST_TEST((large.body == largeBody));
    const SyncHttpResult unframed = cutOff.send("/unframed");
    BOOST_TEST(unframed.status == 200);
    BOOST_TEST(unframed.body == "whole");
    BOOST_TEST(cutOff.send("/truncated").status == 502);
}

BOOST_FIXTURE_TEST_CASE(serverSeesTheCallersRequestWithAShorterDeadline, Fixture)
{
    BOOST_TEST(cutOff.send("/pay?x=1", "body", 1500).status == 200);
    const std::string head = record.heads().at(0);
    BOOST_TEST(head.starts_with("POST /pay?x=1 HTTP/1.1\r\n"));
    BOOST_TEST(head.find("X-Bulrush-Rel") == std::string::npos);
    BOOST_TEST(fieldOf(head, "Host") == "shop.example");
    const int deadline = std::stoi(fieldOf(head, "X-Bulrushswitch-Deadline-Ms"));
    BOOST_TEST(deadline < 1500);
    BOOST_TEST(deadline > 1000);
}

BOOST_FIXTURE_TEST_CASE(answerHasNoFieldsOfDaemons, Fixture)
{
    const SyncHttpResult result = cutOff.send("/pay");
    BOOST_TEST(result.status == 200);
    BOOST_TEST(!result.header("X-Bulrush-Relay-Outcome").has_value());
    BOOST_TEST(!result.header("X-Bulrush-Relay-Reason").has_value());
    BOOST_TEST(result.header("X-Bulrushswitch-Request-Id").has_value());
}

BOOST_FIXTURE_TEST_CASE(announcementInARelayedAnswerBindsTheDaemonThatPassesItOn, Fixture)
{
    BOOST_TEST(cutOff.send("/leaving").status == 200);
    const std::string told = fieldOf(record.heads().at(0), "X-Bulrushswitch-Target-Instance");
    BOOST_TEST(count(cutOff, EntryCounter::ServersLeaving) == 1U);
    helper->stop();
    const Endpoint address = endpointOf(backend.address());
    cutOff.setState(routingState({address, address, address, address}));
    for (int i = 0; i < 100 && cutOff.send("/pay").status != 200; ++i)
        std::this_thread::sleep_for(50ms);
    const std::size_t before = record.heads().size();
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(cutOff.send("/pay").status == 200);
    const std::vector<std::string> heads = record.heads();
    BOOST_TEST(heads.size() == before + 40);
    for (std::size_t i = before; i < heads.size(); ++i)
        BOOST_TEST(fieldOf(heads[i], "X-Bulrushswitch-Target-Instance") != told);
}

BOOST_FIXTURE_TEST_CASE(callersCloseReachesTheServer, Fixture)
{
    asio::io_context loop;
    asio::ip::tcp::socket caller{loop};
    caller.connect({asio::ip::address_v4::loopback(), cutOff.port()});
    asio::write(caller,
                asio::buffer(std::string{"GET /hang HTTP/1.1\r\nHost: shop.example\r\n"
                                         "X-Bulrushswitch-Request-Id: gone\r\n"
                                         "X-Bulrushswitch-Deadline-Ms: 5000\r\n\r\n"}));
    for (int i = 0; i < 100 && record.heads().empty(); ++i)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(record.heads().size() == 1U);
    caller.close();
    for (int i = 0; i < 50 && !record.wasClosed; ++i)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(record.wasClosed);
}

BOOST_FIXTURE_TEST_CASE(brokenAnswerToARelayIsAnUnknownOutcome, Fixture)
{
    for (const std::string path : {"/pay/unnamed", "/pay/no-status", "/pay/truncated"}) {
        const SyncHttpResult result = cutOff.send(path, "euro=1");
        BOOST_TEST(result.status == 502, path);
        BOOST_TEST(result.body.find("euro=1") == std::string::npos, path);
        BOOST_TEST(cutOff.send("/pay").status == 200);
    }
    BOOST_TEST(record.heads().size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(lostRelayIsAnUnknownOutcome, Fixture)
{
    std::thread ending{[this] {
        for (int i = 0; i < 100 && record.heads().empty(); ++i)
            std::this_thread::sleep_for(10ms);
        helper.reset();
    }};
    const SyncHttpResult result = cutOff.send("/hang");
    ending.join();
    BOOST_TEST(result.status == 502);
    BOOST_TEST(record.heads().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(silentRelayIsAnUnknownOutcome, Fixture)
{
    BOOST_TEST(cutOff.send("/pay").status == 200);
    helper->stop();
    const SyncHttpResult result = cutOff.send("/pay", {}, 500);
    BOOST_TEST(result.status == 504);
}

BOOST_FIXTURE_TEST_CASE(requestIsRefusedAtOnceIfTheOtherDaemonHasNoPathEither, Fixture)
{
    std::vector<Endpoint> unreachable;
    for (int i = 0; i < 4; ++i)
        unreachable.push_back(refusingAddress());
    auto state = routingState(unreachable);
    state->relays = {cutOff.relay()};
    helper->setState(state);
    for (int i = 0; i < 20; ++i) {
        const Instant sentAt = io::hostNow();
        BOOST_TEST(cutOff.send("/pay").status == 503);
        BOOST_TEST((io::hostNow() - sentAt < 300ms));
    }
    BOOST_TEST(count(*helper, EntryCounter::RelaysTaken) > 0U);
    BOOST_TEST(count(*helper, EntryCounter::RelaysSent) == 0U);
    BOOST_TEST(count(cutOff, EntryCounter::RelaysTaken) == 0U);
}

BOOST_FIXTURE_TEST_CASE(daemonWithAnOlderConfigurationRelaysNothing, HelperWithOlderConfig)
{
    const SyncHttpResult result = cutOff.send("/pay");
    BOOST_TEST(result.status == 503);
    BOOST_TEST(result.header("Retry-After").has_value());
    BOOST_TEST(record.heads().empty());
}

BOOST_FIXTURE_TEST_CASE(serversThatAreReachedAgainGetRequestsDirect, Fixture)
{
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(cutOff.send("/pay").status == 200);
    const std::uint64_t before = count(cutOff, EntryCounter::RelaysSent);
    BOOST_TEST(before > 0U);
    const Endpoint address = endpointOf(backend.address());
    auto state = routingState({address, address, address, address});
    state->relays = {helper->relay()};
    cutOff.setState(state);
    std::this_thread::sleep_for(1s);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(cutOff.send("/pay").status == 200);
    BOOST_TEST(count(cutOff, EntryCounter::RelaysSent) == before);
}
