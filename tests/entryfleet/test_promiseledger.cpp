#define BOOST_TEST_MODULE PromiseLedger

#include "entryfleet/promiseledger.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <vector>

using namespace bulrush::test;

namespace {

struct Ledger
{
    Ledger()
        : folder(std::filesystem::temp_directory_path()
                 / ("bulrush-ledger-" + std::to_string(::getpid())))
        , ledger(folder.string())
    { }

    ~Ledger()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    void run(const std::string &server, const std::string &request, const std::string &path)
    {
        std::ofstream{ledger.runFile(server), std::ios::app} << request << ' ' << path << '\n';
    }

    std::filesystem::path folder;
    PromiseLedger ledger;
    const std::vector<std::string> runOncePrefixes{"/pay/"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(eachPromisedStatusOfARequestThatRanIsReported, Ledger)
{
    for (const int status : {408, 421, 429, 503}) {
        const std::string request = "r" + std::to_string(status);
        run("p1", request, "/pay/x");
        ledger.recordAnswer(request, status);
    }
    BOOST_TEST(ledger.brokenPromises().size() == 4U);
    BOOST_TEST(ledger.promiseCount() == 4U);
    BOOST_TEST(ledger.brokenPromises().front() == "r408 /pay/x was answered 408 and run by p1");
}

BOOST_FIXTURE_TEST_CASE(aRunThatBeginsAfterThePromiseIsReported, Ledger)
{
    ledger.recordAnswer("late", 503);
    BOOST_TEST(ledger.brokenPromises().empty());
    run("p1", "late", "/pay/x");
    BOOST_TEST(ledger.brokenPromises().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aPromiseBesideAnotherAnswerToTheSameRequestIsReported, Ledger)
{
    run("p1", "both", "/pay/x");
    ledger.recordAnswer("both", 200);
    ledger.recordAnswer("both", 503);
    BOOST_TEST(ledger.brokenPromises().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answersThatPromiseNothingAreNotReported, Ledger)
{
    for (const int status : {0, 200, 400, 404, 500, 502, 504}) {
        const std::string request = "r" + std::to_string(status);
        run("p1", request, "/pay/x");
        ledger.recordAnswer(request, status);
    }
    ledger.recordAnswer("refused", 503);
    BOOST_TEST(ledger.brokenPromises().empty());
    BOOST_TEST(ledger.repeatedRuns(runOncePrefixes).empty());
    BOOST_TEST(ledger.promiseCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(secondRunsOfPaymentsAreReportedAtOneServerAndAtTwo, Ledger)
{
    run("p1", "same", "/pay/x");
    run("p1", "same", "/pay/x");
    run("p1", "other", "/pay/x");
    run("p2", "other", "/pay/x");
    run("p1", "once", "/pay/x");
    run("p1", "read", "/read/7");
    run("p2", "read", "/read/7");
    const std::vector<std::string> expected{"other /pay/x was run by p1, p2",
                                            "same /pay/x was run by p1, p1"};
    BOOST_TEST(ledger.repeatedRuns(runOncePrefixes) == expected, boost::test_tools::per_element());
}
