#pragma once

#include "process/crashwatch.h"
#include "process/requestadmission.h"
#include "request/requestfingerprint.h"
#include "version/identifier.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrush {

struct ForwardContext;

/**
 * Whether one request may be sent although servers may crash under it, and what its attempts show
 * about that.
 *
 * Used on the traffic thread. An open probe has to be ended.
 */
class SuspectCheck
{
public:
    explicit SuspectCheck(ForwardContext &context);

    /** Sets what the request is recognized by, once it is complete. */
    void setFingerprint(const RequestFingerprint &fingerprint);

    /** \returns the fingerprint as text, or "none". */
    std::string fingerprintText() const;

    /** \returns whether the request may go to a server now; an incomplete one may. */
    RequestAdmission admission() const;

    /**
     * \returns whether the request may be sent: it is not suspect, or is now the only probe.
     * \pre the fingerprint is set
     */
    bool beginProbe();

    void endProbe();

    /** Begins an attempt at \a server. \pre the fingerprint is set */
    void beginAttempt(const ServerName &server);

    /** \returns whether servers were known to have crashed when the last attempt began. */
    bool hasCrashedServers() const;

    /** Records whether an answer with \a status shows that the request does not crash servers. */
    void recordAnswer(int status);

    /** Records that the server had the request and gave no answer: it may have crashed. */
    void recordLoss(CrashWatch::Loss loss);

private:
    CrashReport reportOfAttempt() const;

    ForwardContext &m_context;
    /** Nothing until the request is complete. */
    std::optional<RequestFingerprint> m_fingerprint;
    ServerName m_server;
    /** Runs that were known to have crashed under the request when the attempt began. */
    std::vector<ServerName> m_crashedBefore;
    /** This is the one copy of a suspect request that is at a server. */
    bool m_isProbe = false;
};

} // namespace bulrush
