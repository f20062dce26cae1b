#include "process/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace bulrush {

namespace {

/** Number of backup reader delays after which every daemon reads the platform at a low rate. */
constexpr int fallbackReadDelays = 4;
/** Number of daemons of a domain that may read instead of its reader. */
constexpr std::size_t maxBackupReaders = 2;
/** Number of attempts to fetch an item; after them, a later digest comparison starts again. */
constexpr unsigned maxFetchAttempts = 5;

/**
 * \returns whether \a record and \a held may differ only by the state set by others. A record that
 * the member has updated itself has a higher counter.
 */
bool isStateSetByOthers(const MemberRecord &record, const MemberRecord &held)
{
    return record.incarnation == held.incarnation && record.counter == held.counter;
}

bool hasIntactBody(const VersionedItem &item)
{
    return item.body && XXH3_64bits(item.body->data(), item.body->size()) == item.header.bodyHash;
}

auto readerOrder(const MemberRecord &member)
{
    return std::tie(member.state, member.host);
}

} // namespace

Membership::Membership(MembershipSettings settings, MemberRecord self, VersionStore &versions,
                       Instant startedAt)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_versions(versions)
    , m_random(m_settings.randomSeed)
    , m_contacts(m_settings.seeds)
    , m_startedAt(startedAt)
    , m_lastActive(startedAt)
    , m_lastGossip(startedAt - m_settings.gossipInterval)
    , m_nextReconnect(startedAt)
    , m_nextExchange(startedAt)
    , m_nextRead(startedAt)
    , m_backupReaderUntil(startedAt)
    , m_fetchWindowStart(startedAt)
{
    const auto phaseBelow = [&](Duration span) {
        return Duration{
            static_cast<Duration::rep>(randomBelow(static_cast<std::size_t>(span.count())))};
    };
    m_nextPing = startedAt + phaseBelow(m_settings.pingPeriod);
    m_fallbackReadPhase = phaseBelow(m_settings.fallbackReadInterval);
    m_table.merge(m_self);
    queueMemberGossip(startedAt, m_self.host);
}

MembershipActions Membership::onTick(Instant now)
{
    CallContext context = begin(now);
    if (m_isStopped)
        return {};

    expirePings(context);
    expireSuspicions(context);
    retryFetches(context);
    removeExpiredMembers(now);
    if (m_nextReconnect <= now)
        reconnect(context);
    if (m_nextPing <= now)
        pingNext(context);
    if (m_nextGossip <= now)
        sendGossipRound(context);
    readPlatformIfDue(context);
    return std::move(context.actions);
}

MembershipActions Membership::onMessage(Instant now, const PeerMessage &message)
{
    CallContext context = begin(now);
    if (m_isStopped)
        return {};

    mergeMember(context, message.sender);
    std::visit([&](const auto &body) { handle(context, message.sender, body); }, message.body);
    if (m_nextGossip <= now && !m_isStopped)
        sendGossipRound(context);
    return std::move(context.actions);
}

MembershipActions Membership::onHostList(Instant now, std::span<const ListedHost> hosts)
{
    CallContext context = begin(now);
    m_contacts = m_settings.seeds;
    for (const ListedHost &listed : hosts) {
        m_contacts.push_back(listed.address);
        if (!listed.isLeaving)
            continue;
        if (listed.host == m_self.host)
            std::ranges::move(leave(now), std::back_inserter(context.actions));
        else
            applyState(context, listed.host, MemberState::Leaving);
    }
    return std::move(context.actions);
}

MembershipActions Membership::onPlatformListing(Instant now, const PlatformListing &listing)
{
    CallContext context = begin(now);
    m_isReading = false;
    if (m_isBackupReading)
        m_backupReaderUntil = now + m_settings.backupReaderDuration;
    const bool wasConfirmed = m_versions.currentAsOf().has_value();
    for (const ItemHeader &header : m_versions.offerListing(listing).applied) {
        context.actions.push_back(ApplyItem{*m_versions.find(header.key)});
        if (wasConfirmed)
            queueItemGossip(now, header.key);
    }
    if (m_nextGossip <= now && !m_isStopped)
        sendGossipRound(context);
    return std::move(context.actions);
}

