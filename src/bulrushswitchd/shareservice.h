#pragma once

#include "domainshares.h"
#include "leaseservice.h"

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bulrush {

struct ControlContext;
class LimitRegistry;

/**
 * Renews this daemon's shares of the organisations' limits with the leader of its failure domain,
 * and answers the renewals of other daemons for the domains that this daemon leads.
 *
 * Used on the control thread.
 */
class ShareService
{
public:
    /** \returns the reply of a leader in this daemon to a renewal, or null. */
    using LocalRenewal = std::function<Json::Value(const Json::Value &)>;

    ShareService(ControlContext &context, LimitRegistry &limits, LocalRenewal localRenewal);

    ShareService(const ShareService &) = delete;
    ShareService &operator=(const ShareService &) = delete;

    /** Starts or resumes the distribution of shares as the leader of \a domain. */
    void beginTerm(const DomainName &domain, std::uint64_t epoch, Instant now);

    /** Renews at once after a change of leader or contracts, and otherwise every 250 ms. */
    void tick(Instant now, const std::optional<KnownLeader> &leader, const ContractMap &contracts);

    /** Answers the renewal \a parameters. \pre this daemon may grant for \a domain at \a now. */
    Json::Value answer(const DomainName &domain, const Json::Value &parameters,
                       const ContractMap &contracts, Instant now);

    /**
     * \returns whether shares are valid at \a now and a complete reply confirmed them: every
     * organisation with a contract can send requests, or emptyShareTimeout has passed since the
     * first complete reply.
     */
    bool hasValidShares(Instant now) const;

private:
    void renew(Instant now);
    void handleReply(const Json::Value &reply, Instant requestedAt);
    bool isComplete(const ShareReply &reply) const;
    bool canAdmitAll(Instant now) const;

    ControlContext &m_context;
    LimitRegistry &m_limits;
    LocalRenewal m_localRenewal;
    std::map<DomainName, DomainShares> m_sharesByDomain;
    KnownLeader m_leader;
    std::vector<OrganisationName> m_organisations;
    std::optional<Instant> m_sentAt;
    /** When the first complete reply since the shares last expired arrived; see isComplete(). */
    std::optional<Instant> m_firstReplyAt;
    bool m_hasShares = false;
    Instant m_validUntil{};
};

} // namespace bulrush
