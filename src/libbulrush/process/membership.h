#pragma once

#include "process/clock.h"
#include "process/gossipqueue.h"
#include "process/membertable.h"
#include "process/peermessage.h"
#include "process/versionstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/**
 * Durations and limits of membership. docs/design/membership.md has measurements of the defaults.
 */
struct MembershipSettings
{
    /** Interval between pings, each to a random member. */
    Duration pingPeriod = std::chrono::seconds{1};
    /** Timeout of a direct ping, and then of the indirect pings through other members. */
    Duration ackTimeout = std::chrono::milliseconds{500};
    /** Timeout of the answer to a fetch. */
    Duration fetchTimeout = std::chrono::milliseconds{250};
    /** Time for a suspected member to refute the suspicion before it is recorded as gone. */
    Duration suspicionTimeout = std::chrono::seconds{4};
    /** Interval between gossip rounds. */
    Duration gossipInterval = std::chrono::milliseconds{250};
    /** Minimum time between two gossip rounds when there is a new version to send. */
    Duration minItemGossipInterval = std::chrono::milliseconds{20};
    /** Interval between attempts to reach a gone member or a seed. */
    Duration reconnectPeriod = std::chrono::seconds{5};
    /** Time for which the record of a gone host is kept. */
    Duration goneRetention = std::chrono::hours{1};
    /** Time after its start during which a process counts as the latest incarnation on its host. */
    Duration startupPeriod = std::chrono::seconds{30};
    /** A gap between two calls above this value means that this process was paused. */
    Duration pauseThreshold = std::chrono::seconds{2};
    /** Interval between reads of the platform by a domain's reader. */
    Duration readPeriod = std::chrono::seconds{1};
    /**
     * Time without confirmed data after which the first backup reader reads; the second one waits
     * for twice this time.
     */
    Duration backupReaderDelay = std::chrono::seconds{15};
    /** Time for which a backup reader continues to read after it succeeded. */
    Duration backupReaderDuration = std::chrono::minutes{5};
    /** Interval between reads by a daemon without confirmed data for four backup reader delays. */
    Duration fallbackReadInterval = std::chrono::seconds{30};
    /** Number of members that receive a gossip round. */
    unsigned fanOut = 3;
    /** Number of members that are asked for an indirect ping if a ping is not answered. */
    unsigned indirectPings = 3;
    /** Maximum number of changes in a gossip message. */
    std::size_t gossipLimit = 6;
    /** Maximum number of members, and of items, in an answer to an exchange. */
    std::size_t deltaLimit = 32;
    /**
     * Maximum size in bytes of the bodies in answers to fetches within a fetchWindow; one body is
     * always sent. A daemon that receives less retries, also with other members, so that many
     * daemons that start at once do not overload the few members that they have found.
     */
    std::size_t fetchByteLimit = 131072;
    Duration fetchWindow = std::chrono::seconds{1};
    /** Addresses to contact when no other member is in the table. */
    std::vector<std::string> seeds;
    /** Seed of the random choice of members. */
    std::uint64_t randomSeed = 1;
};

/**
 * A host in the platform's list, which may be out of date.
 */
struct ListedHost
{
    HostName host;
    std::string address;
    bool isLeaving = false;
};

/** Read all contracts from the platform, and pass them to Membership::onPlatformListing. */
struct ReadPlatform
{ };

/** A new version was stored and takes effect at this daemon. */
struct ApplyItem
{
    VersionedItem item;
};

/** A member is new, or its state, incarnation or address has changed. */
struct MemberChanged
{
    MemberRecord member;
};

/** A later incarnation runs on this host: this process is obsolete and has to stop. */
struct Superseded
{
    MemberRecord successor;
};

using MembershipAction =
    std::variant<OutgoingMessage, ReadPlatform, ApplyItem, MemberChanged, Superseded>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * One daemon's table of the other daemons, and its part in the gossip protocol that distributes
 * members, contracts and assignments.
 *
 * Each daemon pings one random member per period, regardless of their number. Changes are sent with
 * pings and in gossip rounds to a few random members; missed changes are found by comparing digests
 * after a ping and are fetched in messages of bounded size.
 *
 * Not thread safe; every call takes the current instant, never earlier than in the previous call.
 */
class Membership
{
public:
    /**
     * \param self describes this process; its counter is 0 and its state Alive.
     * \param versions outlives this object.
     */
    Membership(MembershipSettings settings, MemberRecord self, VersionStore &versions,
               Instant startedAt);

    /**
     * Performs the work that is due. To be called at nextDue(), or later.
     */
    MembershipActions onTick(Instant now);

    /**
     * Handles a message of another daemon.
     */
    MembershipActions onMessage(Instant now, const PeerMessage &message);

    /**
     * Applies the platform's list of entry hosts: it gives addresses to contact, and hosts that are
     * to leave. It never marks a member as gone, because the list may be out of date.
     */
    MembershipActions onHostList(Instant now, std::span<const ListedHost> hosts);

    /**
     * Applies the result of a platform read.
     */
    MembershipActions onPlatformListing(Instant now, const PlatformListing &listing);

    /**
     * Records that the requested platform read failed.
     */
    void onPlatformFailure(Instant now);

    /**
     * Distributes an item that this daemon created or accepted itself, such as a new assignment.
     */
    MembershipActions publish(Instant now, const VersionedItem &item);

    /**
     * Announces to other daemons that this daemon is going to leave.
     */
    MembershipActions leave(Instant now);

    /**
     * Announces that this daemon stops: others mark it as gone at once. Nothing is sent afterwards.
     */
    MembershipActions stop(Instant now);