void Membership::onPlatformFailure(Instant now)
{
    begin(now);
    m_isReading = false;
}

MembershipActions Membership::publish(Instant now, const VersionedItem &item)
{
    CallContext context = begin(now);
    if (m_isStopped || m_versions.offer(item) != OfferOutcome::Applied)
        return {};

    context.actions.push_back(ApplyItem{item});
    queueItemGossip(now, item.header.key);
    if (m_nextGossip <= now)
        sendGossipRound(context);
    return std::move(context.actions);
}

MembershipActions Membership::leave(Instant now)
{
    CallContext context = begin(now);
    if (m_isStopped || m_self.state == MemberState::Leaving)
        return {};

    m_self.state = MemberState::Leaving;
    raiseCounter(context, m_self.counter);
    return std::move(context.actions);
}

MembershipActions Membership::stop(Instant now)
{
    CallContext context = begin(now);
    if (m_isStopped)
        return {};

    m_self.state = MemberState::Gone;
    raiseCounter(context, m_self.counter);
    sendGossipRound(context);
    m_isStopped = true;
    return std::move(context.actions);
}

Instant Membership::nextDue() const
{
    if (m_isStopped)
        return Instant::max();

    Instant due = std::min({m_nextPing, m_nextGossip, m_nextReconnect});
    for (const auto &[sequence, pending] : m_pendingPings)
        due = std::min(due, pending.due);
    for (const auto &[key, pending] : m_fetches)
        due = std::min(due, pending.due);
    for (const auto &[host, since] : m_suspectedAt)
        due = std::min(due, since + m_settings.suspicionTimeout);
    if (!m_isReading && readerRank() == 0)
        due = std::min(due, m_nextRead);
    return due;
}

const MemberRecord &Membership::reader() const
{
    const MemberRecord *first = m_table.find(m_self.host);
    for (const MemberRecord &member : members()) {
        const bool isCandidate = member.domain == m_self.domain && isPresent(member.state);
        if (isCandidate && readerOrder(member) < readerOrder(*first))
            first = &member;
    }
    return *first;
}

/**
 * Starts a call. After a pause of this process, timeouts that passed meanwhile are no evidence
 * about other members: pending pings are dropped, and all suspicion timeouts start again.
 */
Membership::CallContext Membership::begin(Instant now)
{
    if (now - m_lastActive > m_settings.pauseThreshold) {
        m_pendingPings.clear();
        for (auto &[host, since] : m_suspectedAt)
            since = now;
    }
    m_lastActive = now;
    return {.now = now};
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const Ping &ping)
{
    applyGossip(context, sender, ping.news);
    if (m_isStopped)
        return;

    Ack ack{ping.sequence, summary(context.now),
            gossipOf(m_gossipQueue.first(m_settings.gossipLimit))};
    addCorrection(ack.news, sender);
    send(context, sender.address, std::move(ack));
    compareWith(context, sender, ping.summary);
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const Ack &ack)
{
    applyGossip(context, sender, ack.news);
    m_hasJoined = true;
    const auto found = m_pendingPings.find(ack.sequence);
    if (found == m_pendingPings.end())
        return;

    const PendingPing pending = found->second;
    if (!pending.target.isEmpty() && pending.target != sender.host)
        return;

    m_pendingPings.erase(found);
    if (!pending.requester.empty())
        send(context, pending.requester, IndirectAck{pending.requesterSequence, sender});
    if (ack.summary.age && ack.summary.items == m_versions.digest().combined())
        m_versions.confirmSameAsPeer(pending.requestedAt, *ack.summary.age);
    compareWith(context, sender, ack.summary);
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const GossipPush &push)
{
    applyGossip(context, sender, push.news);
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const IndirectPing &ping)
{
    const MemberRecord *target = m_table.find(ping.target);
    if (!target || target->host == m_self.host)
        return;

    PendingPing pending{.target = target->host,
                        .requestedAt = context.now,
                        .due = context.now + m_settings.ackTimeout,
                        .requester = sender.address,
                        .requesterSequence = ping.sequence};
    sendPing(context, target->address, std::move(pending));
}

