#pragma once

#include "process/clock.h"
#include "process/membertable.h"
#include "process/newsqueue.h"
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
 * The spans and limits of membership. The defaults are what docs/design/membership.md measures.
 */
struct MembershipSettings
{
    /** From one ping of a random member to the next. */
    Duration pingPeriod = std::chrono::seconds{1};
    /** How long a ping waits before others are asked to try, and then once more. */
    Duration ackTimeout = std::chrono::milliseconds{500};
    /** How long the answer to a fetch may take. */
    Duration fetchTimeout = std::chrono::milliseconds{250};
    /** How long a suspected member has to refute before it counts as gone. */
    Duration suspicionTimeout = std::chrono::seconds{4};
    /** From one round of passing news on to the next. */
    Duration newsPeriod = std::chrono::milliseconds{250};
    /** Shortest span between two rounds when there is a new version to pass on. */
    Duration itemNewsGap = std::chrono::milliseconds{20};
    /** From one attempt at reaching a member that is gone, or a seed, to the next. */
    Duration reconnectPeriod = std::chrono::seconds{5};
    /** How long a host that is gone is remembered. */
    Duration goneRetention = std::chrono::hours{1};
    /** How long after its start a process counts as the later run at its host. */
    Duration freshSpan = std::chrono::seconds{30};
    /** A gap between two calls beyond which this process was paused. */
    Duration pauseThreshold = std::chrono::seconds{2};
    /** From one reading of the platform by a domain's reader to the next. */
    Duration readPeriod = std::chrono::seconds{1};
    /** The reader's first stand-in reads when unsure for this long, the second for twice it. */
    Duration standInDelay = std::chrono::seconds{15};
    /** How long a stand-in goes on reading after it succeeded. */
    Duration standInSpan = std::chrono::minutes{5};
    /** From one reading to the next by a daemon that is unsure for four stand-in delays. */
    Duration lastResortPeriod = std::chrono::seconds{30};
    /** How many members a round of news goes to. */
    unsigned fanOut = 3;
    /** How many members are asked to try when a ping is not answered. */
    unsigned indirectPings = 3;
    /** How many changes a message of news carries. */
    std::size_t newsLimit = 6;
    /** How many members, and how many items, an answer to an exchange carries. */
    std::size_t deltaLimit = 32;
    /**
     * How many bytes of bodies answers to fetches carry within a fetchWindow; one body always goes.
     * Whoever gets less asks again, and others, so that many daemons that start at once don't
     * load the few that they know.
     */
    std::size_t fetchByteLimit = 131072;
    Duration fetchWindow = std::chrono::seconds{1};
    /** Addresses to try when nobody is known. */
    std::vector<std::string> seeds;
    /** Seed of the random choice of members. */
    std::uint64_t randomSeed = 1;
};

/**
 * A host in the platform's list, which lags behind.
 */
struct ListedHost
{
    HostName host;
    std::string address;
    bool isLeaving = false;
};

/** Read all contracts from the platform, and report by Membership::onPlatformListing. */
struct ReadPlatform
{ };

/** A version is now held and goes into force at this daemon. */
struct ApplyItem
{
    VersionedItem item;
};

/** A member is new, or its state, run or address has changed. */
struct MemberChanged
{
    MemberRecord member;
};

/** A later run of a daemon is at this host: this process is a left-over and must end. */
struct Superseded
{
    MemberRecord successor;
};

