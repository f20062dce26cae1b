#define BOOST_TEST_MODULE CallerCrowd

#include "callercrowd/crowdfleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/** Memory that was freed may not be given back at once, so each crowd comes more than once. */
constexpr int waveCount = 3;
constexpr std::size_t megabyte = 1'000'000;
const std::string transfersEvicted = "bulrush_transfers_evicted_total";

std::string chunkOf(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = bytes.size(); left > 0; left /= digits.size())
        size.insert(size.begin(), digits[left % digits.size()]);
    return size + "\r\n" + std::string{bytes} + "\r\n";
}

std::string chunks(std::size_t length, std::size_t chunkLength)
{
    const std::string one = chunkOf(std::string(chunkLength, 'c'));
    std::string text;
    for (std::size_t sent = 0; sent < length; sent += chunkLength)
        text += one;
    return text;
}

} // namespace

// Large bodies that stop one byte short of their end, and stay open, filled the daemon's memory.
BOOST_FIXTURE_TEST_CASE(largeBodiesShortOfTheirEnd, CrowdFleet)
{
    const std::string body(20 * megabyte, 'b');
    for (int wave = 0; wave < waveCount; ++wave) {
        gatherBodies(8, "/archive/x", "large" + std::to_string(wave), body, 1);
        checkAndDisperse();
    }
}

// The same with whole bodies, all at once.
BOOST_FIXTURE_TEST_CASE(wholeLargeBodies, CrowdFleet)
{
    const std::string body(20 * megabyte, 'b');
    for (int wave = 0; wave < waveCount; ++wave) {
        gatherBodies(10, "/archive/x", "whole" + std::to_string(wave), body, 0);
        checkAndDisperse();
    }
}

// The same with bodies that are buffered before their request is handled.
BOOST_FIXTURE_TEST_CASE(bufferedBodiesShortOfTheirEnd, CrowdFleet)
{
    const std::string body(megabyte, 'b');
    for (int wave = 0; wave < waveCount; ++wave) {
        gatherBodies(200, "/pay/x", "buffered" + std::to_string(wave), body, 1);
        checkAndDisperse();
    }
}