void Membership::handle(CallContext &context, const MemberRecord &, const IndirectAck &ack)
{
    mergeMember(context, ack.target);
    m_pendingPings.erase(ack.sequence);
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const Exchange &exchange)
{
    const std::size_t offset = randomBelow(m_table.records().size());
    Delta delta;
    delta.news.members = m_table.differing(exchange.members, m_settings.deltaLimit, offset);
    delta.news.items = m_versions.differing(exchange.items, m_settings.deltaLimit, offset);
    send(context, sender.address, std::move(delta));
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const Delta &delta)
{
    context.isForwarded = false;
    applyGossip(context, sender, delta.news);
}

void Membership::handle(CallContext &context, const MemberRecord &sender, const Fetch &fetch)
{
    if (context.now - m_fetchWindowStart >= m_settings.fetchWindow) {
        m_fetchWindowStart = context.now;
        m_fetchedBytes = 0;
    }
    Items answer;
    for (const ItemKey &key : fetch.keys) {
        const VersionedItem *item = m_versions.find(key);
        if (!item)
            continue;
        const bool isFirst = m_fetchedBytes == 0;
        if (!isFirst && m_fetchedBytes + item->body->size() > m_settings.fetchByteLimit)
            break;
        m_fetchedBytes += item->body->size();
        answer.items.push_back(*item);
    }
    if (!answer.items.empty())
        send(context, sender.address, std::move(answer));
}

void Membership::handle(CallContext &context, const MemberRecord &, const Items &items)
{
    for (const VersionedItem &item : items.items) {
        if (hasIntactBody(item) && applyItem(context, item) && m_versions.currentAsOf())
            queueItemGossip(context.now, item.header.key);
    }
}

void Membership::pingNext(CallContext &context)
{
    m_nextPing = context.now + m_settings.pingPeriod;
    if (m_pingOrder.empty()) {
        for (const MemberRecord &member : members()) {
            if (member.host != m_self.host)
                m_pingOrder.push_back(member.host);
        }
        std::shuffle(m_pingOrder.begin(), m_pingOrder.end(), m_random);
    }
    while (!m_pingOrder.empty()) {
        const MemberRecord *target = m_table.find(m_pingOrder.back());
        m_pingOrder.pop_back();
        if (!target || target->state == MemberState::Gone)
            continue;
        PendingPing pending{.target = target->host,
                            .requestedAt = context.now,
                            .due = context.now + m_settings.ackTimeout};
        sendPing(context, target->address, std::move(pending));
        return;
    }
}

void Membership::expirePings(CallContext &context)
{
    std::vector<HostName> unresponsive;
    for (auto place = m_pendingPings.begin(); place != m_pendingPings.end();) {
        auto &[sequence, pending] = *place;
        if (pending.due > context.now) {
            ++place;
            continue;
        }
        const MemberRecord *target = m_table.find(pending.target);
        const bool affectsState =
            pending.requester.empty() && target && target->state != MemberState::Gone;
        if (!affectsState || pending.isIndirect) {
            if (affectsState)
                unresponsive.push_back(pending.target);
            place = m_pendingPings.erase(place);
            continue;
        }
        for (const MemberRecord &helper : chooseMembers(m_settings.indirectPings, pending.target))
            send(context, helper.address, IndirectPing{sequence, pending.target});
        pending.isIndirect = true;
        pending.due = context.now + m_settings.ackTimeout;
        ++place;
    }
    for (const HostName &host : unresponsive)
        applyState(context, host, MemberState::Suspected);
}

void Membership::expireSuspicions(CallContext &context)
{
    std::vector<HostName> expired;
    for (const auto &[host, since] : m_suspectedAt) {
        if (since + m_settings.suspicionTimeout <= context.now)
            expired.push_back(host);
    }
    for (const HostName &host : expired)
        applyState(context, host, MemberState::Gone);
}

void Membership::removeExpiredMembers(Instant now)
{
    std::erase_if(m_goneAt, [&](const auto &entry) {
        const auto &[host, since] = entry;
        const bool isOld = since + m_settings.goneRetention <= now;
        if (isOld)
            m_table.remove(host);
        return isOld;
    });
}

