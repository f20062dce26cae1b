#define BOOST_TEST_MODULE PlatformAccess

#include "blockinghttp.h"
#include "exitcode.h"
#include "platformaccess.h"
#include "process/jsonreader.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush;
using namespace bulrush::ctl;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** \returns an address at which no process listens. */
Endpoint closedEndpoint()
{
    asio::io_context loop;
    const asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

Transaction transaction()
{
    return {
        "request-1", "writer-1", {{{"contract", "a"}, 7}}, {{{"contract", "a"}, Json::Value{3}}}};
}

CommitResult commitAfter(const std::string &scripted)
{
    ScriptedServer platform{{scripted}};
    return PlatformAccess{{platform.endpoint()}, 5s}.transact(transaction());
}

} // namespace

BOOST_AUTO_TEST_CASE(transactionOutcomesAreDistinguished)
{
    const CommitResult done =
        commitAfter(answer("200 OK", R"({"committed": true, "versions": [8]})"));
    BOOST_CHECK(done.outcome == CommitOutcome::Committed);
    BOOST_TEST(done.versions == std::vector<std::uint64_t>{8});

    const CommitResult conflict = commitAfter(answer(
        "409 Conflict",
        R"({"committed": false, "conflicts": [{"table": "contract", "key": "a", "version": 9, "value": 4}]})"));
    BOOST_CHECK(conflict.outcome == CommitOutcome::Conflict);
    BOOST_REQUIRE(conflict.conflicts.size() == 1u);
    BOOST_TEST(conflict.conflicts[0].version == 9u);

    BOOST_CHECK(commitAfter(answer("400 Bad Request", R"({"error": "no"})")).outcome
                == CommitOutcome::Refused);
}

BOOST_AUTO_TEST_CASE(inconclusiveAnswersLeaveTheOutcomeUnknown)
{
    for (const std::string &scripted :
         {answer("503 Service Unavailable", ""), answer("500 Oops", "{}"), answer("200 OK", "{}"),
          answer("200 OK", "not json"), std::string{},
          std::string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"committed\": true"}})
        BOOST_CHECK_MESSAGE(commitAfter(scripted).outcome == CommitOutcome::Unknown, scripted);
}

BOOST_AUTO_TEST_CASE(answerWithInvalidStatusLeavesTheOutcomeUnknown)
{
    const std::string committed = R"({"committed": true, "versions": [8]})";
    for (const std::string status : {"000 OK", "099 OK", "0200 OK", "1000 OK", "999 OK"}) {
        const std::string broken = answer(status, committed);
        for (const std::string &scripted : {broken, broken + answer("200 OK", committed)}) {
            const CommitResult result = commitAfter(scripted);
            BOOST_CHECK_MESSAGE(result.outcome == CommitOutcome::Unknown, scripted);
        }
    }
}

BOOST_AUTO_TEST_CASE(answerWithInvalidFieldLeavesTheOutcomeUnknown)
{
    const std::string committed = R"({"committed": true, "versions": [8]})";
    for (const std::string line :
         {"Some Name: x", "Content-Length : 9", "Na\x01me: x", " Name: x", "Name: a\x01"}) {
        const CommitResult result = commitAfter(answer("200 OK\r\nName: x\r\n" + line, committed));
        BOOST_CHECK_MESSAGE(result.outcome == CommitOutcome::Unknown, line);
    }
}

BOOST_AUTO_TEST_CASE(answerInAnUnknownFramingLeavesTheOutcomeUnknown)
{
    const std::string committed = R"({"committed": true, "versions": [8]})";
    const std::string length = std::to_string(committed.size());
    const std::vector<std::string> fields{
        "Transfer-Encoding: identity",
        "Transfer-Encoding: xchunked",
        "Content-Length:",
        "Content-Length: +" + length,
        "Content-Length: " + length + "a",
        "Content-Length: " + length + "\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: identity",
    };
    for (const std::string &field : fields) {
        const CommitResult result =
            commitAfter("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n" + committed);
        BOOST_CHECK_MESSAGE(result.outcome == CommitOutcome::Unknown, field);
    }
}

BOOST_AUTO_TEST_CASE(answerThatEndsInItsHeadLeavesTheOutcomeUnknown)
{
    ScriptedServer platform{{"HTTP/1.1 200 OK\r\nContent-Le"}};
    const BlockingAnswer cut =
        fetch({"GET", "http://" + toString(platform.endpoint()) + "/rows", {}, 5s});
    BOOST_CHECK(cut.error == make_error_code(CtlError::Unknown));
}

