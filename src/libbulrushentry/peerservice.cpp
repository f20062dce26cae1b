#include "peerservice.h"

#include "connection/httpfield.h"
#include "connection/httpstatus.h"
#include "connection/wholebody.h"
#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/permitcodec.h"
#include "version/loadsamplecodec.h"
#include "version/renewalcodec.h"

namespace bulrush {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;

io::HttpResponse jsonPage(std::string body)
{
    return {ok, {{"Content-Type", "application/json"}}, std::move(body)};
}

/** \returns whether the daemon that sent \a request knows shares by priority. */
bool knowsDetails(const io::RequestHead &request)
{
    const io::HttpHeader *accepted = io::findField(request.headers, "Accept");
    return accepted && accepted->value.find(io::detailedSharesType) != std::string::npos;
}

} // namespace

PeerService::PeerService(KeyControl &keys, PermitControl &permits, StatePublisher &state,
                         io::LoopTimers &timers, FollowerGroup &group, const LinkBudget &link)
    : m_keys(keys)
    , m_permits(permits)
    , m_state(state)
    , m_admission(link)
    , m_feed(timers, group, m_admission)
{ }

std::error_code PeerService::listen(asio::io_context &loop, const Endpoint &address)
{
    io::CallerServerSettings settings;
    settings.address = address.address;
    settings.port = address.port;
    m_server = std::make_unique<io::CallerServer>(
        loop, settings,
        [this](const auto &request, const auto &writer) { handle(request, writer); });
    return m_server->listen();
}

void PeerService::handle(const std::shared_ptr<io::IncomingRequest> &request,
                         const std::shared_ptr<io::ResponseWriter> &writer)
{
    io::readCompleteBody(
        request, [this, request, writer](std::error_code error, const std::string &body) {
            const std::string &target = request->head().target;
            if (error)
                writer->send(io::plainTextResponse(badRequest, "body: not whole\n"));
            else if (target.starts_with(feedPath))
                handleFeedRequest(target, writer);
            else if (target == loadsPath)
                writer->send(handleLoads(body, knowsDetails(request->head())));
            else
                writer->send(answer(target, body));
        });
}

io::HttpResponse PeerService::answer(const std::string &target, const std::string &body)
{
    if (target == grantsPath)
        return answerQuestion(body);
    if (target == assignmentsPath)
        return answerAssignmentsQuery(body);
    if (target == permitsPath)
        return answerPermitQuery(body);
    if (target.starts_with(rowsPath))
        return answerRows(target);
    return io::plainTextResponse(notFound, "nothing is known here by that path\n");
}

io::HttpResponse PeerService::answerRows(const std::string &target)
{
    const auto question = parseRowsRequest(target);
    const TableFollower *tableFollower = question ? follower(question->table) : nullptr;
    if (!tableFollower || !tableFollower->hasRows())
        return io::plainTextResponse(notFound, "no rows are known here by that path\n");
    std::string body = encodeRows(tableFollower->rowsSince(question->version, io::hostNow()));
    if (!m_admission.admits(question->table, body.size(), io::hostNow()))
        return io::refusal(busyStatus);
    return jsonPage(std::move(body));
}

void PeerService::handleFeedRequest(const std::string &target,
                                    const std::shared_ptr<io::ResponseWriter> &writer)
{
    const auto question = parseFeedRequest(target);
    const TableFollower *tableFollower = question ? follower(question->table) : nullptr;
    if (tableFollower)
        m_feed.ask(*question, *tableFollower, writer);
    else
        writer->send(
            io::plainTextResponse(notFound, "path: not a followed table, a version and a wait\n"));
}

const TableFollower *PeerService::follower(std::string_view table) const
{
    const TableFollower *found = m_state.follower(table);
    return found ? found : m_keys.follower(table);
}

io::HttpResponse PeerService::handleLoads(const std::string &body, bool knowsDetails)
{
    const auto samples = io::decodeLoadSamples(body);
    if (!samples)
        return io::plainTextResponse(badRequest, "body: not a list of samples\n");
    m_keys.addLoads(*samples);
    const std::vector<KeyShares> &shares = m_keys.keyShares();
    return jsonPage(io::encodeKeyShares(knowsDetails ? shares : withoutDetails(shares)));
}

io::HttpResponse PeerService::answerQuestion(const std::string &body)
{
    const auto question = io::decodeRenewalQuery(body);
    if (!question)
        return io::plainTextResponse(badRequest, "body: not a question for grants\n");
    return jsonPage(io::encodeRenewalAnswer(m_keys.answer(*question)));
}

io::HttpResponse PeerService::answerAssignmentsQuery(const std::string &body)
{
    const auto known = io::decodeSequences(body);
    if (!known)
        return io::plainTextResponse(badRequest, "body: not a query for assignments\n");
    return jsonPage(io::encodeRememberedAssignments(m_keys.remembered(*known)));
}

io::HttpResponse PeerService::answerPermitQuery(const std::string &body)
{
    const auto query = io::decodePermitQuery(body);
    if (!query)
        return io::plainTextResponse(badRequest, "body: not a query for a permit\n");
    return jsonPage(io::encodePermitAnswer(m_permits.answer(*query)));
}

} // namespace bulrush