    /**
     * \returns when onTick() has to be called next.
     */
    Instant nextDue() const;

    const MemberRecord &self() const;

    /**
     * \returns all members in the table, including this daemon. Valid until the next change.
     */
    std::span<const MemberRecord> members() const;

    /**
     * \returns the member that reads the platform for this daemon's failure domain: the first
     * present member of the domain, alive ones before leaving ones, then by host name.
     */
    const MemberRecord &reader() const;

    /**
     * \returns whether a later incarnation runs on this host, so that this process has to stop.
     */
    bool isSuperseded() const;

    /**
     * \returns whether another daemon has answered since the start.
     */
    bool hasJoined() const;

private:
    struct PendingPing
    {
        HostName target;
        Instant requestedAt;
        Instant due;
        bool isIndirect = false;
        /** Set if the ping was sent on behalf of another daemon. */
        std::string requester = {};
        std::uint64_t requesterSequence = 0;
    };

    struct PendingFetch
    {
        ItemHeader header;
        std::string from;
        Instant due;
        unsigned attempts = 0;
    };

    /** Time and collected actions of one call. */
    struct CallContext
    {
        Instant now;
        MembershipActions actions = {};
        /** Whether received changes are gossiped further; false for those pulled by an exchange. */
        bool isForwarded = true;
    };

    void handle(CallContext &context, const MemberRecord &sender, const Ping &ping);
    void handle(CallContext &context, const MemberRecord &sender, const Ack &ack);
    void handle(CallContext &context, const MemberRecord &sender, const GossipPush &push);
    void handle(CallContext &context, const MemberRecord &sender, const IndirectPing &ping);
    void handle(CallContext &context, const MemberRecord &sender, const IndirectAck &ack);
    void handle(CallContext &context, const MemberRecord &sender, const Exchange &exchange);
    void handle(CallContext &context, const MemberRecord &sender, const Delta &delta);
    void handle(CallContext &context, const MemberRecord &sender, const Fetch &fetch);
    void handle(CallContext &context, const MemberRecord &sender, const Items &items);

    CallContext begin(Instant now);
    void pingNext(CallContext &context);
    void expirePings(CallContext &context);
    void expireSuspicions(CallContext &context);
    void removeExpiredMembers(Instant now);
    void reconnect(CallContext &context);
    void sendGossipRound(CallContext &context);
    void readPlatformIfDue(CallContext &context);
    std::optional<Duration> readInterval(Instant now) const;
    std::size_t readerRank() const;
    bool hasPresentPeer() const;
    std::vector<std::string> addressesWithoutMember() const;

    void mergeMember(CallContext &context, const MemberRecord &record);
    void refuteStateOfSelf(CallContext &context, const MemberRecord &claim);
    void recordMember(CallContext &context, const MemberRecord &record);
    void applyState(CallContext &context, const HostName &host, MemberState state);
    void raiseCounter(CallContext &context, std::uint64_t above);
    void announceSelf(CallContext &context);
    void applyGossip(CallContext &context, const MemberRecord &sender, const GossipUpdate &news);
    void fetchMissing(CallContext &context, const std::string &from,
                      std::span<const ItemHeader> headers);
    void retryFetches(CallContext &context);
    bool applyItem(CallContext &context, const VersionedItem &item);
    void queueItemGossip(Instant now, const ItemKey &key);
    void queueMemberGossip(Instant now, const HostName &host);
    unsigned gossipRepeats() const;

    GossipUpdate gossipOf(std::span<const GossipQueue::Subject> subjects) const;
    void addCorrection(GossipUpdate &news, const MemberRecord &of) const;
    Summary summary(Instant now) const;
    void compareWith(CallContext &context, const MemberRecord &sender, const Summary &theirs);
    void send(CallContext &context, const std::string &to, PeerMessage::Body body) const;
    void sendPing(CallContext &context, const std::string &to, PendingPing pending);
    std::vector<MemberRecord> chooseMembers(std::size_t count, const HostName &except);
    std::size_t randomBelow(std::size_t bound);

    MembershipSettings m_settings;
    MemberRecord m_self;
    VersionStore &m_versions;
    MemberTable m_table;
    GossipQueue m_gossipQueue;
    std::mt19937_64 m_random;

    std::vector<HostName> m_pingOrder;
    std::map<std::uint64_t, PendingPing> m_pendingPings;
    std::map<HostName, Instant> m_suspectedAt;
    std::map<HostName, Instant> m_goneAt;
    Duration m_fallbackReadPhase;
    std::map<ItemKey, PendingFetch> m_fetches;
    std::vector<std::string> m_contacts;
    std::uint64_t m_nextSequence = 1;

    Instant m_startedAt;
    Instant m_lastActive;
    Instant m_nextPing;
    Instant m_nextGossip = Instant::max();
    Instant m_lastGossip;
    Instant m_nextReconnect;
    Instant m_nextExchange;
    Instant m_nextRead;
    Instant m_backupReaderUntil;
    Instant m_fetchWindowStart;
    std::size_t m_fetchedBytes = 0;
    bool m_isReading = false;
    bool m_isBackupReading = false;
    bool m_hasJoined = false;
    bool m_isSuperseded = false;
    bool m_isStopped = false;
};

inline const MemberRecord &Membership::self() const
{
    return m_self;
}

inline std::span<const MemberRecord> Membership::members() const
{
    return m_table.records();
}

inline bool Membership::hasJoined() const
{
    return m_hasJoined;
}

inline bool Membership::isSuperseded() const
{
    return m_isSuperseded;
}

} // namespace bulrush
