#pragma once

#include "process/ratelimiter.h"
#include "process/sharemessages.h"
#include "request/outcome.h"

#include <json/value.h>

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace bulrush {

class LimitRegistry;

/**
 * Counts one request against its organisation's concurrency limit, from its admission until this
 * object is destroyed. Used by one thread at a time. The registry must outlive it.
 */
class LimitTicket
{
public:
    LimitTicket(LimitRegistry &registry, ConcurrencyLimiter &limiter);
    ~LimitTicket();

    LimitTicket(LimitTicket &&other) noexcept;
    LimitTicket &operator=(LimitTicket &&other) = delete;

private:
    LimitRegistry *m_registry;
    ConcurrencyLimiter *m_limiter;
};

/** The reason why an organisation's limits refuse a request. */
struct LimitRefusal
{
    FailurePoint reason;
    Duration retryAfter;
};

/**
 * A daemon's shares of the limits of all organisations. Traffic threads admit requests by them, and
 * the control thread renews them. Thread safe.
 */
class LimitRegistry
{
public:
    explicit LimitRegistry(std::int64_t driftPpm);

    LimitRegistry(const LimitRegistry &) = delete;
    LimitRegistry &operator=(const LimitRegistry &) = delete;

    /**
     * Admits or refuses a request of \a organisation. An admitted request holds its ticket until it
     * completes; a refused request does not count against the limits.
     */
    std::variant<LimitTicket, LimitRefusal> admit(const OrganisationName &organisation,
                                                  Instant now);

    /** \returns the demands to send to the leader. The resulting shares are valid from \a now. */
    std::vector<OrganisationDemand> demands(std::span<const OrganisationName> organisations,
                                            Instant now);

    /** Applies the leader's shares for the demands of \a requestedAt. */
    void applyGrants(std::span<const OrganisationGrant> grants, Instant requestedAt, Instant now);

    /** \returns whether the shares of \a organisation at \a now admit any request. */
    bool canAdmit(const OrganisationName &organisation, Instant now) const;

    /** \returns each organisation's shares and requests in flight, for operators. */
    Json::Value status(Instant now) const;

private:
    friend class LimitTicket;

    struct Limiters
    {
        RateLimiter rate;
        ConcurrencyLimiter concurrency;
    };

    Limiters &limiters(const OrganisationName &organisation);
    void release(ConcurrencyLimiter &limiter);

    std::int64_t m_driftPpm;
    mutable std::mutex m_mutex;
    /** Entries are never removed, since tickets point to them. */
    std::map<OrganisationName, Limiters> m_limiters;
};

} // namespace bulrush
