#pragma once

#include "connection/serverclient.h"
#include "process/daemonlocation.h"
#include "process/endpoint.h"
#include "process/permit.h"
#include "process/permitissuer.h"
#include "process/renewerregistry.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace bulrush {

/**
 * Obtains permits for this daemon's requests to servers that name a limit, from the daemon that
 * issues them, and issues them to other daemons.
 *
 * Used on the control thread.
 */
class PermitControl
{
public:
    using AnswerHandler = std::function<void(const PermitAnswer &)>;

    /** \a self is the host of this daemon. \pre \a client outlives this object */
    PermitControl(io::ServerClient &client, HostName self);

    PermitControl(const PermitControl &) = delete;
    PermitControl &operator=(const PermitControl &) = delete;

    /** Sets the daemons that have rows. */
    void setDaemons(std::span<const Renewer> daemons);

    /**
     * Passes the answer of an issuer to \a handler, now or later. If no issuer answers, the permit
     * is refused.
     */
    void query(const PermitQuery &query, AnswerHandler handler);

    /** \returns the answer to the query of another daemon. */
    PermitAnswer answer(const PermitQuery &query);

    /** \returns the permits that this daemon has issued lately. */
    std::vector<IssuedPermits> issued(Instant now) const;

    /** \returns lines for a metrics page: the permits that this daemon has issued. */
    std::string metricsText() const;

    /** Discards state that is no longer needed. To be called often. */
    void advance(Instant now);

private:
    /** A daemon that issues permits for a server. */
    struct Issuer
    {
        HostName host;
        IssuerRole role = IssuerRole::None;
    };

    void queryIssuer(PermitQuery query, std::vector<Issuer> issuers, AnswerHandler handler);
    void handleFailure(const PermitQuery &query, std::vector<Issuer> issuers,
                       AnswerHandler handler);
    std::vector<Issuer> issuersOf(const PermitQuery &query) const;

    io::ServerClient &m_client;
    HostName m_self;
    PermitIssuer m_issuer;
    std::vector<DaemonLocation> m_daemons;
    /** Digest of m_daemons. */
    std::uint64_t m_view = 0;
    std::map<HostName, Endpoint> m_addresses;
    /** Daemons that did not answer, and until when they are not queried. */
    std::map<HostName, Instant> m_avoidedUntil;
};

} // namespace bulrush
