#define BOOST_TEST_MODULE PathPattern

#include "version/contract.h"
#include "version/pathpattern.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;

namespace {

PathPattern pattern(std::string_view text)
{
    const auto parsed = PathPattern::parse(text);
    BOOST_REQUIRE_MESSAGE(parsed, text);
    return *parsed;
}

bool matches(std::string_view patternText, std::string_view path)
{
    const auto segments = splitPath(path);
    BOOST_REQUIRE_MESSAGE(segments, path);
    return pattern(patternText).matches(*segments);
}

Operation operation(const char *name, const char *method, const char *path)
{
    Operation made;
    made.name = OperationName{name};
    made.method = method;
    made.path = pattern(path);
    return made;
}

std::string operationNameFor(const Contract &contract, std::string_view method,
                             std::string_view path)
{
    const auto segments = splitPath(path);
    BOOST_REQUIRE_MESSAGE(segments, path);
    const Operation *found = operationFor(contract, method, *segments);
    return found ? found->name.value() : "none";
}

} // namespace

BOOST_AUTO_TEST_CASE(matchesPathsThatBeginWithIt)
{
    BOOST_TEST(matches("/catalogue/{item}", "/catalogue/bike-7"));
    BOOST_TEST(matches("/catalogue/{item}", "/catalogue/bike-7/pictures"));
    BOOST_TEST(matches("/catalogue/{}", "/catalogue/bike-7?page=2"));
    BOOST_TEST(matches("/", "/anything"));
    BOOST_TEST(!matches("/catalogue/{item}", "/catalogue"));
    BOOST_TEST(!matches("/catalogue/{item}", "/catalogue/"));
    BOOST_TEST(!matches("/catalogue", "/catalogues"));
}

BOOST_AUTO_TEST_CASE(rejectsInvalidPatterns)
{
    for (const char *text : {"", "catalogue", "/a//b", "/a/", "/../a", "/a b", "/%61", "/{x}/{x}",
                             "/{x", "/x}", "/{a/b}", "/a?b"})
        BOOST_TEST(!PathPattern::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(equivalentSpellingsGiveTheSamePath)
{
    BOOST_CHECK(splitPath("/catalogue/bike-7") == splitPath("/c%61talogue/bike%2D7"));
    BOOST_CHECK(*splitPath("/a/b%20c") == (PathSegments{"a", "b c"}));
    BOOST_CHECK(*splitPath("/") == PathSegments{""});
    BOOST_CHECK(*splitPath("/a/") == (PathSegments{"a", ""}));
}

BOOST_AUTO_TEST_CASE(rejectsPathsThatServersMayInterpretDifferently)
{
    for (const char *path : {"", "a", "*", "/a/../b", "/a/%2e%2E/b", "/.", "/a%2fb", "/a%5Cb",
                             "/a\\b", "/a%00", "/a%0d%0a", "/a%7f", "/%", "/%4", "/%zz", "/a#b"})
        BOOST_TEST(!splitPath(path).has_value(), path);
}

BOOST_AUTO_TEST_CASE(mostSpecificOperationIsSelected)
{
    Contract contract;
    contract.operations = {operation("all", "GET", "/"),
                           operation("item", "GET", "/catalogue/{item}"),
                           operation("new", "GET", "/catalogue/new"),
                           operation("pictures", "GET", "/catalogue/{item}/pictures"),
                           operation("reserve", "POST", "/catalogue/{item}")};

    BOOST_TEST(operationNameFor(contract, "GET", "/catalogue/bike") == "item");
    BOOST_TEST(operationNameFor(contract, "GET", "/catalogue/new") == "new");
    BOOST_TEST(operationNameFor(contract, "GET", "/catalogue/new/pictures") == "pictures");
    BOOST_TEST(operationNameFor(contract, "GET", "/deposits") == "all");
    BOOST_TEST(operationNameFor(contract, "POST", "/catalogue/bike") == "reserve");
    BOOST_TEST(operationNameFor(contract, "POST", "/deposits") == "none");
    BOOST_TEST(operationNameFor(contract, "get", "/deposits") == "none");
}

BOOST_AUTO_TEST_CASE(firstDifferingSegmentDecidesBetweenPatternsOfOneLength)
{
    Contract contract;
    contract.operations = {operation("late", "GET", "/{a}/b/{c}"),
                           operation("early", "GET", "/a/{b}/{c}")};
    BOOST_TEST(operationNameFor(contract, "GET", "/a/b/c") == "early");
    std::swap(contract.operations[0], contract.operations[1]);
    BOOST_TEST(operationNameFor(contract, "GET", "/a/b/c") == "early");
}
