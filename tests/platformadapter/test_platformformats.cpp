#define BOOST_TEST_MODULE PlatformFormats

#include "platform/base64.h"
#include "platform/configrow.h"
#include "platform/keyorders.h"
#include "platform/requestfields.h"
#include "platform/runname.h"
#include "platform/serverrow.h"
#include "platform/storeclient.h"

#include "connection/httpfield.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace bulrush;
using namespace bulrush::platform;
using namespace std::chrono_literals;

namespace {

const std::string configText = R"({"version":"0000000c","novelty":1,
  "services":[{"name":"cat","maxConns":110,"sharded":true,"coldStartS":3.5,"coldPerS":5.9},
              {"name":"pay"},{"name":"steady","coldStartS":3.5,"coldPerS":0}],
  "limits":{"headerBytes":16384,"bodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15.5},
  "hosts":[{"host":"shop.example","paths":[
    {"name":"r1","prefix":"/a/","kind":"safe","timeoutS":2,"targetLatencyS":0.6,"priority":2,
     "trafficSplit":[{"service":"cat","weight":90},{"service":"pay","weight":10}],"maxAttempts":2},
    {"name":"r2","prefix":"/b/","kind":"unsafe","service":"pay"},
    {"name":"r3","prefix":"/c/","kind":"upload","service":"pay"},
    {"name":"r4","prefix":"/d/","kind":"novel","service":"pay"}]}]})";

std::string decodeError(const std::string &text)
{
    const auto decoded = decodeConfig(text);
    const auto *problem = std::get_if<std::string>(&decoded);
    return problem ? *problem : "";
}

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

/** Who answers, by the field Instance-Id of the answer. */
enum class Answerer {
    Unnamed,
    Addressed, ///< the server that the request was addressed to
    Other,
};

/** How an answer names its request. */
enum class IdSign {
    None,
    Right,
    RightInOtherCase, ///< the field's name is in another case
    OtherCase,        ///< the value is in another case
    Prefix,
    Longer,
    Another,
    Empty,
    RightTwice,
    RightThenAnother,
    AnotherThenRight,
};

/** An answer to the request r-1, which was addressed to the server i-1. */
struct StatedAnswer
{
    int status = 0;
    bool isStated = false;
    bool isStatementNameInOtherCase = false;
    IdSign id = IdSign::None;
    Answerer answerer = Answerer::Unnamed;

    std::vector<io::HttpHeader> headers() const
    {
        std::vector<io::HttpHeader> fields = idFields();
        if (answerer != Answerer::Unnamed)
            fields.push_back(
                {"X-Bulrushswitch-Instance-Id", answerer == Answerer::Addressed ? "i-1" : "i-2"});
        if (isStated)
            fields.push_back({isStatementNameInOtherCase ? "x-BULRUSHSWITCH-not-executed"
                                                         : "X-Bulrushswitch-Not-Executed",
                              "1"});
        return fields;
    }

    bool hasRightId() const
    {
        return id == IdSign::Right || id == IdSign::RightInOtherCase || id == IdSign::RightTwice;
    }

    /** \returns whether another server than the one addressed refuses requests for it. */
    bool isReplaced() const
    {
        return status == 421 && answerer == Answerer::Other;
    }

    /** \returns whether the server states, about this request, that it did not run it. */
    bool isNotRun() const
    {
        const bool isRefusal = status == 400 || status == 421 || status == 429 || status == 503;
        return hasRightId() && isRefusal && (isStated || isReplaced());
    }

private:
    std::vector<io::HttpHeader> idFields() const
    {
        const std::string name{requestIdField};
        switch (id) {
        case IdSign::None:
            return {};
        case IdSign::Right:
            return {{name, "r-1"}};
        case IdSign::RightInOtherCase:
            return {{"x-bulrushswitch-REQUEST-id", "r-1"}};
        case IdSign::OtherCase:
            return {{name, "R-1"}};
        case IdSign::Prefix:
            return {{name, "r-"}};
        case IdSign::Longer:
            return {{name, "r-11"}};
        case IdSign::Another:
            return {{name, "s-1"}};
        case IdSign::Empty:
            return {{name, ""}};
        case IdSign::RightTwice:
            return {{name, "r-1"}, {name, "r-1"}};
        case IdSign::RightThenAnother:
            return {{name, "r-1"}, {name, "s-1"}};
        case IdSign::AnotherThenRight:
            return {{name, "s-1"}, {name, "r-1"}};
        }
        return {};
    }
};

