#define BOOST_TEST_MODULE AssignmentCodec

#include "version/assignmentcodec.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace bulrush::io;

namespace {

Assignment sample()
{
    const ServiceName catalogue{"catalogue"};
    return {DomainName{"antwerp"},
            Fence{3, 9},
            {{catalogue, {0, 99}, ServerName{"a1"}, Fence{3, 1}},
             {catalogue, {100, ~KeyHash{0}}, ServerName{"a2"}, Fence{2, 7}}},
            {{ServerName{"a1"}, Incarnation{"host1#5"}}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(assignmentComesBackUnchanged)
{
    const auto decoded = decodeAssignment(encodeAssignment(sample()));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == sample()));
}

BOOST_AUTO_TEST_CASE(overlapsAndMissingFieldsAreRefused)
{
    Json::Value overlapping = encodeAssignment(sample());
    overlapping["slices"][0]["end"] = hashToHex(100);
    BOOST_TEST(!decodeAssignment(overlapping).has_value());

    Json::Value unfenced = encodeAssignment(sample());
    unfenced["slices"][1].removeMember("fence");
    BOOST_TEST(!decodeAssignment(unfenced).has_value());
    BOOST_TEST(!decodeAssignment(Json::Value{7}).has_value());
}

BOOST_AUTO_TEST_CASE(hashesAreSixteenHexDigits)
{
    BOOST_TEST(hashToHex(255) == "00000000000000ff");
    BOOST_TEST(hashFromHex("00000000000000ff").value() == 255U);
    BOOST_TEST(!hashFromHex("ff").has_value());
    BOOST_TEST(!hashFromHex("00000000000000fg").has_value());
}