/**
 * Pings one gone member and one address without a member, so that a network partition heals
 * regardless of which side becomes reachable first.
 */
void Membership::reconnect(CallContext &context)
{
    m_nextReconnect =
        context.now + (hasPresentPeer() ? m_settings.reconnectPeriod : m_settings.pingPeriod);
    const auto ping = [&](const std::string &address, const HostName &target) {
        PendingPing pending{.target = target,
                            .requestedAt = context.now,
                            .due = context.now + m_settings.ackTimeout};
        sendPing(context, address, std::move(pending));
    };

    const std::vector<std::string> addresses = addressesWithoutMember();
    if (!addresses.empty())
        ping(addresses[randomBelow(addresses.size())], {});
    if (m_goneAt.empty())
        return;

    const auto chosen =
        std::next(m_goneAt.begin(), static_cast<std::ptrdiff_t>(randomBelow(m_goneAt.size())));
    ping(m_table.find(chosen->first)->address, chosen->first);
}

void Membership::sendGossipRound(CallContext &context)
{
    const GossipUpdate news = gossipOf(m_gossipQueue.take(m_settings.gossipLimit));
    m_lastGossip = context.now;
    m_nextGossip =
        m_gossipQueue.isEmpty() ? Instant::max() : context.now + m_settings.gossipInterval;
    for (const MemberRecord &member : chooseMembers(m_settings.fanOut, m_self.host))
        send(context, member.address, GossipPush{news});
}

void Membership::readPlatformIfDue(CallContext &context)
{
    const std::optional<Duration> interval = readInterval(context.now);
    if (!interval || m_isReading || m_nextRead > context.now)
        return;

    m_isReading = true;
    m_isBackupReading = readerRank() > 0;
    m_nextRead = context.now + *interval;
    context.actions.push_back(ReadPlatform{});
}

/**
 * \returns the interval at which this daemon reads the platform, or nothing if others read it.
 */
std::optional<Duration> Membership::readInterval(Instant now) const
{
    const std::size_t rank = readerRank();
    const Duration unconfirmed = m_versions.unconfirmedDuration(now);
    const Duration delay = m_settings.backupReaderDelay;
    const bool isBackupReader = rank <= maxBackupReaders
        && (unconfirmed > delay * static_cast<int>(rank) || now < m_backupReaderUntil);
    if (rank == 0 || isBackupReader)
        return m_settings.readPeriod;
    if (unconfirmed > delay * fallbackReadDelays + m_fallbackReadPhase)
        return m_settings.fallbackReadInterval;
    return std::nullopt;
}

/**
 * \returns the number of members of the domain that precede this daemon as readers of the platform.
 */
std::size_t Membership::readerRank() const
{
    const auto isBefore = [&](const MemberRecord &member) {
        return member.domain == m_self.domain && isPresent(member.state)
            && readerOrder(member) < readerOrder(m_self);
    };
    return static_cast<std::size_t>(std::ranges::count_if(members(), isBefore));
}

bool Membership::hasPresentPeer() const
{
    return std::ranges::any_of(members(), [&](const MemberRecord &member) {
        return member.host != m_self.host && isPresent(member.state);
    });
}

std::vector<std::string> Membership::addressesWithoutMember() const
{
    std::set<std::string_view> known;
    for (const MemberRecord &member : members())
        known.insert(member.address);

    std::vector<std::string> result;
    std::ranges::copy_if(m_contacts, std::back_inserter(result),
                         [&](const std::string &address) { return !known.contains(address); });
    return result;
}

/**
 * Applies a record. If only other daemons report that a member is gone, a member that is present
 * here becomes suspected, not gone: the others may have lost their connection to it, and it gets
 * time to refute the report.
 */
void Membership::mergeMember(CallContext &context, const MemberRecord &record)
{
    if (record.host == m_self.host) {
        refuteStateOfSelf(context, record);
        return;
    }
    const MemberRecord *held = m_table.find(record.host);
    if (record.state != MemberState::Gone) {
        recordMember(context, record);
    } else if (held) {
        MemberRecord updated = record;
        if (isStateSetByOthers(record, *held) && isPresent(held->state))
            updated.state = MemberState::Suspected;
        recordMember(context, updated);
    }
}