/** \returns all answers with one of \a ids. */
std::vector<StatedAnswer> statedAnswers(const std::vector<IdSign> &ids)
{
    std::vector<StatedAnswer> answers;
    for (const int status :
         {200, 202, 204, 302, 400, 404, 408, 409, 421, 429, 500, 501, 502, 503, 504}) {
        for (const IdSign id : ids) {
            for (const Answerer answerer :
                 {Answerer::Unnamed, Answerer::Addressed, Answerer::Other}) {
                answers.push_back({status, false, false, id, answerer});
                answers.push_back({status, true, false, id, answerer});
                answers.push_back({status, true, true, id, answerer});
            }
        }
    }
    return answers;
}

/** Checks what \a answer states against the rule. */
void checkVerdict(const StatedAnswer &answer)
{
    const ServerStatement statement =
        serverStatement(answer.status, answer.headers(), {ServerName{"i-1"}, "r-1"});
    BOOST_TEST(statement.isNotRun == answer.isNotRun(),
               "status " << answer.status << ", stated " << answer.isStated << ", id "
                         << static_cast<int>(answer.id) << ", answerer "
                         << static_cast<int>(answer.answerer));
    BOOST_TEST((!statement.isReplaced || answer.isReplaced()));
}

} // namespace

BOOST_AUTO_TEST_CASE(base64RoundTrip)
{
    for (std::size_t length = 0; length < 20; ++length) {
        std::string bytes;
        for (std::size_t i = 0; i < length; ++i)
            bytes += static_cast<char>(i * 37 + length);
        BOOST_TEST(fromBase64(toBase64(bytes)).value() == bytes);
    }
    BOOST_TEST(toBase64("node-1") == "bm9kZS0x");
    BOOST_TEST(!fromBase64("a*b").has_value());
}

BOOST_AUTO_TEST_CASE(decodesCompleteConfiguration)
{
    const auto decoded = decodeConfig(configText);
    BOOST_REQUIRE(std::holds_alternative<RoutingConfig>(decoded));
    const auto &config = std::get<RoutingConfig>(decoded);
    BOOST_TEST(config.version == 12U);
    BOOST_TEST(config.services[0].isDividedByKey);
    BOOST_TEST(!config.services[1].isDividedByKey);
    BOOST_TEST((config.services[0].coldStart == ColdStart{3500ms, 5.9}));
    BOOST_TEST(!config.services[1].coldStart.has_value());
    BOOST_TEST(!config.services[2].coldStart.has_value());
    BOOST_TEST((config.limits.idleTime == 15500ms));
    const auto &routes = config.hosts[0].routes;
    BOOST_TEST((routes[0].kind == RequestKind::Idempotent));
    BOOST_TEST((routes[0].timeout == 2s));
    BOOST_TEST(routes[0].split.size() == 2U);
    BOOST_TEST(routes[0].maxAttempts == 2U);
    BOOST_TEST((routes[1].kind == RequestKind::RunOnce));
    BOOST_TEST(!routes[1].timeout.has_value());
    BOOST_TEST((routes[2].kind == RequestKind::Upload));
    // An unknown kind is not assumed to be repeatable.
    BOOST_TEST((routes[3].kind == RequestKind::RunOnce));
}