using MembershipAction =
    std::variant<OutgoingMessage, ReadPlatform, ApplyItem, MemberChanged, Superseded>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * One daemon's view of the others, and its part in spreading members, contracts and assignments.
 *
 * Each daemon pings one random member a period, whatever their number. Changes ride on pings and
 * on rounds of news to a few random members; what was missed is found by comparing digests after
 * a ping and fetched in bounded pieces.
 *
 * Not thread safe; every call takes the instant it happens at, never earlier than the call before.
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
     * Does what is due. To be called at nextDue(), or late.
     */
    MembershipActions onTick(Instant now);

    /**
     * Takes a message of another daemon in.
     */
    MembershipActions onMessage(Instant now, const PeerMessage &message);

    /**
     * Takes the platform's list of entry hosts in: it names whom to try, and who is to leave. It
     * never makes a member gone, because it lags.
     */
    MembershipActions onHostList(Instant now, std::span<const ListedHost> hosts);

    /**
     * Takes a reading of the platform's contracts in.
     */
    MembershipActions onPlatformListing(Instant now, const PlatformListing &listing);

    /**
     * Notes that the reading asked for failed.
     */
    void onPlatformFailure(Instant now);

    /**
     * Spreads an item that this daemon made or accepted itself, such as a new assignment.
     */
    MembershipActions publish(Instant now, const VersionedItem &item);

    /**
     * Tells the others that this daemon is about to leave.
     */
    MembershipActions leave(Instant now);

    /**
     * Says goodbye: the others take this daemon as gone at once. Nothing is sent afterwards.
     */
    MembershipActions stop(Instant now);

    /**
     * \returns when onTick() is due next.
     */
    Instant nextDue() const;

    const MemberRecord &self() const;

    /**
     * \returns all that are known, this daemon included. Valid until the next change.
     */
    std::span<const MemberRecord> members() const;

    /**
     * \returns the member that reads the platform for this daemon's failure domain: the first by
     * order of host among those of the domain that are present.
     */
    const MemberRecord &reader() const;

    /**
     * \returns whether a later run of a daemon is known at this host, so that this one must end.
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
        /** Set when the ping was sent for another daemon. */
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

    /** The unit of work that a call collects its actions in. */
    struct Turn
    {
        Instant now;
        MembershipActions actions = {};
        /** Whether what is learned is passed on; not so for what was pulled by an exchange. */
        bool isPassedOn = true;
    };

    void handle(Turn &turn, const MemberRecord &sender, const Ping &ping);
    void handle(Turn &turn, const MemberRecord &sender, const Ack &ack);
    void handle(Turn &turn, const MemberRecord &sender, const GossipPush &push);
    void handle(Turn &turn, const MemberRecord &sender, const IndirectPing &ping);
    void handle(Turn &turn, const MemberRecord &sender, const IndirectAck &ack);
    void handle(Turn &turn, const MemberRecord &sender, const Exchange &exchange);
    void handle(Turn &turn, const MemberRecord &sender, const Delta &delta);
    void handle(Turn &turn, const MemberRecord &sender, const Fetch &fetch);
    void handle(Turn &turn, const MemberRecord &sender, const Items &items);

    Turn begin(Instant now);
    void pingNext(Turn &turn);
    void expirePings(Turn &turn);
    void expireSuspicions(Turn &turn);
    void forgetGone(Instant now);
    void reconnect(Turn &turn);
    void sendNewsRound(Turn &turn);
    void readPlatformIfDue(Turn &turn);
    std::optional<Duration> readInterval(Instant now) const;
    std::size_t readerRank() const;
    bool hasCompany() const;
    std::vector<std::string> unansweredAddresses() const;

    void mergeMember(Turn &turn, const MemberRecord &record);
    void answerClaimAboutSelf(Turn &turn, const MemberRecord &claim);
    void recordMember(Turn &turn, const MemberRecord &record);
    void judge(Turn &turn, const HostName &host, MemberState state);
    void raiseCounter(Turn &turn, std::uint64_t above);
    void announceSelf(Turn &turn);
    void mergeNews(Turn &turn, const MemberRecord &sender, const GossipUpdate &news);
    void fetchMissing(Turn &turn, const std::string &from, std::span<const ItemHeader> headers);
    void retryFetches(Turn &turn);
    bool applyItem(Turn &turn, const VersionedItem &item);
    void queueItemNews(Instant now, const ItemKey &key);
    void queueMemberNews(Instant now, const HostName &host);
    unsigned newsRepeats() const;

    GossipUpdate newsOf(std::span<const NewsQueue::Subject> subjects) const;
    void addCorrection(GossipUpdate &news, const MemberRecord &of) const;
    Summary summary(Instant now) const;
    void compareWith(Turn &turn, const MemberRecord &sender, const Summary &theirs);
    void send(Turn &turn, const std::string &to, PeerMessage::Body body) const;
    void sendPing(Turn &turn, const std::string &to, PendingPing pending);
    std::vector<MemberRecord> chooseMembers(std::size_t count, const HostName &except);
    std::size_t randomBelow(std::size_t bound);

    MembershipSettings m_settings;
    MemberRecord m_self;
    VersionStore &m_versions;
    MemberTable m_table;
    NewsQueue m_news;
    std::mt19937_64 m_random;

    std::vector<HostName> m_pingOrder;
    std::map<std::uint64_t, PendingPing> m_pendingPings;
    std::map<HostName, Instant> m_suspectedAt;
    std::map<HostName, Instant> m_goneAt;
    Duration m_lastResortPhase;
    std::map<ItemKey, PendingFetch> m_fetches;
    std::vector<std::string> m_contacts;
    std::uint64_t m_nextSequence = 1;

    Instant m_startedAt;
    Instant m_lastActive;
    Instant m_nextPing;
    Instant m_nextNews = Instant::max();
    Instant m_lastNews;
    Instant m_nextReconnect;
    Instant m_nextExchange;
    Instant m_nextRead;
    Instant m_standsInUntil;
    Instant m_fetchWindowStart;
    std::size_t m_fetchedBytes = 0;
    bool m_isReading = false;
    bool m_isStandInReading = false;
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
