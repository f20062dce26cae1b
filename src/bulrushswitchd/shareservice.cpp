#include "shareservice.h"

#include "connection/peerclient.h"
#include "controlcontext.h"
#include "limitregistry.h"
#include "process/hostclock.h"
#include "process/sharecodec.h"

#include <stdexcept>
#include <utility>

namespace bulrush {

namespace {

constexpr Duration renewInterval = std::chrono::milliseconds{250};

/**
 * How long a daemon without a share waits until it is ready. While demand exceeds the limit, a
 * daemon gets a share only after it has received requests.
 */
constexpr Duration emptyShareTimeout = std::chrono::seconds{2};

} // namespace

ShareService::ShareService(ControlContext &context, LimitRegistry &limits,
                           LocalRenewal localRenewal)
    : m_context(context)
    , m_limits(limits)
    , m_localRenewal(std::move(localRenewal))
{ }

void ShareService::beginTerm(const DomainName &domain, std::uint64_t epoch, Instant now)
{
    const auto found = m_sharesByDomain.find(domain);
    if (found != m_sharesByDomain.end() && found->second.epoch() == epoch)
        return; // resumed after a lapse; earlier shares still count
    m_sharesByDomain.insert_or_assign(domain, DomainShares{m_context.settings, domain, epoch, now});
}

void ShareService::tick(Instant now, const std::optional<KnownLeader> &leader,
                        const ContractMap &contracts)
{
    if (!leader || contracts.empty())
        return;

    bool isDue = !m_sentAt || now >= *m_sentAt + renewInterval;
    if (leader->epoch != m_leader.epoch || contracts.size() != m_organisations.size()) {
        m_leader = *leader;
        m_organisations.clear();
        for (const auto &[organisation, contract] : contracts)
            m_organisations.push_back(organisation);
        isDue = true;
    }
    if (isDue)
        renew(now);
}

Json::Value ShareService::answer(const DomainName &domain, const Json::Value &parameters,
                                 const ContractMap &contracts, Instant now)
{
    const auto request = io::decodeShareRequest(parameters);
    if (!request)
        throw std::invalid_argument("share request: a field is missing or of another type");
    const auto shares = m_sharesByDomain.find(domain);
    if (shares == m_sharesByDomain.end())
        return {};
    return io::encodeShareReply(shares->second.renew(*request, contracts, now));
}

bool ShareService::hasValidShares(Instant now) const
{
    return m_hasShares && now < m_validUntil;
}

void ShareService::renew(Instant now)
{
    m_sentAt = now;
    const ShareRequest request{m_context.self.incarnation, m_limits.demands(m_organisations, now)};
    Json::Value parameters = io::encodeShareRequest(request);
    parameters["domain"] = m_context.settings.domain.value();
    if (m_leader.address == m_context.self.address) {
        handleReply(m_localRenewal(parameters), now);
        return;
    }
    m_context.peers.call(m_leader.address, "share.renew", parameters, peerCallTimeout,
                         [this, now](const io::RpcReply &reply) {
                             if (!reply.error)
                                 handleReply(reply.result, now);
                         });
}

void ShareService::handleReply(const Json::Value &reply, Instant requestedAt)
{
    const auto decoded = io::decodeShareReply(reply);
    if (!decoded || decoded->organisations.empty())
        return;

    const Instant now = io::hostNow();
    m_limits.applyGrants(decoded->organisations, requestedAt, now);
    if (now >= m_validUntil) {
        m_hasShares = false;
        m_firstReplyAt.reset();
    }
    const Duration length = decoded->organisations.front().rate.length;
    m_validUntil = requestedAt + shortened(length, m_context.settings.leases.driftPpm);
    if (!isComplete(*decoded))
        return;
    if (!m_firstReplyAt)
        m_firstReplyAt = now;
    if (canAdmitAll(now) || now >= *m_firstReplyAt + emptyShareTimeout)
        m_hasShares = true;
}

bool ShareService::isComplete(const ShareReply &reply) const
{
    return reply.isSettled && reply.organisations.size() == m_organisations.size();
}

bool ShareService::canAdmitAll(Instant now) const
{
    for (const OrganisationName &organisation : m_organisations) {
        if (!m_limits.canAdmit(organisation, now))
            return false;
    }
    return true;
}

} // namespace bulrush
