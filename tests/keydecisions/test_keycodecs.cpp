#define BOOST_TEST_MODULE KeyCodecs

#include "version/keyassignmentcodec.h"
#include "version/loadsamplecodec.h"
#include "version/renewalcodec.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

KeyAssignment assignment()
{
    const ServerName one{"i-1"};
    const ServerName two{"i-2"};
    return {ServiceName{"catalogue"},
            9,
            {{{0, 99}, one, 3, "warm", {}, 0}, {{100, keyPositionCount - 1}, two, 9, "", one, 9}}};
}

/** Checks that a text truncated at any length is rejected. */
template<typename Decode>
void checkPrefixes(const std::string &text, const Decode &decode)
{
    for (std::size_t length = 0; length + 1 < text.size(); ++length)
        BOOST_TEST(!decode(std::string_view{text}.substr(0, length)).has_value());
}

} // namespace

BOOST_AUTO_TEST_CASE(assignmentsSurviveEncoding)
{
    const std::string text = io::encodeAssignment(assignment());
    const auto decoded = io::decodeAssignment(text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == assignment()));
    checkPrefixes(text, io::decodeAssignment);
}

BOOST_AUTO_TEST_CASE(rejectsInvalidAssignments)
{
    KeyAssignment wrong = assignment();
    wrong.ranges[1].range.first = 50;
    BOOST_TEST(!io::decodeAssignment(io::encodeAssignment(wrong)).has_value());
    wrong = assignment();
    wrong.ranges[1].fence = 10;
    BOOST_TEST(!io::decodeAssignment(io::encodeAssignment(wrong)).has_value());
}

BOOST_AUTO_TEST_CASE(plannerAndDaemonRowsSurviveEncoding)
{
    const PlannerRow planner{Incarnation{"a/1"}, {"10.0.0.1", 7200}, 12};
    const std::string plannerText = io::encodePlannerRow(planner);
    BOOST_TEST((io::decodePlannerRow(plannerText) == planner));
    checkPrefixes(plannerText, io::decodePlannerRow);
    const PlannerRow resumed{Incarnation{"a/2"}, {"10.0.0.1", 7200}, 13, 2, true};
    const std::string resumedText = io::encodePlannerRow(resumed);
    BOOST_TEST((io::decodePlannerRow(resumedText) == resumed));
    checkPrefixes(resumedText, io::decodePlannerRow);
    const DaemonRow daemon{Incarnation{"a/1"}, {"10.0.0.1", 7200}, DomainName{"a"}, 0.5};
    const std::string daemonText = io::encodeDaemonRow(daemon);
    BOOST_TEST((io::decodeDaemonRow(daemonText) == daemon));
    checkPrefixes(daemonText, io::decodeDaemonRow);
}

BOOST_AUTO_TEST_CASE(queriesAndAnswersSurviveEncoding)
{
    const KeyAssignment known = assignment();
    const io::RenewalQuery question{known.service, known, {2, 77}, {ServerName{"i-1"}}};
    const auto decoded = io::decodeRenewalQuery(io::encodeRenewalQuery(question));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->service == question.service));
    BOOST_TEST((decoded->assignment == question.assignment));
    BOOST_TEST((decoded->version == StoreVersion{2, 77}));
    BOOST_TEST((decoded->servers == question.servers));
    const io::RenewalQuery brief{known.service, std::nullopt, {}, question.servers};
    const auto decodedBrief = io::decodeRenewalQuery(io::encodeRenewalQuery(brief));
    BOOST_REQUIRE(decodedBrief.has_value());
    BOOST_TEST(!decodedBrief->assignment.has_value());
    BOOST_TEST((decodedBrief->service == question.service));
    checkPrefixes(io::encodeRenewalQuery(question), io::decodeRenewalQuery);
    const RenewerAnswer answer{
        HostName{"a1"}, Incarnation{"a1/1"}, ServiceName{"s"}, 4, {{ServerName{"i-1"}, 1500ms}}};
    const auto back = io::decodeRenewalAnswer(io::encodeRenewalAnswer(answer));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->lastGrantAgo == answer.lastGrantAgo));
    BOOST_TEST(back->sequence == 4U);
    checkPrefixes(io::encodeRenewalAnswer(answer), io::decodeRenewalAnswer);
}

BOOST_AUTO_TEST_CASE(loadSamplesSurviveEncodingAndInvalidKeysAreRejected)
{
    std::array samples{
        LoadSample{ServiceName{"s"},
                   {1, 2, keyPositionCount - 1},
                   {{ServerName{"i-1"}, 250ms, 3}},
                   {ServerName{"i-2"}},
                   {{ServerName{"i-1"}, 5.25, 70ms}, {ServerName{"i-3"}, std::nullopt, 10ms}},
                   {ServerName{"i-4"}},
                   {{ServerName{"i-5"}, 7, 2900ms}}}};
    const auto back = io::decodeLoadSamples(io::encodeLoadSamples(samples));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->front() == samples.front()));
    samples.front().limits.front().perSecond = -1.0;
    BOOST_TEST(!io::decodeLoadSamples(io::encodeLoadSamples(samples)).has_value());
    samples.front().limits.clear();
    BOOST_TEST(io::decodeLoadSamples(io::encodeLoadSamples(samples)).has_value());
    samples.front().backoffs.front().left = -1ms;
    BOOST_TEST(!io::decodeLoadSamples(io::encodeLoadSamples(samples)).has_value());
    samples.front().backoffs.clear();
    samples.front().keys.push_back(keyPositionCount);
    BOOST_TEST(!io::decodeLoadSamples(io::encodeLoadSamples(samples)).has_value());
}
