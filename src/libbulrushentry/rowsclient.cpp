#include "rowsclient.h"

#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <utility>

namespace bulrush {

namespace {

constexpr int ok = 200;

/** Answers of at least this size are logged, as they take time on a narrow link. */
constexpr std::size_t loggedBytes = 32'000;

/** Logs large and failed answers, so that the time a reader takes for them can be analysed. */
void logAnswer(const FollowRequest &request, const Endpoint &daemon, const io::HttpResult &result,
               Instant sentAt)
{
    const std::size_t bytes = result.response.body.size();
    if (!result.error && bytes < loggedBytes)
        return;
    io::logEvent(LogLevel::Info, "rows-told",
                 {{"table", request.table},
                  {"by", toString(daemon)},
                  {"version", toString(request.version)},
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

std::string feedTarget(const FollowRequest &request, Duration wait)
{
    std::string target{feedPath};
    target += request.table + '/' + toString(request.version) + '/' + io::millisecondsText(wait);
    if (request.age)
        target += '/' + io::millisecondsText(*request.age);
    return target;
}

} // namespace

RowsClient::RowsClient(io::ServerClient &client, PeersSource peers)
    : m_client(client)
    , m_peers(std::move(peers))
{ }

void RowsClient::send(const Endpoint &daemon, const FollowRequest &request, std::string target,
                      Duration timeout, Handler handler)
{
    io::ServerCall call;
    call.server = daemon;
    call.target = std::move(target);
    call.headers = {{"Host", toString(daemon)}};
    call.timeout = timeout;
    call.answerTimeout = maxTransferTime;
    const Instant sentAt = io::hostNow();
    m_client.send(
        std::move(call),
        [sentAt, request, daemon, handler = std::move(handler)](const io::HttpResult &result) {
            logAnswer(request, daemon, result, sentAt);
            FollowAnswer answer{std::nullopt, sentAt, failureOf(result)};
            if (!result.error && result.response.status == ok)
                answer.rows = decodeRows(result.response.body);
            if (answer.rows)
                answer.asOf = sentAt - answer.rows->age;
            handler(std::move(answer));
        });
}

void RowsClient::follow(const Endpoint &reader, const FollowRequest &request, Handler handler)
{
    send(reader, request, feedTarget(request, followWait), followWait + followGrace,
         std::move(handler));
}

void RowsClient::askAlternate(const Endpoint &other, const FollowRequest &request, Handler handler)
{
    send(other, request, feedTarget(request, alternateWait), alternateWait + followGrace,
         std::move(handler));
}

void RowsClient::ask(const FollowRequest &request, Handler handler)
{
    const std::vector<Endpoint> peers = m_peers();
    if (peers.empty())
        return;
    std::string target{rowsPath};
    target += request.table + '/' + toString(request.version);
    send(peers[m_next++ % peers.size()], request, std::move(target), timeout, std::move(handler));
}

} // namespace bulrush
