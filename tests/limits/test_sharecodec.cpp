#define BOOST_TEST_MODULE ShareCodec

#include "process/jsonreader.h"
#include "process/sharecodec.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace bulrush;
using namespace bulrush::io;

namespace {

constexpr std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max();

ShareRequest request()
{
    const LimitDemand rate{{1.0 / 3.0, 0.0, {maxValue, 7}}, 12.25};
    const LimitDemand concurrency{{40.0, 17.0, {2, maxValue}}, 21.0};
    return {Incarnation{"a1#5.1"}, {{OrganisationName{"leuvensport"}, rate, concurrency}}};
}

ShareReply reply()
{
    const ShareGrant rate{{3, 9}, 1e5 / 7.0, std::chrono::seconds{6}};
    const ShareGrant concurrency{{3, 10}, 555.0, std::chrono::milliseconds{1}};
    return {true, {{OrganisationName{"leuvensport"}, rate, concurrency}}};
}

/** \returns \a json after a round trip through its text form. */
Json::Value transmitted(const Json::Value &json)
{
    return parseJson(toCompactJson(json));
}

void checkSame(const LimitDemand &first, const LimitDemand &second)
{
    BOOST_TEST(first.demand.wanted == second.demand.wanted);
    BOOST_TEST(first.demand.inUse == second.demand.inUse);
    BOOST_CHECK(first.demand.acknowledged == second.demand.acknowledged);
    BOOST_TEST(first.held == second.held);
}

} // namespace

BOOST_AUTO_TEST_CASE(requestSurvivesARoundTrip)
{
    const auto decoded = decodeShareRequest(transmitted(encodeShareRequest(request())));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->incarnation.value() == "a1#5.1");
    BOOST_REQUIRE(decoded->organisations.size() == 1U);
    const OrganisationDemand &entry = decoded->organisations.front();
    BOOST_TEST(entry.organisation.value() == "leuvensport");
    checkSame(entry.rate, request().organisations.front().rate);
    checkSame(entry.concurrency, request().organisations.front().concurrency);
}

BOOST_AUTO_TEST_CASE(replySurvivesARoundTrip)
{
    const auto decoded = decodeShareReply(transmitted(encodeShareReply(reply())));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->isSettled);
    BOOST_REQUIRE(decoded->organisations.size() == 1U);
    BOOST_CHECK(decoded->organisations.front().rate == reply().organisations.front().rate);
    BOOST_CHECK(decoded->organisations.front().concurrency
                == reply().organisations.front().concurrency);
}

BOOST_AUTO_TEST_CASE(invalidMessagesAreRejected)
{
    BOOST_TEST(!decodeShareRequest({}));
    BOOST_TEST(!decodeShareReply({}));
    BOOST_TEST(!decodeShareReply(encodeShareRequest(request())));

    for (const char *field : {"wanted", "inUse", "held", "acknowledged"}) {
        Json::Value missing = encodeShareRequest(request());
        missing["organisations"][0]["rate"].removeMember(field);
        BOOST_TEST(!decodeShareRequest(missing), field);
        Json::Value negative = encodeShareRequest(request());
        negative["organisations"][0]["concurrency"][field] = -1;
        BOOST_TEST(!decodeShareRequest(negative), field);
    }
    for (const char *field : {"sequence", "amount", "lengthNs"}) {
        Json::Value wrong = encodeShareReply(reply());
        wrong["organisations"][0]["rate"][field] = "1";
        BOOST_TEST(!decodeShareReply(wrong), field);
    }
    Json::Value notObject = encodeShareReply(reply());
    notObject["organisations"].append(3);
    BOOST_TEST(!decodeShareReply(notObject));
}