BOOST_AUTO_TEST_CASE(reportsInvalidConfigurationField)
{
    BOOST_TEST(decodeError("[]") == "the value is not a JSON object");
    BOOST_TEST(decodeError(replaceFirst(configText, "0000000c", "xyz"))
               == "version: must be hexadecimal digits");
    BOOST_TEST(decodeError(replaceFirst(configText, "\"timeoutS\":2", "\"timeoutS\":-1"))
               == "timeoutS: must be seconds above 0 and at most a day");
    BOOST_TEST(decodeError(replaceFirst(configText, "\"weight\":90", "\"weight\":\"much\""))
               == "weight: must be a number");
    for (const std::string wrong : {"-1", "\"many\"", "null", "1e300"})
        BOOST_TEST(
            decodeError(replaceFirst(configText, "\"coldPerS\":5.9", "\"coldPerS\":" + wrong))
            == "coldPerS: must be a number of requests per second");
    BOOST_TEST(decodeError(replaceFirst(configText, "\"coldStartS\":3.5", "\"coldStartS\":-1"))
               == "coldStartS: must be seconds above 0 and at most a day");
    BOOST_TEST(decodeError(replaceFirst(configText, "\"hosts\":[", "\"hosts\":5,\"x\":["))
               == "hosts: must be a list");
}

BOOST_AUTO_TEST_CASE(decodesServerRecord)
{
    const auto record = decodeServerRecord(
        "i-1", R"({"service":"cat","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":3,
                   "state":"draining","coldRemainingS":1.5,"seq":4})");
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->id.value() == "i-1");
    BOOST_TEST(record->address.port == 8080);
    BOOST_TEST(record->isDraining);
    BOOST_TEST((record->coldRemaining == 1500ms));
    BOOST_TEST(
        !decodeServerRecord("i-1", R"({"service":"cat","zone":"a","state":"ready"})").has_value());
    BOOST_TEST(!decodeServerRecord("i-1", "").has_value());
}

BOOST_AUTO_TEST_CASE(distinguishesRunsByStartTime)
{
    const std::string text = R"({"service":"cat","address":"10.0.0.9:8080","zone":"a",
        "version":"v1","slots":3,"state":"ready","coldRemainingS":0,"seq":4,"born":1764720000123})";
    const auto record = decodeServerRecord("i-1", text);
    BOOST_REQUIRE(record.has_value());
    const auto later = decodeServerRecord("i-1", replaceFirst(text, "0123}", "0124}"));
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST((record->id != later->id));
    BOOST_TEST(later->isOtherRunOf(*record));
    BOOST_TEST(!later->isOtherRunOf(*later));
    BOOST_TEST(wireName(record->id) == "i-1");
    const io::ServerCall releaseOfRun = releaseCall({"10.0.0.9", 80}, record->id, {1, 2}, 13);
    BOOST_TEST(io::findField(releaseOfRun.headers, targetServerField)->value == "i-1");
    BOOST_TEST(releaseOfRun.run == record->id.value());
    const std::vector<io::HttpHeader> answer = {{"X-Bulrushswitch-Instance-Id", "i-1"}};
    BOOST_TEST(!serverStatement(421, answer, {record->id, "r"}).isReplaced);
    // Names that contain the separator are not mistaken for runs of another server.
    for (const std::string name : {"i-1@5", "i-1@", "@", "i@1@2"}) {
        BOOST_TEST(wireName(runName(name, std::nullopt)) == name);
        BOOST_TEST(wireName(runName(name, 7)) == name);
    }
}

