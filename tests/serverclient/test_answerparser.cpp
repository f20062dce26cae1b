#define BOOST_TEST_MODULE AnswerParser

#include "connection/answerparser.h"
#include "connection/transporterror.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bodyLimit = 100;

const std::string completeAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=7\r\n\r\nhello";

} // namespace

BOOST_AUTO_TEST_CASE(parsesAnswerSplitAtAnyByte)
{
    for (std::size_t splitAt = 0; splitAt <= completeAnswer.size(); ++splitAt) {
        AnswerParser parser{bodyLimit};
        BOOST_TEST(parser.feed(std::string_view{completeAnswer}.substr(0, splitAt)) == splitAt);
        if (splitAt < completeAnswer.size())
            parser.feed(std::string_view{completeAnswer}.substr(splitAt));
        BOOST_REQUIRE(parser.isComplete());
        BOOST_TEST(parser.keepsConnection());
        BOOST_TEST((parser.keepAlive() == 7s));
        BOOST_TEST(parser.takeResponse().body == "hello");
    }
}

BOOST_AUTO_TEST_CASE(leavesBytesAfterAnswerUnconsumed)
{
    AnswerParser parser{bodyLimit};
    BOOST_TEST(parser.feed(completeAnswer + completeAnswer) == completeAnswer.size());
    parser.begin(false);
    BOOST_TEST(!parser.isComplete());
    BOOST_TEST(parser.feed(completeAnswer) == completeAnswer.size());
    BOOST_TEST(parser.isComplete());
}

BOOST_AUTO_TEST_CASE(skipsInterimAnswers)
{
    AnswerParser parser{bodyLimit};
    parser.feed("HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer);
    BOOST_REQUIRE(parser.isComplete());
    BOOST_TEST(parser.takeResponse().status == 200);
}

BOOST_AUTO_TEST_CASE(connectionCloseEndsAnswerWithoutLength)
{
    AnswerParser parser{bodyLimit};
    parser.feed("HTTP/1.1 200 OK\r\n\r\nhel");
    BOOST_TEST(!parser.isComplete());
    parser.feed("lo");
    parser.finish();
    BOOST_REQUIRE(parser.isComplete());
    BOOST_TEST(!parser.keepsConnection());
    BOOST_TEST(parser.takeResponse().body == "hello");
}

BOOST_AUTO_TEST_CASE(reportsTruncatedAnswer)
{
    AnswerParser parser{bodyLimit};
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    parser.finish();
    BOOST_TEST(!parser.isComplete());
    BOOST_TEST(parser.error() == TransportError::AnswerTruncated);
}

BOOST_AUTO_TEST_CASE(reportsConnectionLostBeforeAnswer)
{
    AnswerParser parser{bodyLimit};
    parser.finish();
    BOOST_TEST(parser.error() == TransportError::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(rejectsMalformedAndTooLargeAnswers)
{
    AnswerParser garbage{bodyLimit};
    garbage.feed("\x01\x02 no answer at all\r\n\r\n");
    BOOST_TEST(garbage.error() == TransportError::AnswerMalformed);
    AnswerParser tooLong{bodyLimit};
    tooLong.feed("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x'));
    BOOST_TEST(tooLong.error() == TransportError::AnswerTooLarge);
}

BOOST_AUTO_TEST_CASE(answerToHeadHasNoBody)
{
    AnswerParser parser{bodyLimit};
    parser.begin(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST(parser.isComplete());
}
