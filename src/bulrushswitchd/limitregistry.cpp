#include "limitregistry.h"

#include <utility>

namespace bulrush {

namespace {

/** Delay after which a caller may retry if its organisation exceeds its concurrency share. */
constexpr Duration concurrencyRetryDelay = std::chrono::seconds{1};

} // namespace

LimitTicket::LimitTicket(LimitRegistry &registry, ConcurrencyLimiter &limiter)
    : m_registry(&registry)
    , m_limiter(&limiter)
{ }

LimitTicket::~LimitTicket()
{
    if (m_registry)
        m_registry->release(*m_limiter);
}

LimitTicket::LimitTicket(LimitTicket &&other) noexcept
    : m_registry(std::exchange(other.m_registry, nullptr))
    , m_limiter(std::exchange(other.m_limiter, nullptr))
{ }

LimitRegistry::LimitRegistry(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

std::variant<LimitTicket, LimitRefusal> LimitRegistry::admit(const OrganisationName &organisation,
                                                             Instant now)
{
    const std::scoped_lock lock{m_mutex};
    Limiters &limits = limiters(organisation);
    // Checked first, so that a request refused here does not count against the rate.
    if (!limits.concurrency.start(now))
        return LimitRefusal{FailurePoint::Overloaded, concurrencyRetryDelay};
    if (!limits.rate.admits(now)) {
        limits.concurrency.ended();
        return LimitRefusal{FailurePoint::RateLimited, limits.rate.retryAfter()};
    }
    return std::variant<LimitTicket, LimitRefusal>{std::in_place_type<LimitTicket>, *this,
                                                   limits.concurrency};
}

std::vector<OrganisationDemand>
LimitRegistry::demands(std::span<const OrganisationName> organisations, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    std::vector<OrganisationDemand> demands;
    for (const OrganisationName &organisation : organisations) {
        Limiters &limits = limiters(organisation);
        demands.push_back({organisation,
                           {limits.rate.demand(now), limits.rate.share(now)},
                           {limits.concurrency.demand(), limits.concurrency.share(now)}});
    }
    return demands;
}

void LimitRegistry::applyGrants(std::span<const OrganisationGrant> grants, Instant requestedAt,
                                Instant now)
{
    const std::scoped_lock lock{m_mutex};
    for (const OrganisationGrant &grant : grants) {
        Limiters &limits = limiters(grant.organisation);
        limits.rate.applyShareGrant(grant.rate, requestedAt, now);
        limits.concurrency.applyShareGrant(grant.concurrency, requestedAt);
    }
}

bool LimitRegistry::canAdmit(const OrganisationName &organisation, Instant now) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_limiters.find(organisation);
    return found != m_limiters.end() && found->second.rate.share(now) > 0.0
        && found->second.concurrency.share(now) >= 1.0;
}

Json::Value LimitRegistry::status(Instant now) const
{
    const std::scoped_lock lock{m_mutex};
    Json::Value json{Json::objectValue};
    for (const auto &[organisation, limits] : m_limiters) {
        Json::Value &entry = json[organisation.value()];
        entry["requestsPerSecond"] = limits.rate.share(now);
        entry["concurrency"] = limits.concurrency.share(now);
        entry["inFlight"] = limits.concurrency.inFlight();
    }
    return json;
}

LimitRegistry::Limiters &LimitRegistry::limiters(const OrganisationName &organisation)
{
    const auto entry = m_limiters.try_emplace(
        organisation, Limiters{RateLimiter{m_driftPpm}, ConcurrencyLimiter{m_driftPpm}});
    return entry.first->second;
}

void LimitRegistry::release(ConcurrencyLimiter &limiter)
{
    const std::scoped_lock lock{m_mutex};
    limiter.ended();
}

} // namespace bulrush