BOOST_AUTO_TEST_CASE(partOfAnAnswerThatIsResetDuringALongRequestIsNoAnswer)
{
    // Far more than the buffers of both sockets hold, so that it is never sent whole.
    const std::string body(std::size_t{24} << 20, 'b');
    for (const auto pauseBeforeReset : {0ms, 20ms, 100ms, 300ms}) {
        asio::io_context loop;
        asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
        const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
        std::thread server{[&] {
            asio::ip::tcp::socket socket = acceptor.accept();
            std::string head;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
            asio::write(socket, asio::buffer(std::string{"HTTP/1.1 100 Continue\r\n\r\n"}));
            std::array<char, 1> firstOfBody{};
            asio::read(socket, asio::buffer(firstOfBody));
            asio::write(socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\n{}"}));
            std::this_thread::sleep_for(pauseBeforeReset);
            socket.set_option(asio::socket_base::linger{true, 0});
            socket.close();
        }};
        const BlockingAnswer reset =
            fetch({"POST", "http://" + toString(endpoint) + "/rows", body, 5s});
        server.join();
        BOOST_CHECK_EQUAL(reset.error, make_error_code(CtlError::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(answerWithoutALengthEndsWithItsConnection)
{
    const std::string committed = R"({"committed": true, "versions": [8]})";
    const CommitResult result = commitAfter("HTTP/1.1 200 OK\r\n\r\n" + committed);
    BOOST_CHECK(result.outcome == CommitOutcome::Committed);
}

BOOST_AUTO_TEST_CASE(closedEndpointIsReportedAsNotSentAndTheNextIsTried)
{
    BOOST_CHECK((PlatformAccess{{closedEndpoint()}, 5s}.transact(transaction()).outcome)
                == CommitOutcome::NotSent);
    BOOST_CHECK((PlatformAccess{{}, 5s}.transact(transaction()).outcome) == CommitOutcome::NotSent);

    ScriptedServer platform{{answer("200 OK", R"({"committed": true, "versions": [8]})")}};
    PlatformAccess access{{closedEndpoint(), platform.endpoint()}, 5s};
    BOOST_CHECK(access.transact(transaction()).outcome == CommitOutcome::Committed);
}

BOOST_AUTO_TEST_CASE(unknownOutcomeIsNotSentToTheNextEndpoint)
{
    ScriptedServer first{{answer("503 Service Unavailable", "")}};
    PlatformAccess access{{first.endpoint(), closedEndpoint()}, 5s};
    BOOST_CHECK(access.transact(transaction()).outcome == CommitOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(transactionMatchesTheDocumentedInterface)
{
    ScriptedServer platform{{answer("200 OK", R"({"committed": true, "versions": [8]})")}};
    PlatformAccess{{platform.endpoint()}, 5s}.transact(transaction());
    const std::string request = platform.requests().front();
    BOOST_TEST(request.starts_with("POST /table/transact HTTP/1.1\r\n"));
    const Json::Value json = io::parseJson(request.substr(request.find("\r\n\r\n") + 4));
    const Json::Value expected = io::parseJson(R"({"requestId": "request-1", "writer": "writer-1",
        "conditions": [{"table": "contract", "key": "a", "version": 7}],
        "writes": [{"table": "contract", "key": "a", "value": 3}]})");
    BOOST_CHECK(json == expected);
}

BOOST_AUTO_TEST_CASE(scanContinuesUntilAnEmptyPage)
{
    const auto page = [](const std::string &key) {
        return answer("200 OK",
                      R"({"rows": [{"table": "contract", "key": ")" + key
                          + R"(", "version": 1, "value": {}}]})");
    };
    ScriptedServer platform{{page("a"), page("b"), answer("200 OK", R"({"rows": []})")}};
    const RowsResult result = PlatformAccess{{platform.endpoint()}, 5s}.scan("contract", "");
    BOOST_TEST(!result.error);
    BOOST_TEST(result.rows.size() == 2u);
}

BOOST_AUTO_TEST_CASE(readsTryTheNextEndpointAndMustBeComplete)
{
    ScriptedServer down{{answer("503 Service Unavailable", "")}};
    ScriptedServer up{
        {answer("200 OK",
                R"({"rows": [{"table": "contract", "key": "a", "version": 0, "value": null}]})")}};
    PlatformAccess access{{down.endpoint(), up.endpoint()}, 5s};
    const RowsResult rows = access.read({{"contract", "a"}});
    BOOST_TEST(!rows.error);
    BOOST_TEST(rows.rows.front().version == 0u);

    ScriptedServer incomplete{{answer("200 OK", R"({"rows": []})")}};
    const RowsResult none = PlatformAccess{{incomplete.endpoint()}, 5s}.read({{"contract", "a"}});
    BOOST_CHECK_EQUAL(none.error, make_error_code(CtlError::BadAnswer));
}
