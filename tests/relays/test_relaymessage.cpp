#define BOOST_TEST_MODULE RelayMessage

#include "relaymessage.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bulrush;

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
