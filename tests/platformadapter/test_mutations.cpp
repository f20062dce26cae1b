#define BOOST_TEST_MODULE Mutations

#include "platform/base64.h"
#include "platform/configrow.h"
#include "platform/requestfields.h"
#include "platform/serverrow.h"
#include "platform/storeclient.h"
#include "version/crashrowcodec.h"
#include "version/keyassignmentcodec.h"
#include "version/loadsamplecodec.h"
#include "version/renewalcodec.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::platform;

namespace {

/** Number of random mutations for each decoder. */
constexpr int mutationsPerDecoder = 2000;

struct Decoder
{
    std::string name;
    /** A text that it accepts. */
    std::string validText;
    /** Must not throw or trigger a sanitizer. \returns whether the text was accepted. */
    std::function<bool(const std::string &)> decode;
};

std::ostream &operator<<(std::ostream &out, const Decoder &decoder)
{
    return out << decoder.name;
}

bool readFields(const std::string &text)
{
    const std::vector<io::HttpHeader> headers = {{"X-Bulrushswitch-Request-Id", text},
                                                 {"X-Bulrushswitch-Deadline-Ms", text},
                                                 {"X-Bulrushswitch-Shard-Key", text},
                                                 {"X-Bulrushswitch-Server-Load", text},
                                                 {"Server-Limit", text},
                                                 {"Server-Leaving", text},
                                                 {"Retry-After", text},
                                                 {"Connection", text}};
    const RequestMetadata terms = requestMetadata(headers);
    forwardedFields(headers, ServerName{text}, std::chrono::milliseconds{5});
    serverStatement(421, headers, {ServerName{text}, text});
    serverStatement(503, headers, {ServerName{text}, text});
    return !terms.key || *terms.key < keyPositionCount;
}

const std::vector<Decoder> &decoders()
{
    static const KeyAssignment assignment{
        ServiceName{"s"},
        9,
        {{{0, 99}, ServerName{"one"}, 3, "warm", {}, 0},
         {{100, keyPositionCount - 1}, ServerName{"two"}, 9, "", ServerName{"one"}, 9}}};
    static const std::vector<Decoder> all = {
        {"server's record",
         R"({"service":"c","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":3,"state":"ready",)"
         R"("coldRemainingS":0.5,"seq":4,"born":1764720000})",
         [](const std::string &text) {
             return decodeServerRecord("i", text).has_value();
         }},
        {"configuration",
         R"({"version":"0c","services":[{"name":"c","maxConns":110,"sharded":true}],"limits":{"headerBytes":9,)"
         R"("bodyBytes":9,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"host":"h","paths":[{"name":"r",)"
         R"("prefix":"/a/","kind":"safe","timeoutS":2,"targetLatencyS":0.6,"priority":2,"maxAttempts":2,)"
         R"("trafficSplit":[{"service":"c","weight":90}]}]}]})",
         [](const std::string &text) {
             return std::holds_alternative<RoutingConfig>(decodeConfig(text));
         }},
        {"rows",
         R"({"rows":[{"key":"a","value":"bm9kZS0x","rowVersion":4},{"key":"b","rowVersion":5,)"
         R"("tombstone":true}],"truncated":false,"rowVersion":9,"nowS":51.23})",
         [](const std::string &text) {
             return !decodeRowsPage(text, 0).outcome.error;
         }},
        {"base64", "bm9kZS0x",
         [](const std::string &text) {
             return fromBase64(text).has_value();
         }},
        {"fields", "4,0,3", readFields},
        {"assignment", io::encodeAssignment(assignment),
         [](const std::string &text) {
             const auto read = io::decodeAssignment(text);
             // An accepted assignment survives a round trip through the encoder.
             BOOST_TEST((!read || io::decodeAssignment(io::encodeAssignment(*read)) == read));
             return read.has_value();
         }},
        {"planner's row", io::encodePlannerRow({Incarnation{"a/1"}, {"10.0.0.1", 7200}, 12}),
         [](const std::string &text) {
             return io::decodePlannerRow(text).has_value();
         }},
        {"daemon's row",
         io::encodeDaemonRow({Incarnation{"a/1"}, {"10.0.0.1", 7200}, DomainName{"a"}}),
         [](const std::string &text) {
             return io::decodeDaemonRow(text).has_value();
         }},
        {"crash row",
         io::encodeCrashRow({{{{}, ServerName{"one"}, {ServerName{"two"}}}}, {{{}, {}}}}),
         [](const std::string &text) {
             return io::decodeCrashRow(text).has_value();
         }},
        {"question",
         io::encodeRenewalQuery({assignment.service, assignment, {0, 12}, {ServerName{"one"}}}),
         [](const std::string &text) {
             return io::decodeRenewalQuery(text).has_value();
         }},
        {"loads",
         io::encodeLoadSamples(std::vector<LoadSample>{
             {ServiceName{"s"}, {1, 2}, {{ServerName{"one"}, Duration{5}, 3}}, {}}}),
         [](const std::string &text) {
             return io::decodeLoadSamples(text).has_value();
         }},
    };
    return all;
}

std::string mutate(std::string text, std::mt19937_64 &random)
{
    static const std::array<std::string, 14> fragments = {
        "1e300",   "-1",   "null", "true", "\"\"",       "[]",
        "{}",      "\xff", "0",    "[[[[", "4294967296", "18446744073709551616",
        "\\ud800", ","};
    const auto below = [&random](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    };
    for (std::size_t i = 0, count = 1 + below(4); i < count; ++i) {
        const std::size_t position = below(text.size() + 1);
        const std::size_t length = std::min(below(8), text.size() - position);
        switch (below(4)) {
        case 0:
            text.replace(position, length, fragments.at(below(fragments.size())));
            break;
        case 1:
            text.erase(position, length);
            break;
        case 2:
            text.insert(position, text.substr(below(text.size() + 1), below(12)));
            break;
        default:
            text.insert(position, 1, static_cast<char>(below(256)));
        }
    }
    return text;
}

} // namespace

BOOST_DATA_TEST_CASE(decodersAcceptOrRejectMutatedInput, boost::unit_test::data::make(decoders()),
                     decoder)
{
    BOOST_TEST(decoder.decode(decoder.validText));
    std::mt19937_64 random{20'000};
    int refused = 0;
    for (int i = 0; i < mutationsPerDecoder; ++i)
        BOOST_REQUIRE_NO_THROW(refused +=
                               decoder.decode(mutate(decoder.validText, random)) ? 0 : 1);
    BOOST_TEST_MESSAGE(decoder.name << ": " << refused << " refused");
}
