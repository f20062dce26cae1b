#include "permitcontrol.h"

#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "process/permitcodec.h"
#include "process/rendezvousorder.h"

#include <memory>
#include <utility>

namespace bulrush {

namespace {

/** The primary issuer and the backup. */
constexpr std::size_t issuerCount = 2;
/** A request that waits for a permit has to be answered within about a second. */
constexpr Duration queryTimeout = std::chrono::milliseconds{150};
/** A daemon that did not answer is not queried for this long. */
constexpr Duration avoidance = std::chrono::seconds{1};
/** Stated to requests that get no permit because no issuer answers. */
constexpr Duration unavailableWait = std::chrono::seconds{1};

} // namespace

PermitControl::PermitControl(io::ServerClient &client, HostName self)
    : m_client(client)
    , m_self(std::move(self))
{ }

void PermitControl::setDaemons(std::span<const Renewer> daemons)
{
    m_daemons.clear();
    m_addresses.clear();
    for (const Renewer &daemon : daemons) {
        m_daemons.push_back({daemon.host, daemon.row.domain});
        m_addresses[daemon.host] = daemon.row.address;
    }
    m_view = digestOf(m_daemons);
}

void PermitControl::query(const PermitQuery &query, AnswerHandler handler)
{
    queryIssuer(query, issuersOf(query), std::move(handler));
}

PermitAnswer PermitControl::answer(const PermitQuery &query)
{
    const RendezvousOrder order{query.server, query.domain};
    const IssuerRole role = PermitIssuer::roleOf(order.rankOf(m_self, m_daemons));
    return m_issuer.answer(query, role, io::hostNow(), m_view);
}

std::string PermitControl::metricsText() const
{
    std::string text =
        "bulrush_permits_issued_total " + std::to_string(m_issuer.grantedCount()) + '\n';
    for (const IssuedPermits &permits : issued(io::hostNow())) {
        const std::string label = "{server=\"" + permits.server.value() + "\"} ";
        text +=
            "bulrush_permits_issued_recently" + label + std::to_string(permits.recentCount) + '\n';
        if (permits.perSecond)
            text += "bulrush_server_limit_per_second" + label + std::to_string(*permits.perSecond)
                + '\n';
    }
    return text;
}

std::vector<IssuedPermits> PermitControl::issued(Instant now) const
{
    return m_issuer.issued(now);
}

void PermitControl::advance(Instant now)
{
    m_issuer.removeIdle(now);
    std::erase_if(m_avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
}

/** Queries the first of \a issuers, and the next one if it does not answer. */
void PermitControl::queryIssuer(PermitQuery query, std::vector<Issuer> issuers,
                                AnswerHandler handler)
{
    if (issuers.empty()) {
        handler({PermitOutcome::Refused, unavailableWait});
        return;
    }
    query.role = issuers.front().role;
    query.view = m_view;
    if (issuers.front().host == m_self) {
        handler(answer(query));
        return;
    }
    const auto known = m_addresses.find(issuers.front().host);
    if (known == m_addresses.end()) {
        handleFailure(query, std::move(issuers), std::move(handler));
        return;
    }
    io::ServerCall call;
    call.server = known->second;
    call.method = "POST";
    call.target = permitsPath;
    call.headers = {{"Host", toString(call.server)}};
    call.body = std::make_shared<const std::string>(io::encodePermitQuery(query));
    call.timeout = queryTimeout;
    m_client.send(std::move(call), [=, this](const io::HttpResult &result) {
        const auto answer = io::decodePermitAnswer(result.error ? "" : result.response.body);
        if (answer)
            handler(*answer);
        else
            handleFailure(query, issuers, handler);
    });
}

void PermitControl::handleFailure(const PermitQuery &query, std::vector<Issuer> issuers,
                                  AnswerHandler handler)
{
    const HostName silent = issuers.front().host;
    io::logEvent(LogLevel::Info, "permit-issuer-silent",
                 {{"server", query.server.value()}, {"host", silent.value()}});
    m_avoidedUntil[silent] = io::hostNow() + avoidance;
    issuers.erase(issuers.begin());
    queryIssuer(query, std::move(issuers), std::move(handler));
}

/** \returns the daemons to query, in order, without those that did not answer just now. */
std::vector<PermitControl::Issuer> PermitControl::issuersOf(const PermitQuery &query) const
{
    const RendezvousOrder order{query.server, query.domain};
    std::vector<Issuer> issuers;
    std::size_t rank = 0;
    for (const HostName &host : order.first(issuerCount, m_daemons))
        issuers.push_back({host, PermitIssuer::roleOf(rank++)});
    std::erase_if(issuers,
                  [this](const Issuer &issuer) { return m_avoidedUntil.contains(issuer.host); });
    return issuers;
}

} // namespace bulrush
