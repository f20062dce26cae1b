#pragma once

#include "process/clock.h"
#include "version/fence.h"
#include "version/identifier.h"

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bulrush {

struct ControlContext;
class DispatchGate;

/** The latest leader of a failure domain that this daemon has recorded. */
struct KnownLeader
{
    std::string address;
    std::uint64_t epoch = 0;
};

/**
 * Pulls this daemon's routing leases from the leaders of the failure domains that it serves.
 *
 * Used on the control thread.
 */
class LeaseService
{
public:
    /** \returns the reply of a leader in this daemon to a pull, or null. */
    using LocalPull = std::function<Json::Value(const DomainName &, const Json::Value &)>;
    /** Called when a reply has a newer assignment version than the one in use. */
    using NewVersion = std::function<void(const DomainName &, Fence version)>;

    LeaseService(ControlContext &context, DispatchGate &gate, LocalPull localPull,
                 NewVersion onNewVersion);

    LeaseService(const LeaseService &) = delete;
    LeaseService &operator=(const LeaseService &) = delete;

    /**
     * Sets the leader of \a domain. Ignores a leader of the same or an older epoch, and one without
     * an address.
     */
    void setLeader(const DomainName &domain, const KnownLeader &leader);

    /**
     * Sets whether this daemon pulls in \a domain even if it holds no rights there yet. This is
     * needed if the leader of \a domain is in this daemon's failure domain, since it may assign
     * servers to this daemon.
     */
    void setShouldPull(const DomainName &domain, bool shouldPull);

    /** Pulls from \a domain's leader now. */
    void pull(const DomainName &domain);

    /** Sends the pulls that are due. */
    void tick(Instant now);

    /** Sets the version of the assignment of \a domain that this daemon routes by. */
    void setKnownVersion(const DomainName &domain, Fence version);

    /** \returns the leader of \a domain, or nothing if none is known. */
    std::optional<KnownLeader> leader(const DomainName &domain) const;

private:
    struct DomainPull
    {
        KnownLeader leader;
        Fence knownVersion;
        std::optional<Instant> sentAt;
        bool shouldPull = false;
    };

    void send(const DomainName &domain, DomainPull &pull, Instant now);
    void handleReply(const DomainName &domain, const Json::Value &reply);

    ControlContext &m_context;
    DispatchGate &m_gate;
    LocalPull m_localPull;
    NewVersion m_onNewVersion;
    std::map<DomainName, DomainPull> m_pulls;
};

} // namespace bulrush
