#pragma once

#include "process/drainbudget.h"
#include "process/routingstate.h"
#include "process/servergauges.h"
#include "process/serverknowledge.h"
#include "version/routingconfig.h"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace bulrush {

/** What a request needs of a server. */
struct ServerDemand
{
    ServiceName service;
    /** Set if, and only if, the service is divided by key. */
    std::optional<KeyPlace> key;
    RequestKind kind = RequestKind::Idempotent;
    /** Time in which an answer is worth most. */
    Duration targetLatency = std::chrono::seconds{1};
    /** Servers that this request was sent to already. */
    std::span<const ServerName> tried;
    /** Differs between requests, so that daemons which know the same don't all choose the same. */
    std::uint64_t salt = 0;
};

/** Why no server may take a request now. */
enum class NoServer {
    Busy,       ///< those that could have no room
    Absent,     ///< there is none: a key has no owner now, or no server of the service is ready
    OutOfReach, ///< the owner of the key, or its host, could not be reached several times just now
    AllTried,   ///< each that could was tried: waiting brings no other
};

/** The server to send to; valid as long as the routing state. */
using ServerPick = std::variant<const ServerRecord *, NoServer>;

/** What a request that waits can expect. */
struct ServerOutlook
{
    /** From being sent to its answer. */
    Duration latency{};
    /** Work a second that this daemon can get done where the request waits; 0 while unknown. */
    double completionRate = 0.0;
    /** The server that the request waits for; empty where any of the service will do. */
    ServerName owner;
};

/**
 * Chooses the server for a request: the owner of its key, or that of the service's servers where it
 * is expected to be answered first. Servers of the daemon's own failure domain are preferred, by a
 * margin that stands for the price of bytes between domains and is large for uploads.
 *
 * A server is used until a part of the drain bound after it was last known to stay: the owner of a
 * key for a while after it was known to drain, until its keys have moved, and any server while
 * nothing newer was heard though the store answers. Otherwise one slow hop on the way of the news
 * sends requests to servers that have left.
 *
 * Not thread safe.
 */
class ServerPicker
{
public:
    /**
     * How much longer work in the own domain may take than in another before it goes there, of the
     * time in which an answer is worth most: bytes between domains are priced.
     */
    static constexpr double domainMargin = 0.35;
    /** The same for uploads, whose bodies cost more to carry over than a late answer loses. */
    static constexpr Duration uploadDomainMargin = std::chrono::milliseconds{1500};

    ServerPicker(const ServerGauges &gauges, DomainName ownDomain,
                 const DrainBudget &budget = DrainBudget{});

    /** Takes in how far the routing state can be relied on. */
    void setKnowledge(const ServerKnowledge &knowledge);

    /** \returns for how long there has been no word of the store, or zero if it is away. */
    Duration knowledgeAge(Instant now) const;

    /** \returns how the drain bound is shared out. */
    const DrainBudget &budget() const;

    ServerPick pick(const RoutingState &state, const ServerDemand &demand, Instant now) const;

    /** \returns until when a request for \a server may be sent, once it has a connection. */
    Instant lastSend(const KnownServer &server) const;

    /** \returns what a request with \a demand can expect that has to wait. */
    ServerOutlook outlook(const RoutingState &state, const ServerDemand &demand, Instant now) const;

private:
    const KnownServer *ownerOf(const RoutingState &state, const ServerDemand &demand,
                               Instant now) const;
    ServerPick owner(const RoutingState &state, const ServerDemand &demand, Instant now) const;
    ServerPick fastest(const RoutingState &state, const ServerDemand &demand, Instant now) const;
    Duration costOf(const ServerRecord &server, const ServerDemand &demand, Instant now) const;

    const ServerGauges &m_gauges;
    DomainName m_ownDomain;
    DrainBudget m_budget;
    ServerKnowledge m_knowledge;
};

inline void ServerPicker::setKnowledge(const ServerKnowledge &knowledge)
{
    m_knowledge = knowledge;
}

inline const DrainBudget &ServerPicker::budget() const
{
    return m_budget;
}

} // namespace bulrush
