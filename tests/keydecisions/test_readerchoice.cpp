#define BOOST_TEST_MODULE ReaderChoice

#include "process/readerchoice.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant now{100s};

Renewer daemon(const std::string &host, std::uint64_t version, const std::string &domain = "a")
{
    Renewer made;
    made.host = HostName{host};
    made.row = {Incarnation{host + "/1"}, {"10.0.0.1", 80}, DomainName{domain}};
    made.version = version;
    return made;
}

std::string chosen(const ReaderChoice &choice, Instant at = now)
{
    const auto reader = choice.reader(at);
    return reader ? reader->host.value() : "";
}

struct Fixture
{
    ReaderChoice choice{HostName{"a2"}, DomainName{"a"}};

    Fixture()
    {
        choice.setDaemons(
            std::vector{daemon("a1", 7), daemon("a2", 5), daemon("a3", 3), daemon("b1", 1, "b")});
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(theOneOfTheDomainThatRegisteredFirstReads, Fixture)
{
    BOOST_TEST(chosen(choice) == "a3");
}

BOOST_FIXTURE_TEST_CASE(whoFailedIsPassedOverForAWhile, Fixture)
{
    choice.failed(HostName{"a3"}, now);
    // Next comes this daemon itself.
    BOOST_TEST(chosen(choice, now + 1s) == "");
    BOOST_TEST(chosen(choice, now + ReaderChoice::suspicion) == "a3");
}

BOOST_FIXTURE_TEST_CASE(whoFailsAgainIsPassedOverForLongerUntilItServes, Fixture)
{
    choice.failed(HostName{"a3"}, now);
    choice.failed(HostName{"a3"}, now + 6s);
    BOOST_TEST(chosen(choice, now + 15s) == "");
    BOOST_TEST(chosen(choice, now + 16s) == "a3");
    choice.served(HostName{"a3"});
    choice.failed(HostName{"a3"}, now + 20s);
    BOOST_TEST(chosen(choice, now + 25s) == "a3");
}

BOOST_FIXTURE_TEST_CASE(whoRegisteredFirstReadsTheStoreItself, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 7), daemon("a2", 5)});
    BOOST_TEST(chosen(choice) == "");
}

BOOST_FIXTURE_TEST_CASE(whoHasNoRowReadsTheStoreItself, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 7), daemon("a3", 3)});
    BOOST_TEST(chosen(choice) == "");
}

BOOST_FIXTURE_TEST_CASE(whoIsGoneReadsForNobody, Fixture)
{
    Renewer gone = daemon("a3", 3);
    gone.goneSince = now;
    choice.setDaemons(std::vector{gone, daemon("a1", 4), daemon("a2", 5)});
    BOOST_TEST(chosen(choice) == "a1");
}
