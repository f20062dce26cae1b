#define BOOST_TEST_MODULE platformoutcome

#include "connection/transporterror.h"
#include "process/platformerror.h"
#include "process/platformtablecodec.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace bulrush::io;

namespace {

const RowId place{"t", "k"};

Transaction transaction(std::uint64_t version, Json::Value value = Json::objectValue)
{
    return {TransactionId{"r1"}, Incarnation{"me"}, {{place, version}}, {{place, value}}};
}

HttpResult answer(int status, const std::string &body)
{
    return {{}, TransferStage::Answered, {status, {}, body}};
}

HttpResult failure(TransportError error, TransferStage stage)
{
    return {error, stage, {}};
}

/** \returns the outcome in a word, with its error. */
std::string wordOf(const TransactOutcome &outcome)
{
    if (std::holds_alternative<Committed>(outcome))
        return "committed";
    if (std::holds_alternative<Conflict>(outcome))
        return "conflict";
    if (const auto *refused = std::get_if<Refused>(&outcome))
        return "refused: " + refused->error.message();
    return "unknown: " + std::get<Unknown>(outcome).error.message();
}

std::string outcomeOf(const HttpResult &result)
{
    return wordOf(decodeTransactOutcome(transaction(0), result));
}

std::string word(const std::string &kind, PlatformError error)
{
    return kind + ": " + make_error_code(error).message();
}

TableRow row(std::uint64_t version, const std::string &writer, const std::string &request)
{
    Transaction other;
    other.id = TransactionId{request};
    other.writer = Incarnation{writer};
    return {place, version, withTransactionMark(Json::objectValue, other)};
}

std::string settled(const Transaction &sent, const TableRow &seen)
{
    const Settlement settlement = settlementFrom(sent, {seen});
    constexpr const char *names[] = {"mine", "other", "overwritten", "unknown"};
    return names[settlement.index()];
}

} // namespace

BOOST_AUTO_TEST_CASE(whole_answers_are_taken_at_their_word)
{
    BOOST_TEST(outcomeOf(answer(200, R"({"committed":true,"versions":[8]})")) == "committed");
    const std::string conflict =
        R"({"committed":false,"conflicts":[{"table":"t","key":"k","version":8,"value":{}}]})";
    BOOST_TEST(outcomeOf(answer(409, conflict)) == "conflict");
    BOOST_TEST(outcomeOf(answer(400, "{}")) == word("refused", PlatformError::Rejected));
}

BOOST_AUTO_TEST_CASE(only_what_never_left_is_refused)
{
    for (const auto error : {TransportError::ConnectionFailed, TransportError::TimedOut}) {
        BOOST_TEST(outcomeOf(failure(error, TransferStage::NotConnected))
                   == word("refused", PlatformError::NotReached));
    }
    for (const auto stage : {TransferStage::Sending, TransferStage::Sent}) {
        BOOST_TEST(outcomeOf(failure(TransportError::ConnectionLost, stage))
                   == word("unknown", PlatformError::ConnectionLost));
        BOOST_TEST(outcomeOf(failure(TransportError::TimedOut, stage))
                   == word("unknown", PlatformError::TimedOut));
    }
}

BOOST_AUTO_TEST_CASE(answers_that_say_nothing_leave_it_unknown)
{
    BOOST_TEST(outcomeOf(answer(503, "")) == word("unknown", PlatformError::Unavailable));
    BOOST_TEST(outcomeOf(answer(404, "")) == word("unknown", PlatformError::NotFound));
    const std::string bad = word("unknown", PlatformError::BadAnswer);
    for (const char *body :
         {"", "[]", "{}", R"({"committed":true})", R"({"committed":false,"versions":[8]})",
          R"({"committed":true,"versions":[]})", R"({"committed":true,"versions":["8"]})"})
        BOOST_TEST(outcomeOf(answer(200, body)) == bad);
    for (const char *body :
         {"", "{}", R"({"committed":false,"conflicts":[]})",
          R"({"committed":true,"conflicts":[{"table":"t","key":"k","version":8,"value":{}}]})",
          R"({"committed":false,"conflicts":[{"table":"t","key":"k","value":{}}]})"})
        BOOST_TEST(outcomeOf(answer(409, body)) == bad);
}

BOOST_AUTO_TEST_CASE(a_conflict_with_the_own_earlier_write_is_no_failure)
{
    const std::string body = R"({"committed":false,"conflicts":[{"table":"t","key":"k","version":1,
              "value":{"lastWrite":{"writer":"me","requestId":"r1"}}}]})";
    BOOST_TEST(outcomeOf(answer(409, body)) == word("unknown", PlatformError::AlreadyApplied));
}

BOOST_AUTO_TEST_CASE(settles_by_writer_request_and_version)
{
    BOOST_TEST(settled(transaction(4), row(5, "me", "r1")) == "mine");
    BOOST_TEST(settled(transaction(4), row(4, "me", "r0")) == "unknown");
    BOOST_TEST(settled(transaction(4), row(5, "me", "r0")) == "other");
    BOOST_TEST(settled(transaction(4), row(5, "you", "r1")) == "other");
    BOOST_TEST(settled(transaction(4), row(6, "you", "r1")) == "overwritten");
    BOOST_TEST(settled(transaction(4), TableRow{place, 0, {}}) == "overwritten");
}

BOOST_AUTO_TEST_CASE(settles_creations_and_deletions)
{
    BOOST_TEST(settled(transaction(0), TableRow{place, 0, {}}) == "unknown");
    BOOST_TEST(settled(transaction(0), row(1, "you", "r1")) == "other");
    // This write may have created the row, which was then deleted and created again.
    BOOST_TEST(settled(transaction(0), row(3, "you", "r1")) == "overwritten");

    const Transaction deletion = transaction(4, Json::nullValue);
    BOOST_TEST(settled(deletion, row(4, "you", "r1")) == "unknown");
    BOOST_TEST(settled(deletion, row(5, "you", "r1")) == "other");
    BOOST_TEST(settled(deletion, TableRow{place, 0, {}}) == "overwritten");
}

BOOST_AUTO_TEST_CASE(an_unmarked_or_unconditioned_write_is_never_decided)
{
    BOOST_TEST(settled(transaction(4, "text"), TableRow{place, 5, "text"}) == "unknown");
    Transaction free = transaction(4);
    free.conditions.clear();
    BOOST_TEST(settled(free, row(5, "you", "r1")) == "unknown");
}

BOOST_AUTO_TEST_CASE(reads_must_answer_what_was_asked)
{
    const std::vector<RowId> ids{place};
    const std::string body = R"({"rows":[{"table":"t","key":"k","version":0,"value":null}]})";
    BOOST_TEST(!decodeReadResult(ids, answer(200, body)).error);
    BOOST_TEST(decodeReadResult(ids, answer(200, R"({"rows":[]})")).error
               == make_error_code(PlatformError::BadAnswer));
    BOOST_TEST(decodeReadResult(ids, answer(503, body)).error
               == make_error_code(PlatformError::Unavailable));
}
