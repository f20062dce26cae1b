#include "rowsrelay.h"

#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <utility>

namespace bulrush {

namespace {

constexpr int ok = 200;

/** Answers as long as this get a log line, as they take time on a narrow link. */
constexpr std::size_t loggedBytes = 32'000;

/** Tells of an answer that took long or did not come, so that a reader's time can be told. */
void logAnswer(const FollowQuestion &question, const Endpoint &daemon, const io::HttpResult &result,
               Instant sentAt)
{
    const std::size_t bytes = result.response.body.size();
    if (!result.error && bytes < loggedBytes)
        return;
    io::logEvent(LogLevel::Info, "rows-told",
                 {{"table", question.table},
                  {"by", toString(daemon)},
                  {"version", std::to_string(question.version)},
                  {"outcome", result.error ? result.error.message() : "answered"},
                  {"bytes", std::to_string(bytes)},
                  {"ms", io::millisecondsText(io::hostNow() - sentAt)}});
}

/** \returns why an answer has no rows, if it has none. */
ReaderFailure failureOf(const io::HttpResult &result)
{
    if (result.error)
        return ReaderFailure::Silent;
    return result.response.status == busyStatus ? ReaderFailure::Busy : ReaderFailure::Refused;
}

std::string feedTarget(const FollowQuestion &question, Duration wait)
{
    std::string target{feedPath};
    target +=
        question.table + '/' + std::to_string(question.version) + '/' + io::millisecondsText(wait);
    if (question.age)
        target += '/' + io::millisecondsText(*question.age);
    return target;
}

} // namespace

RowsRelay::RowsRelay(io::ServerClient &client, PeersSource peers)
    : m_client(client)
    , m_peers(std::move(peers))
{ }

void RowsRelay::send(const Endpoint &daemon, const FollowQuestion &question, std::string target,
                     Duration timeout, Handler handler)
{
    io::ServerCall call;
    call.server = daemon;
    call.target = std::move(target);
    call.headers = {{"Host", toString(daemon)}};
    call.timeout = timeout;
    call.answerWithin = answerWithin;
    const Instant sentAt = io::hostNow();
    m_client.send(
        std::move(call),
        [sentAt, question, daemon, handler = std::move(handler)](const io::HttpResult &result) {
            logAnswer(question, daemon, result, sentAt);
            FollowAnswer answer{std::nullopt, sentAt, failureOf(result)};
            if (!result.error && result.response.status == ok)
                answer.rows = decodeRows(result.response.body);
            if (answer.rows)
                answer.asOf = sentAt - answer.rows->age;
            handler(std::move(answer));
        });
}

void RowsRelay::follow(const Endpoint &reader, const FollowQuestion &question, Handler handler)
{
    send(reader, question, feedTarget(question, followWait), followWait + followSlack,
         std::move(handler));
}

void RowsRelay::askBeside(const Endpoint &other, const FollowQuestion &question, Handler handler)
{
    send(other, question, feedTarget(question, besideWait), besideWait + followSlack,
         std::move(handler));
}

void RowsRelay::ask(const FollowQuestion &question, Handler handler)
{
    const std::vector<Endpoint> peers = m_peers();
    if (peers.empty())
        return;
    std::string target{rowsPath};
    target += question.table + '/' + std::to_string(question.version);
    send(peers[m_next++ % peers.size()], question, std::move(target), timeout, std::move(handler));
}

} // namespace bulrush