BOOST_AUTO_TEST_CASE(rejectsInvalidServerRecords)
{
    const std::string validRecord = R"({"service":"cat","address":"10.0.0.9:8080","zone":"a",
        "version":"v1","slots":3,"state":"ready","coldRemainingS":0.5,"seq":4,"born":1764720000})";
    BOOST_REQUIRE(decodeServerRecord("i-1", validRecord).has_value());
    const std::vector<std::pair<std::string, std::string>> invalidReplacements = {
        {R"("service":"cat",)", ""},
        {R"("cat")", "7"},
        {R"("cat")", R"("")"},
        {R"("address":"10.0.0.9:8080",)", ""},
        {":8080", ":0"},
        {":8080", ":70000"},
        {":8080", ""},
        {R"("zone":"a")", R"("zone":["a"])"},
        {R"("version":"v1",)", ""},
        {R"("slots":3)", R"("slots":0)"},
        {R"("slots":3)", R"("slots":-3)"},
        {R"("slots":3)", R"("slots":4000000000)"},
        {R"("slots":3)", R"("slots":"3")"},
        {R"("slots":3)", R"("slots":2.5)"},
        {R"("slots":3,)", ""},
        {"ready", "resting"},
        {R"("ready")", "true"},
        {"0.5", "1e300"},
        {"0.5", "-1"},
        {"0.5", R"("0.5")"},
        {"0.5", "null"},
        {R"("seq":4)", R"("seq":"x")"},
        {"1764720000", "1764720000.5"},
        {"1764720000", "-5"},
        {"1764720000", R"("1764720000")"},
        {"1764720000", "null"},
        {"cat", "c\xff\xfe"},
        {"cat", "c\xc0\xaf"},
        {"cat", "\xed\xa0\x80"},
        {"}", ""},
        {"{", "["},
    };
    for (const auto &[from, to] : invalidReplacements)
        BOOST_TEST(!decodeServerRecord("i-1", replaceFirst(validRecord, from, to)).has_value(),
                   from << " -> " << to);
    // Unknown fields are ignored.
    BOOST_TEST(
        decodeServerRecord("i-1", replaceFirst(validRecord, R"("seq":4)", R"("seq":4,"new":{})"))
            .has_value());
}

BOOST_AUTO_TEST_CASE(unreadableRowDoesNotAffectOthers)
{
    const RowsPage page = decodeRowsPage(
        R"({"rows":[{"key":"a","value":"bm9kZS0x","rowVersion":4},{"key":"b","value":"*","rowVersion":5},
            {"key":"c","rowVersion":6},{"value":"bm9kZS0x","rowVersion":7},{"key":"d","rowVersion":"x"},
            3,{"key":"e","rowVersion":8,"tombstone":"yes","value":"bm9kZS0x"},
            {"key":"f","rowVersion":9,"tombstone":true}],"rowVersion":9,"nowS":1e300})",
        2);
    BOOST_TEST(!page.outcome.error);
    BOOST_REQUIRE(page.outcome.rows.size() == 5U);
    BOOST_TEST(page.outcome.rows[0].value == "node-1");
    BOOST_TEST(page.outcome.rows[1].value == "");
    BOOST_TEST(page.outcome.rows[2].value == "");
    BOOST_TEST(!page.outcome.rows[3].isRemoved);
    BOOST_TEST(page.outcome.rows[4].isRemoved);
    BOOST_TEST(page.outcome.skipped == 3U);
    BOOST_TEST(!page.outcome.storeTime.has_value());
    BOOST_TEST(decodeRowsPage("[]", 2).outcome.error == StoreError::BadAnswer);
}

BOOST_AUTO_TEST_CASE(keyCallsNameServerAndLastKey)
{
    const OwnedRange owned{{4096, 8191}, ServerName{"i-1"}, 12, "warm", {}, 0};
    const io::ServerCall grant = grantCall({"10.0.0.9", 80}, owned, 4s);
    BOOST_TEST(grant.target == "/api/grant");
    BOOST_TEST(*grant.body
               == R"({"fence":12,"from":4096,"handover":"warm","holdS":4.0,"target":8191})");
    BOOST_TEST(io::findField(grant.headers, targetServerField)->value == "i-1");
    const io::ServerCall release = releaseCall({"10.0.0.9", 80}, ServerName{"i-0"}, {1, 2}, 13);
    BOOST_TEST(*release.body == R"({"fence":13,"from":1,"target":2})");
    BOOST_TEST(io::findField(release.headers, targetServerField)->value == "i-0");
}

