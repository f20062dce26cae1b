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
/** More than the lines of an answer may have. */
constexpr std::size_t tooLongLineBytes = 70'000;

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
    AnswerParser endlessLine{bodyLimit};
    endlessLine.feed("HTTP/1.1 200 " + std::string(tooLongLineBytes, 'x'));
    BOOST_TEST(endlessLine.error() == TransportError::AnswerTooLarge);
    AnswerParser tooLong{bodyLimit};
    tooLong.feed("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x'));
    BOOST_TEST(tooLong.error() == TransportError::AnswerTooLarge);
}

BOOST_AUTO_TEST_CASE(answerWithInvalidStatusIsMalformed)
{
    for (const std::string status : {"000", "00", "0", "99", "099", "1000", "0200", "20", "-200",
                                     "2 0", "2x0", "600", "999", "", " 200", "200x"}) {
        const std::string head = "HTTP/1.1 " + status + " Said\r\n";
        for (const std::string &rest :
             {std::string{"\r\n"}, std::string{"Content-Length: 5\r\n\r\nhello"}}) {
            AnswerParser parser{bodyLimit};
            // Nothing that follows on the connection is an answer to the request either.
            parser.feed(head + rest + completeAnswer);
            BOOST_TEST(parser.error() == TransportError::AnswerMalformed, head);
            BOOST_TEST(!parser.isComplete());
        }
    }
}

BOOST_AUTO_TEST_CASE(statusLineOfAnotherProtocolIsMalformed)
{
    for (const std::string line :
         {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK",
          "http/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK"}) {
        AnswerParser parser{bodyLimit};
        parser.feed(line + "\r\nContent-Length: 5\r\n\r\nhello");
        BOOST_TEST(parser.error() == TransportError::AnswerMalformed, line);
    }
}

BOOST_AUTO_TEST_CASE(soundStatusLinesAreAccepted)
{
    for (const std::string line :
         {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 Any\treason",
          "HTTP/1.1 599 \xc3\x9c", "\r\nHTTP/1.1 404 Not Found"}) {
        AnswerParser parser{bodyLimit};
        parser.feed(line + "\r\nContent-Length: 5\r\n\r\nhello");
        BOOST_REQUIRE_MESSAGE(parser.isComplete(), line);
        BOOST_TEST(parser.takeResponse().body == "hello");
    }
}

BOOST_AUTO_TEST_CASE(answerWithInvalidFieldIsMalformed)
{
    const std::string nul(1, '\0');
    for (const std::string &line : {std::string{"Content-Length : 3"},
                                    std::string{"Some Name: x"},
                                    std::string{"Name\t: x"},
                                    std::string{" Name: x"},
                                    std::string{"\tName: x"},
                                    std::string{" continued"},
                                    std::string{": x"},
                                    std::string{"no colon"},
                                    std::string{"Na\x01me: x"},
                                    std::string{"Na\x1fme: x"},
                                    std::string{"Na\x7fme: x"},
                                    std::string{"Na\x80me: x"},
                                    std::string{"Na\rme: x"},
                                    std::string{"Na(me: x"},
                                    std::string{"Na/me: x"},
                                    "Na" + nul + "me: x",
                                    "Name: x" + nul,
                                    std::string{"Name: a\x01"},
                                    std::string{"Name: a\x7f"},
                                    std::string{"Name: a\rOther: b"}}) {
        for (const std::string &head :
             {"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n",
              "HTTP/1.1 200 OK\r\n" + line + "\r\n", "HTTP/1.1 103 Hints\r\n" + line + "\r\n"}) {
            AnswerParser parser{bodyLimit};
            parser.feed(head + "\r\nhello" + completeAnswer);
            BOOST_TEST(parser.error() == TransportError::AnswerMalformed, head);
            BOOST_TEST(!parser.isComplete());
        }
    }
}

BOOST_AUTO_TEST_CASE(soundFieldsAreAccepted)
{
    AnswerParser parser{bodyLimit};
    parser.feed("HTTP/1.1 200 OK\r\nEmpty:\r\nBlank: \t \r\nSpaced: \t a \t b \t\r\n"
                "Bytes: \xc3\xbc\xff\r\n!#$%&'*+-.^_`|~09azAZ:x\r\nLine-Feed: alone\n"
                "CONTENT-length:5\r\n\r\nhello");
    BOOST_REQUIRE(parser.isComplete());
    const HttpResponse response = parser.takeResponse();
    std::string values;
    for (const HttpHeader &header : response.headers)
        values += header.value + '|';
    BOOST_TEST(values == "||a \t b|\xc3\xbc\xff|x|alone|5|");
    BOOST_TEST(response.body == "hello");
}

