#define BOOST_TEST_MODULE RequestFingerprints

#include "request/requestfingerprint.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace bulrush;

namespace {

constexpr RequestIdentity read{"GET", "shop.example", "/read/7?page=2", ""};

} // namespace

BOOST_AUTO_TEST_CASE(theSameRequestHasTheSameFingerprint)
{
    BOOST_TEST((RequestFingerprint{read} == RequestFingerprint{read}));
}

BOOST_AUTO_TEST_CASE(eachPartTellsRequestsApart)
{
    const std::set<RequestFingerprint> fingerprints = {
        RequestFingerprint{read},
        RequestFingerprint{{"HEAD", "shop.example", "/read/7?page=2", ""}},
        RequestFingerprint{{"GET", "desk.example", "/read/7?page=2", ""}},
        RequestFingerprint{{"GET", "shop.example", "/read/7?page=3", ""}},
        RequestFingerprint{{"GET", "shop.example", "/read/7?page=2", "x"}},
    };
    BOOST_TEST(fingerprints.size() == 5U);
}

BOOST_AUTO_TEST_CASE(whereOnePartEndsAndTheNextBeginsCounts)
{
    const RequestFingerprint one{{"POST", "shop.example", "/pay/1", "2"}};
    const RequestFingerprint other{{"POST", "shop.example", "/pay/12", ""}};
    BOOST_TEST((one != other));
}

BOOST_AUTO_TEST_CASE(itIsReadBackFromItsText)
{
    const RequestFingerprint fingerprint{read};
    BOOST_TEST((RequestFingerprint::fromString(fingerprint.toString()) == fingerprint));
    for (const std::string text : {"", "12", "zzzzzzzzzzzzzzzz", "0123456789abcdef0"})
        BOOST_TEST(!RequestFingerprint::fromString(text).has_value());
}