BOOST_AUTO_TEST_CASE(decodesGrantAndReleaseAnswers)
{
    const auto answered = [](int status) {
        return io::HttpResult{{}, io::TransferStage::Answered, {status, {}, {}}};
    };
    BOOST_TEST((decodeGrantAnswer(answered(200)) == GrantAnswer::Granted));
    BOOST_TEST((decodeGrantAnswer(answered(409)) == GrantAnswer::Outdated));
    BOOST_TEST((decodeGrantAnswer(answered(400)) == GrantAnswer::Refused));
    BOOST_TEST((decodeGrantAnswer(answered(421)) == GrantAnswer::Replaced));
    const io::HttpResult lost{
        std::make_error_code(std::errc::timed_out), io::TransferStage::Sent, {}};
    BOOST_TEST((decodeGrantAnswer(lost) == GrantAnswer::NoAnswer));
    BOOST_TEST(!decodeReleaseAnswer(lost).isReleased);
    BOOST_TEST(!decodeReleaseAnswer(answered(400)).isReleased);
    // Another server has the address, so the intended server has stopped and holds no keys.
    BOOST_TEST(decodeReleaseAnswer(answered(421)).isReleased);
    BOOST_TEST(decodeReleaseAnswer(answered(421)).handover == "");
    BOOST_TEST(decodeReleaseAnswer(answered(200)).isReleased);
}

