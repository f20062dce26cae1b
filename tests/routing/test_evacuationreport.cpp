#define BOOST_TEST_MODULE EvacuationReport

#include "process/evacuationreport.h"
#include "process/jsonreader.h"
#include "version/evacuationreportcodec.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const ServiceName keyed{"payments"};
const ServiceName plain{"catalogue"};

KnownServer server(const std::string &id, const ServiceName &service, const std::string &domain)
{
    KnownServer made;
    made.record = {ServerName{id}, service, {"10.0.0.1", 80}, DomainName{domain}, 2, false, {}};
    return made;
}

RoutingState makeState()
{
    RoutingState state;
    state.servers[keyed] = {server("p1", keyed, "a"), server("p2", keyed, "b")};
    state.servers[plain] = {server("c1", plain, "a"), server("c2", plain, "a")};
    state.servers[plain][1].record.isDraining = true;
    KeyAssignment assignment{keyed, 7, {}};
    assignment.ranges = {{{0, 999}, ServerName{"p1"}, 1, "", {}, 0},
                         // It moves from p1, which holds it until then.
                         {{1000, 1999}, ServerName{"p2"}, 2, "", ServerName{"p1"}, 2},
                         {{2000, keyPositionCount - 1}, ServerName{"p2"}, 1, "", {}, 0}};
    state.assignments[keyed] = std::make_shared<const KeyAssignment>(assignment);
    return state;
}

EvacuationReport report(std::uint64_t inFlight, const std::vector<std::string> &evacuated = {})
{
    EvacuationReport made{HostName{"front-1"}, {}, serviceUse(makeState(), [&](const ServerName &) {
                              return inFlight;
                          })};
    for (const std::string &domain : evacuated)
        made.evacuated.push_back({DomainName{domain}, 3s});
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(countsServersKeysAndRequestsByDomain)
{
    const std::vector<ServiceUse> services = report(3).services;
    BOOST_REQUIRE(services.size() == 2U);
    BOOST_TEST((services[0] == ServiceUse{plain, {{DomainName{"a"}, 1, 2, 0, 6}}}));
    BOOST_TEST((services[1]
                == ServiceUse{keyed,
                              {{DomainName{"a"}, 1, 2, 2000, 3},
                               {DomainName{"b"}, 1, 2, keyPositionCount - 2000, 3}}}));
}

BOOST_AUTO_TEST_CASE(reportsSinceWhenADomainIsEvacuated)
{
    ServerDirectory directory;
    directory.applyEvacuation(DomainName{"a"}, start, start - 1s);
    BOOST_TEST((evacuatedDomains(directory, start + 5s)
                == std::vector<EvacuatedDomain>{{DomainName{"a"}, 5s}}));
}

BOOST_AUTO_TEST_CASE(impactNamesServicesWithoutServersOrCapacity)
{
    const std::vector<EvacuationReport> reports{report(1), report(1)};
    const auto impact = evacuationImpact(reports, DomainName{"a"});
    BOOST_REQUIRE(impact.size() == 2U);
    BOOST_TEST((impact[0] == EvacuationImpact{plain, 0, 0, 4, EvacuationVerdict::NoServers}));
    BOOST_TEST((impact[1] == EvacuationImpact{keyed, 1, 2, 4, EvacuationVerdict::AboveCapacity}));
    const std::vector<EvacuationReport> idle{report(0), report(1)};
    BOOST_TEST((evacuationImpact(idle, DomainName{"a"})[1].verdict == EvacuationVerdict::Fits));
    // Domains that are evacuated already do not count as left.
    const std::vector<EvacuationReport> second{report(0), report(0, {"b"})};
    BOOST_TEST(
        (evacuationImpact(second, DomainName{"a"})[1].verdict == EvacuationVerdict::NoServers));
}

BOOST_AUTO_TEST_CASE(decodedReportEqualsTheEncodedOne)
{
    const EvacuationReport sent = report(2, {"a", "b"});
    const auto received =
        io::decodeEvacuationReport(io::parseJson(io::encodeEvacuationReport(sent)));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((*received == sent));
    for (const std::string wrong :
         {"[]", "{}", R"({"host":"h","evacuated":[],"services":[{"service":"s"}]})",
          R"({"host":"h","evacuated":[{"domain":"a"}],"services":[]})",
          R"({"host":"h","evacuated":[],"services":[{"service":"s","domains":[{"domain":1}]}]})"})
        BOOST_TEST(!io::decodeEvacuationReport(io::parseJson(wrong)).has_value(), wrong);
}
