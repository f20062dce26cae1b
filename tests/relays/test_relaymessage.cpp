#define BOOST_TEST_MODULE RelayMessage

#include "relaymessage.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

using namespace bulrush;

namespace {

constexpr std::array<RelayOutcome, 7> allOutcomes = {
    RelayOutcome::Answered,    RelayOutcome::NotRun,  RelayOutcome::Denied,  RelayOutcome::CutOff,
    RelayOutcome::Unavailable, RelayOutcome::Unknown, RelayOutcome::Rejected};

} // namespace

BOOST_AUTO_TEST_CASE(termsAreReadAsWritten)
{
    std::vector<io::HttpHeader> headers{{"Host", "shop.example"}};
    addRelayTerms(headers, {HostName{"front-1"}, 18});
    const auto terms = relayTerms(headers);
    BOOST_REQUIRE(terms.has_value());
    BOOST_TEST(terms->from.value() == "front-1");
    BOOST_TEST(terms->configVersion == 18U);
}

BOOST_AUTO_TEST_CASE(requestsWithoutValidTermsAreNotRelayed)
{
    BOOST_TEST(!relayTerms({}).has_value());
    const std::vector<io::HttpHeader> incomplete{{"X-Bulrush-Relayed-From", "front-1"}};
    BOOST_TEST(!relayTerms(incomplete).has_value());
    const std::vector<io::HttpHeader> malformed{{"X-Bulrush-Relayed-From", "front-1"},
                                                {"X-Bulrush-Relayed-Config", "18x"}};
    BOOST_TEST(!relayTerms(malformed).has_value());
}

BOOST_AUTO_TEST_CASE(statementsAreReadAsWritten)
{
    for (const RelayOutcome outcome :
         {RelayOutcome::Answered, RelayOutcome::NotRun, RelayOutcome::Denied, RelayOutcome::CutOff,
          RelayOutcome::Unavailable, RelayOutcome::Unknown, RelayOutcome::Rejected}) {
        std::vector<io::HttpHeader> headers;
        addRelayStatement(headers, {outcome, "server-unreachable", ServerName{"i-1"}});
        const auto statement = relayStatement(headers);
        BOOST_REQUIRE(statement.has_value());
        BOOST_TEST((statement->outcome == outcome));
        BOOST_TEST(statement->reason == "server-unreachable");
        BOOST_TEST(statement->server.value() == "i-1");
        removeRelayFields(headers);
        BOOST_TEST(headers.empty());
    }
}

BOOST_AUTO_TEST_CASE(answersWithoutAValidStatementHaveNone)
{
    const std::vector<io::HttpHeader> headers{{"X-Bulrush-Relay-Outcome", "perhaps"},
                                              {"X-Bulrush-Relay-Reason", "r"}};
    BOOST_TEST(!relayStatement(headers).has_value());
    BOOST_TEST(!relayStatement({}).has_value());
}

BOOST_AUTO_TEST_CASE(fieldsOfDaemonsAreRemoved)
{
    std::vector<io::HttpHeader> headers{{"Host", "shop.example"}};
    addRelayTerms(headers, {HostName{"front-1"}, 18});
    addRelayStatement(headers, {RelayOutcome::Answered, "server"});
    removeRelayFields(headers);
    BOOST_TEST(headers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(statementNamesTheRequestThatItIsAbout)
{
    for (const RelayOutcome outcome : allOutcomes) {
        for (const std::string id : {"r-1", "R-1", "r", ""}) {
            std::vector<io::HttpHeader> headers;
            addRelayStatement(headers, {outcome, "queue-too-long", ServerName{"i-1"}, id});
            const auto statement = relayStatement(headers);
            BOOST_REQUIRE(statement.has_value());
            BOOST_TEST(statement->request == id);
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyAnAnswerAndAnUnknownOutcomeLeaveOpenWhetherTheRequestRan)
{
    for (const RelayOutcome outcome : allOutcomes) {
        const bool isOpen = outcome == RelayOutcome::Answered || outcome == RelayOutcome::Unknown;
        BOOST_TEST(statesNotRun(outcome) != isOpen, nameOf(outcome));
    }
}

BOOST_AUTO_TEST_CASE(twoOutcomesInOneAnswerAreNoStatement)
{
    for (const RelayOutcome first : allOutcomes) {
        for (const RelayOutcome second : allOutcomes) {
            if (first == second)
                continue;
            std::vector<io::HttpHeader> headers;
            addRelayStatement(headers, {first, "reason", ServerName{}, "r-1"});
            addRelayStatement(headers, {second, "reason", ServerName{}, "r-1"});
            BOOST_TEST(!relayStatement(headers).has_value(),
                       nameOf(first) << " and " << nameOf(second));
        }
    }
}

BOOST_AUTO_TEST_CASE(twoRequestsInOneAnswerAreNoStatement)
{
    std::vector<io::HttpHeader> headers;
    addRelayStatement(headers, {RelayOutcome::NotRun, "reason", ServerName{}, "r-1"});
    headers.push_back({"x-bulrush-relay-request", "r-2"});
    BOOST_TEST(!relayStatement(headers).has_value());
}

BOOST_AUTO_TEST_CASE(outcomeIsReadOnlyAsWritten)
{
    for (const std::string value : {"Not-Run", "not-run ", "not-run, answered", "not", "", "408"}) {
        const std::vector<io::HttpHeader> headers{{"X-Bulrush-Relay-Outcome", value},
                                                  {"X-Bulrush-Relay-Reason", "r"},
                                                  {"X-Bulrush-Relay-Request", "r-1"}};
        const auto statement = relayStatement(headers);
        BOOST_TEST((!statement || !statesNotRun(statement->outcome)), value);
    }
}

BOOST_AUTO_TEST_CASE(fieldsOfDaemonsAreRemovedWhateverTheirCaseAndNumber)
{
    std::vector<io::HttpHeader> headers;
    for (const std::string name : {"Outcome", "OUTCOME", "reason", "sERVER", "Request", "request"})
        headers.push_back({"x-Bulrush-RELAY-" + name, "not-run"});
    headers.push_back({"X-BULRUSH-RELAYED-FROM", "front-1"});
    headers.push_back({"x-bulrush-relayed-config", "1"});
    headers.push_back({"Content-Type", "text/plain"});
    removeRelayFields(headers);
    BOOST_REQUIRE(headers.size() == 1U);
    BOOST_TEST(headers.front().name == "Content-Type");
}
