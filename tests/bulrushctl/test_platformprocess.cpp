#define BOOST_TEST_MODULE PlatformProcess

#include "commandline.h"
#include "standinprocess/childprocess.h"
#include "standinprocess/synchttpclient.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace bulrush::ctl;
using namespace bulrush::test;

namespace {

/** Runs the platform stand-in as a process, and bulrushctl commands against it. */
struct PlatformFixture
{
    ChildProcess platform{BULRUSH_BINARY_DIR "/platform-standin",
                          {"--listen", "antwerp=127.0.0.1:0"}};
    std::string printed;

    ExitCode run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(),
                         {"--platform", platform.address("antwerp"), "--as", "an"});
        std::istringstream in;
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = bulrush::ctl::run(arguments, in, out, err);
        printed = out.str() + err.str();
        return code;
    }

    ExitCode put(const std::string &deployment)
    {
        return run({"contract", "put", "--yes",
                    BULRUSH_SOURCE_DIR "/examples/" + deployment + "/contract.yaml"});
    }

    void setFaults(const std::string &body)
    {
        SyncHttpClient http;
        BOOST_REQUIRE(http.post(platform.address("antwerp") + "/_faults", body).status == 200);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platformProcess, PlatformFixture)

BOOST_AUTO_TEST_CASE(contractsAreStoredWithTheirHistory)
{
    BOOST_CHECK(put("leuvensport") == ExitCode::Done);
    BOOST_CHECK(put("hinokuni") == ExitCode::Done);
    BOOST_CHECK(put("leuvensport") == ExitCode::Conflict);
    BOOST_CHECK(run({"contract", "list"}) == ExitCode::Done);
    BOOST_TEST(printed
               == "ORGANISATION  VERSION  CHANGED BY\n"
                  "hinokuni      1        an\n"
                  "leuvensport   1        an\n");
    BOOST_CHECK(run({"contract", "get", "leuvensport"}) == ExitCode::Done);
    BOOST_TEST(printed.find("\nversion: 1\n") != std::string::npos);
    BOOST_CHECK(run({"contract", "history", "leuvensport"}) == ExitCode::Done);
    BOOST_CHECK(run({"contract", "get", "nobody"}) == ExitCode::Refused);
}

BOOST_AUTO_TEST_CASE(lostAnswerIsResolved)
{
    setFaults(R"({"listener": "antwerp", "loseAnswers": 1})");
    BOOST_CHECK(put("leuvensport") == ExitCode::Done);
    BOOST_TEST(printed.find("accepted: leuvensport version 1") != std::string::npos);

    setFaults(R"({"listener": "antwerp", "loseAnswers": 1})");
    BOOST_CHECK(run({"host", "leave", "antwerp-1", "--unlisted"}) == ExitCode::Done);
    BOOST_TEST(printed == "planned: antwerp-1 leaves\n");
}

BOOST_AUTO_TEST_CASE(platformThatIsDownIsUnreachable)
{
    setFaults(R"({"listener": "antwerp", "mode": "down"})");
    BOOST_CHECK(put("leuvensport") == ExitCode::Unreachable);
    setFaults(R"({"listener": "antwerp", "mode": "none"})");
    BOOST_CHECK(put("leuvensport") == ExitCode::Done);
}

BOOST_AUTO_TEST_SUITE_END()