void Membership::refuteStateOfSelf(CallContext &context, const MemberRecord &claim)
{
    if (m_isStopped || !supersedes(claim, m_self))
        return;

    if (claim.incarnation == m_self.incarnation) {
        if (claim.state == MemberState::Leaving)
            m_self.state = MemberState::Leaving;
        raiseCounter(context, claim.counter);
        return;
    }
    // A process that has just started is the latest incarnation, even if the host's clock produced
    // a lower generation. An older process that meets a later one was paused and replaced.
    if (context.now - m_startedAt < m_settings.startupPeriod) {
        m_self.generation = claim.generation + 1;
        announceSelf(context);
        return;
    }
    m_isSuperseded = true;
    m_isStopped = true;
    context.actions.push_back(Superseded{claim});
}

void Membership::recordMember(CallContext &context, const MemberRecord &record)
{
    const MemberRecord *held = m_table.find(record.host);
    const bool isVisible = !held || held->state != record.state
        || held->incarnation != record.incarnation || held->address != record.address;
    if (!m_table.merge(record))
        return;

    m_suspectedAt.erase(record.host);
    m_goneAt.erase(record.host);
    if (record.state == MemberState::Suspected)
        m_suspectedAt.emplace(record.host, context.now);
    if (record.state == MemberState::Gone)
        m_goneAt.emplace(record.host, context.now);
    if (context.isForwarded)
        queueMemberGossip(context.now, record.host);
    if (isVisible)
        context.actions.push_back(MemberChanged{record});
}

/**
 * Sets the state of \a host, unless the recorded state is the same or worse.
 */
void Membership::applyState(CallContext &context, const HostName &host, MemberState state)
{
    const MemberRecord *held = m_table.find(host);
    if (!held || held->state >= state)
        return;

    MemberRecord updated = *held;
    updated.state = state;
    recordMember(context, updated);
}

void Membership::raiseCounter(CallContext &context, std::uint64_t above)
{
    m_self.counter = above + 1;
    announceSelf(context);
}

void Membership::announceSelf(CallContext &context)
{
    m_table.merge(m_self);
    queueMemberGossip(context.now, m_self.host);
}

void Membership::applyGossip(CallContext &context, const MemberRecord &sender,
                             const GossipUpdate &news)
{
    for (const MemberRecord &member : news.members)
        mergeMember(context, member);
    if (!m_isStopped)
        fetchMissing(context, sender.address, news.items);
}

void Membership::fetchMissing(CallContext &context, const std::string &from,
                              std::span<const ItemHeader> headers)
{
    Fetch fetch;
    for (const ItemHeader &header : headers) {
        if (!m_versions.isNewer(header))
            continue;
        const auto [place, isFirst] = m_fetches.try_emplace(header.key);
        PendingFetch &pending = place->second;
        // If no answer arrives, the fetch is retried with the member that announced the item last.
        pending.from = from;
        if (!isFirst && header.version <= pending.header.version)
            continue;
        pending.header = header;
        pending.due = context.now + m_settings.fetchTimeout;
        pending.attempts = 1;
        fetch.keys.push_back(header.key);
    }
    if (!fetch.keys.empty())
        send(context, from, std::move(fetch));
}

void Membership::retryFetches(CallContext &context)
{
    std::erase_if(m_fetches, [&](const auto &entry) {
        const PendingFetch &pending = entry.second;
        const bool isExhausted = pending.due <= context.now && pending.attempts == maxFetchAttempts;
        return isExhausted || !m_versions.isNewer(pending.header);
    });

    std::map<std::string, Fetch> fetchesByPeer;
    for (auto &[key, pending] : m_fetches) {
        if (pending.due > context.now)
            continue;
        pending.due = context.now + m_settings.fetchTimeout;
        ++pending.attempts;
        fetchesByPeer[pending.from].keys.push_back(key);
    }
    for (auto &[peer, fetch] : fetchesByPeer)
        send(context, peer, std::move(fetch));
}

