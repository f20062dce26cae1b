#define BOOST_TEST_MODULE EndlessAnswers

#include "callercrowd/crowdfleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <future>
#include <ostream>
#include <string>
#include <vector>

using namespace bulrush::test;
namespace data = boost::unit_test::data;

namespace {

/** Bytes that a server sends first, and those that it repeats until its caller closes. */
struct Endless
{
    const char *name;
    std::string first;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const Endless &endless)
{
    return out << endless.name;
}

const std::string lines(4096, 'x');
const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string chunked = okLine + "Transfer-Encoding: chunked\r\n\r\n";

const std::array<Endless, 8> endlessAnswers = {
    Endless{"head", okLine, "X-Odd: " + lines + "\r\n"},
    Endless{"reason", "HTTP/1.1 200 ", lines},
    Endless{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    Endless{"body without length", okLine + "\r\n", lines},
    Endless{"chunks", chunked, "1000\r\n" + lines + "\r\n"},
    Endless{"chunk extension", chunked + "1;", lines},
    Endless{"trailer", chunked + "0\r\n", "X-Odd: " + lines + "\r\n"},
    Endless{"answers to nobody", "",
            okLine + "X-Bulrushswitch-Request-Id: nobody\r\nContent-Length: 0\r\n\r\n"}};

} // namespace

// Bytes of a server that are no answer may come without end. They must not fill the daemon's
// memory, and each caller is to get an answer.
BOOST_DATA_TEST_CASE_F(CrowdFleet, bytesWithoutEndFillNoMemory, data::make(endlessAnswers), endless)
{
    std::atomic<bool> isOdd = false;
    OddServer server{"127.0.0.1", [&](const std::string &head, const OddServer::Send &send) {
                         if (!isOdd) {
                             send(okLine + echoedId(head) + "Content-Length: 0\r\n\r\n");
                             return;
                         }
                         bool isOpen = send(endless.first);
                         while (isOpen)
                             isOpen = send(endless.repeated);
                     }};
    ServerSpec spec{"o1", "odd"};
    spec.slots = 16;
    writeRecordOf(spec, server.address());
    // A server that answers well gets several requests at once.
    int served = 0;
    BOOST_REQUIRE(eventually([&] {
        served += send("a1", "GET", "/odd/x").status == 200 ? 1 : 0;
        return served >= 30;
    }));
    isOdd = true;
    std::vector<std::future<int>> answers;
    for (int i = 0; i < 12; ++i) {
        answers.push_back(std::async(std::launch::async, [&, i] {
            SyncHttpRequest request;
            request.method = "GET";
            request.url = callersAddress("a1") + "/odd/x";
            request.headers = {{"Host", "shop.example"},
                               {"X-Bulrushswitch-Request-Id", "endless" + std::to_string(i)},
                               {"X-Bulrushswitch-Deadline-Ms", "2500"}};
            return SyncHttpClient{}.send(request).status;
        }));
    }
    for (auto &answer : answers)
        BOOST_TEST(answer.get() >= 500);
    checkAndDisperse();
}