BOOST_AUTO_TEST_CASE(answerInAnotherCodingIsMalformed)
{
    for (const std::string start :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding:", "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;a=b",
          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5"}) {
        AnswerParser parser{bodyLimit};
        parser.feed(start + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        parser.finish();
        BOOST_TEST(parser.error() == TransportError::AnswerMalformed, start);
        BOOST_TEST(!parser.isComplete());
    }
}

BOOST_AUTO_TEST_CASE(answerWithInvalidLengthIsMalformed)
{
    for (const std::string length :
         {"", "+5", "-5", "5a", "0x5", "5 5", "5, 5", "5;", "5.0", "99999999999999999999",
          "5\r\nContent-Length: 5", "5\r\nContent-Length: 3"}) {
        AnswerParser parser{bodyLimit};
        parser.feed("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nhello");
        parser.finish();
        BOOST_TEST(parser.error() == TransportError::AnswerMalformed, length);
        BOOST_TEST(!parser.isComplete());
    }
}

BOOST_AUTO_TEST_CASE(answerWithInvalidChunksIsMalformed)
{
    for (const std::string body : {"5\r\nhelloXY0\r\n\r\n",
                                   "5\r\nhello\rX0\r\n\r\n",
                                   "5\rXhello\r\n0\r\n\r\n",
                                   "5\nhello\r\n0\r\n\r\n",
                                   "5\r\nhello\n0\r\n\r\n",
                                   "5\r\nhello0\r\n\r\n",
                                   "5\r\nhello\r\n0\r\n\rX",
                                   "5\r\nhello\r\n0\rX\r\n",
                                   "5 6\r\nhello\r\n0\r\n\r\n",
                                   "5 a=b\r\nhello\r\n0\r\n\r\n",
                                   "5;\x01\r\nhello\r\n0\r\n\r\n",
                                   "+5\r\nhello\r\n0\r\n\r\n",
                                   "0x5\r\nhello\r\n0\r\n\r\n",
                                   " 5\r\nhello\r\n0\r\n\r\n",
                                   "\r\n5\r\nhello\r\n0\r\n\r\n",
                                   "5\r\nhello\r\n\r\n",
                                   ";a=b\r\nhello\r\n0\r\n\r\n",
                                   "10000000000000005\r\nhello\r\n0\r\n\r\n",
                                   "5\r\nhello\r\n0\r\nSome Name: x\r\n\r\n",
                                   "5\r\nhello\r\n0\r\n continued\r\n\r\n",
                                   "5\r\nhello\r\n0\r\nName: \x01\r\n\r\n"}) {
        const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        for (std::size_t splitAt = 0; splitAt <= answer.size(); ++splitAt) {
            AnswerParser parser{bodyLimit};
            parser.feed(std::string_view{answer}.substr(0, splitAt));
            if (!parser.error() && splitAt < answer.size())
                parser.feed(std::string_view{answer}.substr(splitAt));
            BOOST_TEST(parser.error() == TransportError::AnswerMalformed, body);
            BOOST_REQUIRE(!parser.isComplete());
        }
    }
}

BOOST_AUTO_TEST_CASE(endlessLineBetweenChunksIsTooLong)
{
    AnswerParser parser{bodyLimit};
    parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"
                + std::string(tooLongLineBytes, 'x'));
    BOOST_TEST(parser.error() == TransportError::AnswerTooLarge);
}

BOOST_AUTO_TEST_CASE(soundChunksAreAcceptedSplitAtAnyByte)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "5;a=b\r\nhello\r\n1\r\n!\r\n00\r\nA: b\r\nC:\n\r\n";
    for (std::size_t splitAt = 0; splitAt < answer.size(); ++splitAt) {
        AnswerParser parser{bodyLimit};
        BOOST_TEST(parser.feed(std::string_view{answer}.substr(0, splitAt)) == splitAt);
        BOOST_TEST(parser.feed(answer.substr(splitAt) + completeAnswer) == answer.size() - splitAt);
        BOOST_REQUIRE(parser.isComplete());
        BOOST_TEST(parser.takeResponse().body == "hello!");
    }
}

BOOST_AUTO_TEST_CASE(soundChunksAreAccepted)
{
    for (const std::string coding : {"chunked", "Chunked", "\tCHUNKED "}) {
        AnswerParser parser{bodyLimit};
        const std::string answer = "HTTP/1.1 200 OK\r\ntransfer-encoding:" + coding
            + "\r\n\r\n005;a=b;c=\"d\"\r\nhello\r\n1 \r\n!\r\n0\r\nTrailer: \xff\r\n\r\n";
        BOOST_TEST(parser.feed(answer) == answer.size());
        BOOST_REQUIRE(parser.isComplete());
        BOOST_TEST(parser.keepsConnection());
        BOOST_TEST(parser.takeResponse().body == "hello!");
    }
}

BOOST_AUTO_TEST_CASE(interimAnswerHasNoBodyWhateverItsFieldsState)
{
    for (const std::string field : {"Content-Length: 5", "Transfer-Encoding: chunked", "Name: x"}) {
        AnswerParser parser{bodyLimit};
        parser.feed("HTTP/1.1 103 Hints\r\n" + field + "\r\n\r\n" + completeAnswer);
        BOOST_TEST(!parser.error(), field);
        BOOST_REQUIRE(parser.isComplete());
        BOOST_TEST(parser.takeResponse().body == "hello");
    }
}

BOOST_AUTO_TEST_CASE(answerWithoutContentHasNoBodyWhateverItsFieldsState)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        for (const std::string field :
             {"Content-Length: 5", "Content-Length: 0", "Transfer-Encoding: chunked", "Name: x"}) {
            AnswerParser parser{bodyLimit};
            const std::string answer = "HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\n";
            BOOST_TEST(parser.feed(answer + completeAnswer) == answer.size());
            BOOST_TEST(!parser.error(), answer);
            BOOST_REQUIRE(parser.isComplete());
            BOOST_TEST(parser.keepsConnection());
            BOOST_TEST(parser.takeResponse().body.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(answerToHeadHasNoBody)
{
    AnswerParser parser{bodyLimit};
    parser.begin(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST(parser.isComplete());
}
