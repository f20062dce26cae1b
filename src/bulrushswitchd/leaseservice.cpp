#include "leaseservice.h"

#include "connection/peerclient.h"
#include "controlcontext.h"
#include "dispatchgate.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/leasecodec.h"

#include <utility>

namespace bulrush {

LeaseService::LeaseService(ControlContext &context, DispatchGate &gate, LocalPull localPull,
                           NewVersion onNewVersion)
    : m_context(context)
    , m_gate(gate)
    , m_localPull(std::move(localPull))
    , m_onNewVersion(std::move(onNewVersion))
{ }

void LeaseService::setLeader(const DomainName &domain, const KnownLeader &leader)
{
    DomainPull &pull = m_pulls[domain];
    if (leader.epoch <= pull.leader.epoch || leader.address.empty())
        return;
    pull.leader = leader;
    pull.sentAt.reset();
}

void LeaseService::setShouldPull(const DomainName &domain, bool shouldPull)
{
    m_pulls[domain].shouldPull = shouldPull;
}

void LeaseService::pull(const DomainName &domain)
{
    const auto found = m_pulls.find(domain);
    if (found != m_pulls.end() && !found->second.leader.address.empty())
        send(domain, found->second, io::hostNow());
}

void LeaseService::tick(Instant now)
{
    for (auto &[domain, pull] : m_pulls) {
        const bool isDue =
            !pull.sentAt || now >= *pull.sentAt + m_context.settings.leases.renewEvery;
        const bool shouldPull =
            domain == m_context.settings.domain || pull.shouldPull || m_gate.hasRights(domain);
        if (pull.leader.address.empty() || !shouldPull)
            continue;
        if (isDue || m_gate.needsPull(domain))
            send(domain, pull, now);
    }
}

void LeaseService::setKnownVersion(const DomainName &domain, Fence version)
{
    m_pulls[domain].knownVersion = version;
}

std::optional<KnownLeader> LeaseService::leader(const DomainName &domain) const
{
    const auto found = m_pulls.find(domain);
    if (found == m_pulls.end() || found->second.leader.address.empty())
        return std::nullopt;
    return found->second.leader;
}

void LeaseService::send(const DomainName &domain, DomainPull &pull, Instant now)
{
    pull.sentAt = now;
    Json::Value request =
        io::encodeLeaseRequest(m_gate.makeRequest(domain, pull.knownVersion, now));
    request["domain"] = domain.value();
    m_context.counters.add(Counter::LeaseRequestsSent);
    if (pull.leader.address == m_context.self.address) {
        handleReply(domain, m_localPull(domain, request));
        return;
    }
    m_context.peers.call(pull.leader.address, "lease.pull", request, peerCallTimeout,
                         [this, domain](const io::RpcReply &reply) {
                             if (!reply.error)
                                 handleReply(domain, reply.result);
                         });
}

void LeaseService::handleReply(const DomainName &domain, const Json::Value &reply)
{
    const auto decoded = io::decodeLeaseReply(reply);
    if (!decoded) {
        m_context.counters.add(Counter::LeaseRequestsRefused);
        return;
    }
    m_gate.accept(domain, *decoded, io::hostNow());
    if (decoded->assignmentVersion > m_pulls[domain].knownVersion)
        m_onNewVersion(domain, decoded->assignmentVersion);
}

} // namespace bulrush
