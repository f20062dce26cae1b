#define BOOST_TEST_MODULE RequestFingerprints

#include "request/requestfingerprint.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace bulrush;

namespace {

constexpr RequestIdentity lookup{"GET", "shop.example", "/read/7?page=2", ""};

} // namespace

BOOST_AUTO_TEST_CASE(equalRequestsHaveEqualFingerprints)
{
    const RequestFingerprint first{lookup};
    const RequestFingerprint second{lookup};
    BOOST_TEST((first == second));
}

BOOST_AUTO_TEST_CASE(eachPartChangesFingerprint)
{
    const std::set<RequestFingerprint> fingerprints = {
        RequestFingerprint{lookup},
        RequestFingerprint{{"HEAD", "shop.example", "/read/7?page=2", ""}},
        RequestFingerprint{{"GET", "desk.example", "/read/7?page=2", ""}},
        RequestFingerprint{{"GET", "shop.example", "/read/7?page=3", ""}},
        RequestFingerprint{{"GET", "shop.example", "/read/7?page=2", "x"}},
    };
    BOOST_TEST(fingerprints.size() == 5U);
}

BOOST_AUTO_TEST_CASE(boundariesBetweenPartsChangeFingerprint)
{
    const RequestFingerprint one{{"POST", "shop.example", "/pay/1", "2"}};
    const RequestFingerprint other{{"POST", "shop.example", "/pay/12", ""}};
    BOOST_TEST((one != other));
}

BOOST_AUTO_TEST_CASE(fingerprintIsRestoredFromText)
{
    const RequestFingerprint fingerprint{lookup};
    const auto decoded = RequestFingerprint::fromString(fingerprint.toString());
    BOOST_TEST((decoded == fingerprint));
    for (const std::string text : {"", "12", "zzzzzzzzzzzzzzzz", "0123456789abcdef0"})
        BOOST_TEST(!RequestFingerprint::fromString(text).has_value());
}