// Chunked bodies without a last chunk.
BOOST_FIXTURE_TEST_CASE(chunkedBodiesWithoutEnd, CrowdFleet)
{
    const std::string body = chunks(megabyte, 16'384);
    for (int wave = 0; wave < waveCount; ++wave) {
        gather(200, [&](RawConnection &caller, int number) {
            caller.send(head("POST", "/pay/x",
                             "chunked" + std::to_string(wave) + '-' + std::to_string(number))
                        + "Transfer-Encoding: chunked\r\n\r\n");
            caller.send(body);
        });
        checkAndDisperse();
    }
}

// For each chunk a record was kept, which is larger than a chunk of one byte.
BOOST_FIXTURE_TEST_CASE(chunksOfOneByte, CrowdFleet)
{
    const std::string body = chunks(300'000, 1);
    for (int wave = 0; wave < waveCount; ++wave) {
        gather(120, [&](RawConnection &caller, int number) {
            caller.send(
                head("POST", "/pay/x", "tiny" + std::to_string(wave) + '-' + std::to_string(number))
                + "Transfer-Encoding: chunked\r\n\r\n");
            caller.send(body);
        });
        checkAndDisperse();
    }
}

// Long answers that callers hardly read were all held.
BOOST_FIXTURE_TEST_CASE(longAnswersReadSlowly, CrowdFleet)
{
    const std::string body(8 * megabyte, 'a');
    OddServer server{"127.0.0.1", [&](const std::string &head, const OddServer::Send &send) {
                         send("HTTP/1.1 200 OK\r\n" + echoedId(head) + lengthField(body.size()));
                         send(body);
                     }};
    ServerSpec spec{"o1", "odd"};
    spec.slots = 64;
    writeRecordOf(spec, server.address());
    BOOST_REQUIRE(eventually([&] { return send("a1", "GET", "/odd/x").status == 200; }));
    for (int wave = 0; wave < waveCount; ++wave) {
        gather(30, [&](RawConnection &caller, int number) {
            caller.send(
                head("GET", "/odd/x", "slow" + std::to_string(wave) + '-' + std::to_string(number))
                + "\r\n");
        });
        std::this_thread::sleep_for(2s);
        checkAndDisperse();
    }
}

// Room of bodies that stop short of their end was missing to others until their time-outs.
BOOST_FIXTURE_TEST_CASE(stalledLargeBodiesGiveWay, CrowdFleet)
{
    const std::string body(20 * megabyte, 'b');
    gatherBodies(8, "/archive/x", "stalled", body, 1);
    BOOST_TEST(eventually([&] {
        return send("a1", "POST", "/archive/x", std::nullopt, body, 15'000).status == 200;
    }));
    BOOST_TEST(eventually([&] { return counter("a1", transfersEvicted) > 0; }));
    checkAndDisperse();
}

BOOST_FIXTURE_TEST_CASE(stalledBufferedBodiesGiveWay, CrowdFleet)
{
    const std::string body(megabyte, 'b');
    gatherBodies(200, "/pay/x", "stalled", body, 1);
    BOOST_TEST(
        eventually([&] { return send("a1", "POST", "/pay/x", std::nullopt, body).status == 200; }));
    BOOST_TEST(eventually([&] { return counter("a1", transfersEvicted) > 0; }));
    checkAndDisperse();
}

// The same with answers that nobody reads.
BOOST_FIXTURE_TEST_CASE(stalledAnswersGiveWay, CrowdFleet)
{
    const std::string body(8 * megabyte, 'a');
    OddServer server{"127.0.0.1", [&](const std::string &head, const OddServer::Send &send) {
                         send("HTTP/1.1 200 OK\r\n" + echoedId(head) + lengthField(body.size()));
                         send(body);
                     }};
    ServerSpec spec{"o1", "odd"};
    spec.slots = 64;
    writeRecordOf(spec, server.address());
    BOOST_REQUIRE(eventually([&] { return send("a1", "GET", "/odd/x").status == 200; }));
    gather(30, [&](RawConnection &caller, int number) {
        caller.send(head("GET", "/odd/x", "stalled" + std::to_string(number)) + "\r\n");
    });
    BOOST_TEST(eventually([&] {
        return send("a1", "GET", "/odd/x").status == 200 && counter("a1", transfersEvicted) > 0;
    }));
    checkAndDisperse();
}

// Callers that hold all places, idle or in the middle of a request, kept ordinary ones out.
BOOST_DATA_TEST_CASE_F(CrowdFleet, callersWhoHoldAllPlacesGiveWay,
                       data::make({"", "GET /read/1 HTTP/1.1\r\nHost: shop",
                                   "POST /pay/x HTTP/1.1\r\n"
                                   "Host: shop.example\r\nContent-Length: 9\r\n\r\nshort"}),
                       beginning)
{
    gather(1'200, [&](RawConnection &caller, int) { caller.send(beginning); });
    // An ordinary caller waits for as long as its request says.
    const SyncHttpResult ordinary = send("a1", "POST", "/pay/x");
    BOOST_TEST(ordinary.status == 200);
    checkAndDisperse();
}

// What the account of memory must not prevent: the largest legal body, alone.
BOOST_FIXTURE_TEST_CASE(largestBodyIsServedInCalm, CrowdFleet)
{
    const std::string body(std::size_t{64} << 20, 'b');
    for (int i = 0; i < 2; ++i) {
        RawConnection caller{callersAddress("a1")};
        caller.send(head("POST", "/archive/x", "legal" + std::to_string(i))
                    + lengthField(body.size()));
        caller.send(body);
        const std::string answer = caller.receiveUntilClosed();
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 300));
    }
    checkAndDisperse();
}