bool Membership::applyItem(CallContext &context, const VersionedItem &item)
{
    if (m_versions.offer(item) != OfferOutcome::Applied)
        return false;

    context.actions.push_back(ApplyItem{item});
    return true;
}

void Membership::queueItemGossip(Instant now, const ItemKey &key)
{
    m_gossipQueue.add(key, gossipRepeats());
    m_nextGossip =
        std::min(m_nextGossip, std::max(now, m_lastGossip + m_settings.minItemGossipInterval));
}

void Membership::queueMemberGossip(Instant now, const HostName &host)
{
    m_gossipQueue.add(host, gossipRepeats());
    m_nextGossip = std::min(m_nextGossip, std::max(now, m_lastGossip + m_settings.gossipInterval));
}

/**
 * \returns the number of rounds in which a change is sent: enough that few members miss it, which
 * then find it by the digest comparison after their next ping.
 */
unsigned Membership::gossipRepeats() const
{
    const double known = static_cast<double>(members().size());
    return 2 + static_cast<unsigned>(std::ceil(std::log10(known + 1)));
}

GossipUpdate Membership::gossipOf(std::span<const GossipQueue::Subject> subjects) const
{
    GossipUpdate news;
    for (const GossipQueue::Subject &subject : subjects) {
        if (const auto *key = std::get_if<ItemKey>(&subject)) {
            if (const VersionedItem *item = m_versions.find(*key))
                news.items.push_back(item->header);
        } else if (const MemberRecord *member = m_table.find(std::get<HostName>(subject))) {
            news.members.push_back(*member);
        }
    }
    return news;
}

/**
 * Adds the recorded state of a member if it differs from what the member sent, so that the member
 * can refute it or detect that it was replaced.
 */
void Membership::addCorrection(GossipUpdate &news, const MemberRecord &of) const
{
    const MemberRecord *held = m_table.find(of.host);
    if (held && *held != of && std::ranges::find(news.members, *held) == news.members.end())
        news.members.push_back(*held);
}

Summary Membership::summary(Instant now) const
{
    Summary result{m_table.digest().combined(), m_versions.digest().combined(), std::nullopt};
    if (m_versions.currentAsOf())
        result.age = m_versions.unconfirmedDuration(now);
    return result;
}

void Membership::compareWith(CallContext &context, const MemberRecord &sender,
                             const Summary &theirs)
{
    const Summary ours = summary(context.now);
    const bool isSame = ours.members == theirs.members && ours.items == theirs.items;
    if (isSame || m_nextExchange > context.now || m_isStopped)
        return;

    m_nextExchange = context.now + m_settings.pingPeriod;
    send(context, sender.address,
         Exchange{m_table.digest().buckets(), m_versions.digest().buckets()});
}

void Membership::send(CallContext &context, const std::string &to, PeerMessage::Body body) const
{
    context.actions.push_back(OutgoingMessage{to, {m_self, std::move(body)}});
}

void Membership::sendPing(CallContext &context, const std::string &to, PendingPing pending)
{
    Ping ping{m_nextSequence++, summary(context.now),
              gossipOf(m_gossipQueue.first(m_settings.gossipLimit))};
    const MemberRecord *target = m_table.find(pending.target);
    if (target && target->state != MemberState::Alive)
        ping.news.members.push_back(*target);
    m_pendingPings.emplace(ping.sequence, std::move(pending));
    send(context, to, std::move(ping));
}

/**
 * \returns up to \a count distinct present members, excluding this one and \a except.
 */
std::vector<MemberRecord> Membership::chooseMembers(std::size_t count, const HostName &except)
{
    std::vector<MemberRecord> chosen;
    const std::span<const MemberRecord> all = members();
    const std::size_t attempts = 4 * count + 4;
    for (std::size_t attempt = 0; attempt < attempts && chosen.size() < count; ++attempt) {
        const MemberRecord &member = all[randomBelow(all.size())];
        const bool isEligible = isPresent(member.state) && member.host != m_self.host
            && member.host != except && std::ranges::find(chosen, member) == chosen.end();
        if (isEligible)
            chosen.push_back(member);
    }
    return chosen;
}

std::size_t Membership::randomBelow(std::size_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

} // namespace bulrush
