#define BOOST_TEST_MODULE ContractReader

#include "../support/goldentext.h"

#include "version/contractreader.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

namespace {

const std::filesystem::path sourceFolder{BULRUSH_SOURCE_DIR};

Contract example(const std::string &deployment)
{
    const auto path = sourceFolder / "examples" / deployment / "contract.yaml";
    const ContractResult reading = readContractFile(path.string());
    BOOST_REQUIRE_MESSAGE(!reading.error, reading.error.message());
    return reading.contract;
}

const Operation &find(const Contract &contract, std::string_view method, std::string_view path)
{
    const Operation *operation = operationFor(contract, method, *splitPath(path));
    BOOST_REQUIRE(operation);
    return *operation;
}

void checkRejected(const std::string &name, ConfigError error)
{
    const std::string text =
        test::fileText(sourceFolder / "tests/contractreader/wrong" / (name + ".yaml"));
    const ContractResult reading = readContract(text, name + ".yaml");
    BOOST_CHECK_EQUAL(reading.error, make_error_code(error));
    BOOST_TEST(!reading.problems.empty());

    std::string problems;
    for (const ConfigProblem &problem : reading.problems)
        problems += toString(problem) + "\n";
    test::checkGolden("contractreader/" + name + ".txt", problems);
}

} // namespace

BOOST_AUTO_TEST_CASE(leuvensportsContractMarksOperationsThatMustNotBeRepeated)
{
    const Contract contract = example("leuvensport");
    BOOST_TEST(find(contract, "GET", "/catalogue/bike-7").isRepeatable);
    BOOST_TEST(!find(contract, "POST", "/deposits").isRepeatable);
    BOOST_TEST(!find(contract, "POST", "/deliveries").isRepeatable);
    BOOST_CHECK(find(contract, "GET", "/catalogue/bike-7").key == KeySource{KeyFromPath{1}});
    BOOST_CHECK(find(contract, "GET", "/catalogue/bike-7").deadline == 800ms);
    BOOST_TEST(find(contract, "PUT", "/workouts/w1").maxBodyBytes == 64u << 20);

    const ServiceTerms *catalogue = serviceTerms(contract, ServiceName{"catalogue"});
    BOOST_REQUIRE(catalogue);
    BOOST_TEST(catalogue->isDividedByKey);
    BOOST_TEST(catalogue->checksFence);
    BOOST_CHECK(catalogue->preference == Preference::Imbalance);
}

BOOST_AUTO_TEST_CASE(hinokunisContractReadsKeysFromAHeader)
{
    const Contract contract = example("hinokuni");
    BOOST_CHECK(find(contract, "GET", "/status").key == KeySource{KeyFromHeader{"X-Applicant"}});
    BOOST_TEST(!find(contract, "POST", "/awards/a1/confirmation").isRepeatable);
    BOOST_TEST(!find(contract, "POST", "/applications").isRepeatable);
    BOOST_CHECK(contract.services.front().preference == Preference::Availability);
}

BOOST_AUTO_TEST_CASE(operationsDefaultToTheContractsTarget)
{
    const Contract contract = example("leuvensport");
    const ServiceLevelTarget common{999'000, 300ms, 720h};
    BOOST_CHECK(contract.target == common);
    BOOST_CHECK(find(contract, "GET", "/catalogue/bike-7").target == common);
    const ServiceLevelTarget own{999'500, 2s, 720h};
    BOOST_CHECK(find(contract, "POST", "/deposits").target == own);
}

BOOST_AUTO_TEST_CASE(everyWrongFieldIsReportedInOneReading)
{
    checkRejected("many-fields", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(inconsistentContractsAreReported)
{
    checkRejected("contradictions", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(missingFieldsAreReported)
{
    checkRejected("missing-fields", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(invalidYamlIsReported)
{
    checkRejected("no-yaml", ConfigError::NotYaml);
}

BOOST_AUTO_TEST_CASE(everyTruncatedContractIsReadOrReported)
{
    const std::string complete =
        test::fileText(sourceFolder / "examples/leuvensport/contract.yaml");
    for (std::size_t length = 0; length < complete.size(); ++length) {
        const ContractResult reading = readContract(complete.substr(0, length), "cut.yaml");
        BOOST_CHECK_EQUAL(static_cast<bool>(reading.error), !reading.problems.empty());
    }
}

BOOST_AUTO_TEST_CASE(malformedTextsAreReported)
{
    const std::string deep(100'000, '[');
    BOOST_CHECK_EQUAL(readContract(deep, "deep").error, make_error_code(ConfigError::NotYaml));
    const std::string large(maxConfigBytes + 1, ' ');
    BOOST_CHECK_EQUAL(readContract(large, "large").error, make_error_code(ConfigError::TooLarge));
    const std::string binary = "\x00\xff\xfe\x80: \x01";
    BOOST_TEST(static_cast<bool>(readContract(binary, "binary").error));
    BOOST_TEST(static_cast<bool>(readContract("&a [*a]", "self").error));

    std::string many = "operations:\n";
    for (int i = 0; i < 300; ++i)
        many += "  - {}\n";
    const ContractResult reading = readContract(many, "many");
    BOOST_CHECK_EQUAL(reading.error, make_error_code(ConfigError::Invalid));
    BOOST_TEST(reading.problems.size() < 10u);
}
