#define BOOST_TEST_MODULE ReaderChoice

#include "process/readerchoice.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant now{100s};

Renewer daemon(const std::string &host, std::uint64_t version, const std::string &domain = "a",
               double processors = 0.2)
{
    Renewer made;
    made.host = HostName{host};
    made.row = {Incarnation{host + "/1"}, {"10.0.0.1", 80}, DomainName{domain}, processors};
    made.version = {0, version};
    return made;
}

std::string selectedHost(const ReaderChoice &choice, Instant at = now,
                         ReaderPlace place = ReaderPlace::InOrder)
{
    const auto reader = choice.reader(place, at);
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

BOOST_FIXTURE_TEST_CASE(followsTheFirstRegisteredDaemonOfTheDomain, Fixture)
{
    BOOST_TEST(selectedHost(choice) == "a3");
}

BOOST_FIXTURE_TEST_CASE(skipsAFailedReaderForAWhile, Fixture)
{
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now);
    // This daemon is next in the order itself.
    BOOST_TEST(selectedHost(choice, now + 1s) == "");
    BOOST_TEST(selectedHost(choice, now + ReaderChoice::silentBackoff) == "a3");
}

BOOST_FIXTURE_TEST_CASE(backoffGrowsUntilTheReaderServes, Fixture)
{
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now);
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now + 6s);
    BOOST_TEST(selectedHost(choice, now + 15s) == "");
    BOOST_TEST(selectedHost(choice, now + 16s) == "a3");
    choice.recordSuccess(HostName{"a3"});
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now + 20s);
    BOOST_TEST(selectedHost(choice, now + 25s) == "a3");
}

BOOST_FIXTURE_TEST_CASE(retriesARefusingReaderSoon, Fixture)
{
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Refused, now);
    BOOST_TEST(selectedHost(choice, now + 900ms) == "");
    BOOST_TEST(selectedHost(choice, now + ReaderChoice::refusedBackoff) == "a3");
}

BOOST_FIXTURE_TEST_CASE(firstRegisteredDaemonReadsTheStore, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 7), daemon("a2", 5)});
    BOOST_TEST(selectedHost(choice) == "");
}

BOOST_FIXTURE_TEST_CASE(daemonWithoutARowMayFollowAnyOther, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 7), daemon("a3", 3)});
    BOOST_TEST(selectedHost(choice) == "a3");
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now);
    BOOST_TEST(selectedHost(choice) == "a1");
    choice.recordFailure(HostName{"a1"}, ReaderFailure::Silent, now);
    BOOST_TEST(selectedHost(choice) == "");
}

BOOST_FIXTURE_TEST_CASE(daemonThatCannotServeMayFollowLaterOnes, Fixture)
{
    choice.recordFailure(HostName{"a3"}, ReaderFailure::Silent, now);
    BOOST_TEST(selectedHost(choice, now, ReaderPlace::Last) == "a1");
}

BOOST_FIXTURE_TEST_CASE(strongHostsPrecedeWeakOnesThatRegisteredEarlier, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 7, "a", 0.5), daemon("a2", 5, "a", 0.1),
                                  daemon("a3", 3, "a", 0.1)});
    BOOST_TEST(selectedHost(choice) == "a1");
    BOOST_TEST(choice.rank() == 2U);
}

BOOST_FIXTURE_TEST_CASE(queriesTheNextReadersBesideASilentOne, Fixture)
{
    choice.setDaemons(std::vector{daemon("a1", 1), daemon("a3", 3), daemon("a4", 4),
                                  daemon("a5", 5), daemon("a2", 6)});
    const std::vector<RowsReader> alternatives = choice.alternateReaders(HostName{"a1"}, now);
    BOOST_REQUIRE(alternatives.size() == 2U);
    BOOST_TEST(alternatives[0].host.value() == "a3");
    BOOST_TEST(alternatives[1].host.value() == "a4");
    choice.recordFailure(HostName{"a4"}, ReaderFailure::Silent, now);
    BOOST_TEST(choice.alternateReaders(HostName{"a1"}, now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(distinguishesRefusalFromSilenceOfTheFirstReaders, Fixture)
{
    choice.setDaemons(
        std::vector{daemon("a1", 1), daemon("a3", 3), daemon("a4", 4), daemon("a2", 6)});
    for (const std::string host : {"a1", "a3"})
        choice.recordFailure(HostName{host}, ReaderFailure::Refused, now);
    BOOST_TEST(!choice.haveRetryingRefused(now));
    choice.recordFailure(HostName{"a4"}, ReaderFailure::Silent, now);
    BOOST_TEST(!choice.haveRetryingRefused(now));
    choice.recordSuccess(HostName{"a4"});
    choice.recordFailure(HostName{"a4"}, ReaderFailure::Refused, now);
    BOOST_TEST(choice.haveRetryingRefused(now));
    BOOST_TEST(!choice.haveRetryingRefused(now + 2s));
}
