#include "suspectcheck.h"

#include "forwardcontext.h"
#include "process/hostclock.h"

#include <utility>

namespace bulrush {

SuspectCheck::SuspectCheck(ForwardContext &context)
    : m_context(context)
{ }

void SuspectCheck::setFingerprint(const RequestFingerprint &fingerprint)
{
    m_fingerprint = fingerprint;
}

std::string SuspectCheck::fingerprintText() const
{
    return m_fingerprint ? m_fingerprint->toString() : "none";
}

RequestAdmission SuspectCheck::admission() const
{
    return m_fingerprint ? m_context.admission(*m_fingerprint) : RequestAdmission::Unrestricted;
}

bool SuspectCheck::beginProbe()
{
    if (admission() == RequestAdmission::Unrestricted)
        return true;
    m_isProbe = m_context.probes.insert(*m_fingerprint).second;
    return m_isProbe;
}

void SuspectCheck::endProbe()
{
    if (std::exchange(m_isProbe, false))
        m_context.probes.erase(*m_fingerprint);
}

void SuspectCheck::beginAttempt(const ServerName &server)
{
    m_server = server;
    const auto crashedBefore = m_context.quarantine->crashedServers(*m_fingerprint);
    m_crashedBefore.assign(crashedBefore.begin(), crashedBefore.end());
}

bool SuspectCheck::hasCrashedServers() const
{
    return !m_crashedBefore.empty();
}

void SuspectCheck::recordAnswer(int status)
{
    const Instant now = io::hostNow();
    if (!m_context.crashes.answered(reportOfAttempt(), status, now))
        return;
    m_context.answeredRequests.note(*m_fingerprint, now);
    if (!m_context.quarantine->crashedServers(*m_fingerprint).empty())
        m_context.crashHandlers.answered(*m_fingerprint);
}

void SuspectCheck::recordLoss(CrashWatch::Loss loss)
{
    const auto report = m_context.crashes.lost(reportOfAttempt(), loss, io::hostNow());
    if (report)
        m_context.crashHandlers.reported({*report});
}

CrashReport SuspectCheck::reportOfAttempt() const
{
    return {*m_fingerprint, m_server, m_crashedBefore};
}

} // namespace bulrush
