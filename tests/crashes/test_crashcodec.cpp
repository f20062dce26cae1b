#define BOOST_TEST_MODULE CrashCodecs

#include "version/crashrowcodec.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;

namespace {

CrashRow row()
{
    const RequestFingerprint one{{"GET", "shop.example", "/1", ""}};
    const RequestFingerprint two{{"POST", "shop.example", "/2", "body"}};
    return {{{one, ServerName{"i-1"}, {}},
             {two, ServerName{"i-2/1764720000000"}, {ServerName{"i-3"}, ServerName{"i-4"}}}},
            {{one, {ServerName{"i-5"}}}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(decodedRowsEqualEncodedRows)
{
    BOOST_TEST((io::decodeCrashRow(io::encodeCrashRow(row())) == row()));
    BOOST_TEST((io::decodeCrashRow(io::encodeCrashRow({})) == CrashRow{}));
}

BOOST_AUTO_TEST_CASE(truncatedOrInvalidTextIsRejected)
{
    const std::string text = io::encodeCrashRow(row());
    for (std::size_t length = 0; length + 1 < text.size(); ++length)
        BOOST_TEST(!io::decodeCrashRow(text.substr(0, length)).has_value());
    for (const std::string other :
         {"[]", "{}", R"({"reports":[7],"retractions":[]})",
          R"({"reports":[{"request":"7","server":"s","after":[]}],"retractions":[]})",
          R"({"reports":[],"retractions":[{"request":"0123456789abcdef","servers":[7]}]})"})
        BOOST_TEST(!io::decodeCrashRow(other).has_value());
}