BOOST_AUTO_TEST_CASE(dropsHopByHopFields)
{
    const std::vector<io::HttpHeader> headers = {
        {"Host", "shop.example"},
        {"Connection", "keep-alive, X-Hop"},
        {"X-Hop", "1"},
        {"Content-Length", "4"},
        {"Transfer-Encoding", "chunked"},
        {"X-Other", "2"},
        {"X-Bulrushswitch-Request-Id", "r1"},
        {"x-bulrushswitch-deadline-ms", "4000"},
        {"X-Bulrushswitch-Target-Instance", "forged"},
        {"X-Bulrushswitch-Shard-Key", "65535"},
    };
    const RequestMetadata terms = requestMetadata(headers);
    BOOST_TEST(terms.id == "r1");
    BOOST_TEST((terms.deadline == 4s));
    BOOST_TEST(terms.key.value() == 65'535U);
    const auto forwarded = forwardedFields(headers, ServerName{"i-1"}, 1200ms);
    BOOST_TEST(io::findField(forwarded, "X-Hop") == nullptr);
    BOOST_TEST(io::findField(forwarded, "Content-Length") == nullptr);
    BOOST_TEST(io::findField(forwarded, "X-Other")->value == "2");
    BOOST_TEST(io::fieldValues(forwarded, "X-Bulrushswitch-Deadline-Ms").size() == 1U);
    BOOST_TEST(io::findField(forwarded, "X-Bulrushswitch-Deadline-Ms")->value == "1200");
    BOOST_TEST(io::fieldValues(forwarded, targetServerField).size() == 1U);
    BOOST_TEST(io::findField(forwarded, targetServerField)->value == "i-1");
}

BOOST_AUTO_TEST_CASE(ignoresInvalidKeysAndDeadlines)
{
    for (const std::string key : {"65536", "-1", "1x", ""}) {
        const std::vector<io::HttpHeader> headers = {{"X-Bulrushswitch-Shard-Key", key},
                                                     {"X-Bulrushswitch-Deadline-Ms", key}};
        BOOST_TEST(!requestMetadata(headers).key.has_value());
    }
}

BOOST_AUTO_TEST_CASE(detectsAnswersToRequestsThatDidNotRun)
{
    const AnsweredAttempt target{ServerName{"i-1"}, "r"};
    const io::HttpHeader id{"X-Bulrushswitch-Request-Id", "r"};
    const std::vector<io::HttpHeader> nothingStated = {id};
    BOOST_TEST(!serverStatement(421, nothingStated, target).isNotRun);
    BOOST_TEST(!serverStatement(421, nothingStated, target).isReplaced);
    BOOST_TEST(!serverStatement(503, nothingStated, target).isNotRun);
    const std::vector<io::HttpHeader> other = {id, {"X-Bulrushswitch-Instance-Id", "i-2"}};
    BOOST_TEST(serverStatement(421, other, target).isReplaced);
    BOOST_TEST(serverStatement(421, other, target).isNotRun);
    BOOST_TEST(!serverStatement(503, other, target).isNotRun);
    const std::vector<io::HttpHeader> same = {id, {"X-Bulrushswitch-Instance-Id", "i-1"}};
    BOOST_TEST(!serverStatement(421, same, target).isReplaced);
    BOOST_TEST(!serverStatement(421, same, target).isNotRun);
    const std::vector<io::HttpHeader> headers = {
        id, {"X-Bulrushswitch-Not-Executed", "1"}, {"X-Bulrushswitch-Server-Load", "3, 5,3"}};
    for (const int status : {400, 421, 429, 503})
        BOOST_TEST(serverStatement(status, headers, target).isNotRun);
    for (const int status : {200, 204, 302, 404, 408, 500, 502, 504})
        BOOST_TEST(!serverStatement(status, headers, target).isNotRun);
    BOOST_TEST(!serverStatement(503, headers, {ServerName{"i-1"}, "other"}).isNotRun);
    BOOST_TEST(!serverStatement(503, std::span{headers}.subspan(1), target).isNotRun);
    BOOST_TEST((serverStatement(503, headers, target).load == ServerLoad{3, 5, 3}));
    const std::vector<io::HttpHeader> wrong = {{"X-Bulrushswitch-Server-Load", "3,x,3"}};
    BOOST_TEST(!serverStatement(503, wrong, target).load.has_value());
}

BOOST_AUTO_TEST_CASE(answerStatesThatItsRequestDidNotRunOnlyWithARefusingStatusAndTheRequestsId)
{
    for (const StatedAnswer &answer : statedAnswers(
             {IdSign::None, IdSign::Right, IdSign::RightInOtherCase, IdSign::OtherCase,
              IdSign::Prefix, IdSign::Longer, IdSign::Another, IdSign::Empty, IdSign::RightTwice}))
        checkVerdict(answer);
}

BOOST_AUTO_TEST_CASE(answerThatNamesTwoRequestsStatesNothingAboutEither)
{
    for (const StatedAnswer &answer :
         statedAnswers({IdSign::RightThenAnother, IdSign::AnotherThenRight}))
        checkVerdict(answer);
}

BOOST_AUTO_TEST_CASE(twoServersInOneAnswerDoNotMakeItThatOfAnother)
{
    const std::vector<io::HttpHeader> headers = {{"X-Bulrushswitch-Request-Id", "r-1"},
                                                 {"X-Bulrushswitch-Instance-Id", "i-2"},
                                                 {"x-bulrushswitch-instance-id", "i-1"}};
    BOOST_TEST(!serverStatement(421, headers, {ServerName{"i-1"}, "r-1"}).isNotRun);
}

BOOST_AUTO_TEST_CASE(emptyOrPaddedNameOfTheAnsweringServerIsNotThatOfAnotherServer)
{
    for (const std::string name : {"", " ", "i-1 ", " i-1", "i-1\t"}) {
        const std::vector<io::HttpHeader> headers = {{"X-Bulrushswitch-Request-Id", "r-1"},
                                                     {"X-Bulrushswitch-Instance-Id", name}};
        const ServerStatement statement = serverStatement(421, headers, {ServerName{"i-1"}, "r-1"});
        BOOST_TEST(!statement.isNotRun, '"' << name << '"');
        BOOST_TEST(!statement.isReplaced, '"' << name << '"');
    }
}

BOOST_AUTO_TEST_CASE(otherRunOfTheAddressedServerIsTheSameServer)
{
    const std::vector<io::HttpHeader> headers = {{"X-Bulrushswitch-Request-Id", "r-1"},
                                                 {"X-Bulrushswitch-Instance-Id", "i-1"}};
    const ServerName run{runName("i-1", 100)};
    BOOST_REQUIRE(run.value() != "i-1");
    BOOST_TEST(!serverStatement(421, headers, {run, "r-1"}).isNotRun);
}

BOOST_AUTO_TEST_CASE(limitIsANumberFromZeroThatOccursOnce)
{
    const auto limitOf = [](const std::vector<io::HttpHeader> &headers) {
        return serverStatement(200, headers, {ServerName{"i-1"}, "r"}).limit;
    };
    const auto statement = [&](const std::string &value) {
        return limitOf({{"Server-Limit", value}});
    };
    BOOST_TEST((limitOf({}) == LimitStatement{NoLimit{}}));
    BOOST_TEST((statement("5.3") == LimitStatement{RateLimit{5.3}}));
    BOOST_TEST((statement(" 0 ") == LimitStatement{RateLimit{0.0}}));
    BOOST_TEST((statement("5e2") == LimitStatement{RateLimit{500.0}}));
    for (const std::string wrong : {"", "-1", "nan", "inf", "5,3", "5 a second", "1e999"})
        BOOST_TEST((statement(wrong) == LimitStatement{UnreadableLimit{wrong}}), wrong);
    const std::vector<io::HttpHeader> twice{{"Server-Limit", "5"}, {"server-limit", "6"}};
    BOOST_TEST((limitOf(twice) == LimitStatement{UnreadableLimit{"6"}}));
    const std::vector<io::HttpHeader> prefixed{{"X-Bulrushswitch-Server-Limit", "7"}};
    BOOST_TEST((limitOf(prefixed) == LimitStatement{RateLimit{7.0}}));
}

BOOST_AUTO_TEST_CASE(refusalAsksForAPauseInSecondsWithFractions)
{
    const auto backoffOf = [](int status, const std::vector<io::HttpHeader> &headers) {
        return serverStatement(status, headers, {ServerName{"i-1"}, "r"}).backoff;
    };
    const auto statement = [&](const std::string &value) {
        return backoffOf(503, {{"Retry-After", value}});
    };
    BOOST_TEST((backoffOf(503, {}) == BackoffStatement{NoBackoff{}}));
    BOOST_TEST((statement("3") == BackoffStatement{Backoff{3s}}));
    BOOST_TEST((statement(" 0.25 ") == BackoffStatement{Backoff{250ms}}));
    BOOST_TEST((statement("0") == BackoffStatement{Backoff{0s}}));
    BOOST_TEST((statement("1e300") == BackoffStatement{Backoff{std::chrono::hours{365 * 24}}}));
    const std::string date = "Fri, 31 Dec 1999 23:59:59 GMT";
    for (const std::string &wrong : {std::string{}, std::string{"-1"}, std::string{"nan"},
                                     std::string{"3 s"}, std::string{"1e999"}, date})
        BOOST_TEST((statement(wrong) == BackoffStatement{UnreadableBackoff{wrong}}), wrong);
    const std::vector<io::HttpHeader> several{
        {"Retry-After", "2"}, {"retry-after", "4"}, {"Retry-After", "x"}, {"Retry-After", "1"}};
    BOOST_TEST((backoffOf(503, several) == BackoffStatement{Backoff{4s}}));
    BOOST_TEST((backoffOf(429, several) == BackoffStatement{Backoff{4s}}));
    BOOST_TEST((backoffOf(200, several) == BackoffStatement{NoBackoff{}}));
}

BOOST_AUTO_TEST_CASE(serverAnnouncesInAnyAnswerThatItLeaves)
{
    const auto isLeaving = [](const std::vector<io::HttpHeader> &headers) {
        return serverStatement(200, headers, {ServerName{"i-1"}, "r"}).isLeaving;
    };
    BOOST_TEST(isLeaving({{"server-leaving", " 1 "}}));
    BOOST_TEST(isLeaving({{"X-Bulrushswitch-Server-Leaving", "1"}}));
    BOOST_TEST(!isLeaving({{"Server-Leaving", "0"}}));
    BOOST_TEST(!isLeaving({{"Connection", "close"}}));
}

BOOST_AUTO_TEST_CASE(fieldsThatAreNotKnownAreFound)
{
    const std::vector<io::HttpHeader> headers{{"Content-Length", "3"},
                                              {"X-Bulrushswitch-Server-Load", "1,0,2"},
                                              {"X-Bulrushswitch-Mood", "low"},
                                              {"server-limit", "5"}};
    const std::vector<std::string_view> names = unknownFields(headers);
    BOOST_REQUIRE(names.size() == 1U);
    BOOST_TEST(names.front() == "X-Bulrushswitch-Mood");
}
