#include "virtualnetwork.h"

#include <cstdio>

namespace bulrush::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration domainDelay = 200us;
constexpr Duration regionDelay = 1500us;
constexpr Duration interRegionDelay = 15ms;
constexpr Duration platformDelay = 10ms;
constexpr Duration platformTimeout = 1s;

const char *nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Gone:
        return "gone";
    }
    return "";
}

} // namespace

bool FakePlatform::put(const std::string &name, std::uint64_t readVersion, std::string body)
{
    const auto found = contracts.find(name);
    const std::uint64_t held = found == contracts.end() ? 0 : found->second.header.version.sequence;
    if (!isUp || held != readVersion)
        return false;

    contracts[name] = makeItem({ItemKind::Contract, name}, {0, held + 1}, std::move(body));
    return true;
}

std::vector<VersionedItem> FakePlatform::listing() const
{
    std::vector<VersionedItem> items;
    for (const auto &[name, item] : contracts)
        items.push_back(item);
    return items;
}

VirtualNetwork::VirtualNetwork(std::uint64_t seed)
    : m_random(seed)
{ }

void VirtualNetwork::start(const Location &place, std::vector<std::string> seeds,
                           std::uint64_t generation, bool isTraced)
{
    Daemon &daemon = m_daemons[place.host];
    daemon.place = place;
    daemon.run = m_nextRun++;
    daemon.isPaused = false;
    daemon.isTraced = isTraced;
    daemon.nextTick = Instant::max();
    daemon.inbox.clear();
    daemon.versions = std::make_unique<VersionStore>(m_now);

    MembershipSettings own = settings;
    own.seeds = std::move(seeds);
    own.randomSeed = m_random();
    MemberRecord self;
    self.host = HostName{place.host};
    self.domain = DomainName{place.domain};
    self.address = place.host;
    self.incarnation = Incarnation{place.host + "#" + std::to_string(daemon.run)};
    self.generation = generation;
    daemon.membership = std::make_unique<Membership>(own, self, *daemon.versions, m_now);
    schedule(daemon);
}

void VirtualNetwork::kill(const std::string &host)
{
    Daemon &daemon = m_daemons.at(host);
    daemon.membership.reset();
    daemon.inbox.clear();
    daemon.run = 0;
}

void VirtualNetwork::pause(const std::string &host)
{
    m_daemons.at(host).isPaused = true;
}

void VirtualNetwork::resume(const std::string &host)
{
    Daemon &daemon = m_daemons.at(host);
    daemon.isPaused = false;
    std::deque<std::function<void()>> inbox;
    inbox.swap(daemon.inbox);
    for (const auto &work : inbox) {
        if (daemon.membership)
            work();
    }
    if (daemon.membership)
        perform(daemon, daemon.membership->onTick(m_now));
}

void VirtualNetwork::cut(const std::string &domain, bool fromPlatform)
{
    m_cutDomains.insert(domain);
    if (fromPlatform)
        m_withoutPlatform.insert(domain);
}

void VirtualNetwork::heal(const std::string &domain)
{
    m_cutDomains.erase(domain);
    m_withoutPlatform.erase(domain);
}

void VirtualNetwork::cutFromPlatform(const std::string &host)
{
    m_withoutPlatform.insert(host);
}

void VirtualNetwork::setRegionsApart(bool areApart)
{
    m_areRegionsApart = areApart;
}

void VirtualNetwork::setLoss(double share)
{
    m_loss = share;
}

void VirtualNetwork::setSizer(Sizer sizer)
{
    m_sizer = std::move(sizer);
}

void VirtualNetwork::deliver(const std::string &to, const PeerMessage &message)
{
    act(to, [&](Membership &membership) { return membership.onMessage(m_now, message); });
}

void VirtualNetwork::answerListing(const std::string &host, Instant requestedAt,
                                   std::vector<VersionedItem> items)
{
    const PlatformListing listing{requestedAt, std::move(items)};
    act(host, [&](Membership &membership) { return membership.onPlatformListing(m_now, listing); });
}

void VirtualNetwork::runFor(Duration span)
{
    const Instant end = m_now + span;
    while (m_timers.nextDue() && *m_timers.nextDue() <= end) {
        m_now = *m_timers.nextDue();
        m_timers.advanceTo(m_now);
    }
    m_now = end;
}

Instant VirtualNetwork::now() const
{
    return m_now;
}

void VirtualNetwork::note(const std::string &line)
{
    char stamp[32];
    const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", seconds);
    m_trace += stamp + line + "\n";
}

void VirtualNetwork::act(const std::string &host,
                         const std::function<MembershipActions(Membership &)> &call)
{
    Daemon &daemon = m_daemons.at(host);
    perform(daemon, call(*daemon.membership));
}

Membership &VirtualNetwork::membership(const std::string &host)
{
    return *m_daemons.at(host).membership;
}

VersionStore &VirtualNetwork::versions(const std::string &host)
{
    return *m_daemons.at(host).versions;
}

bool VirtualNetwork::isRunning(const std::string &host) const
{
    const auto found = m_daemons.find(host);
    return found != m_daemons.end() && found->second.membership;
}

std::vector<std::string> VirtualNetwork::hosts() const
{
    std::vector<std::string> result;
    for (const auto &[host, daemon] : m_daemons) {
        if (daemon.membership)
            result.push_back(host);
    }
    return result;
}

std::uint64_t VirtualNetwork::versionAt(const std::string &host, const std::string &contract) const
{
    const VersionedItem *item = m_daemons.at(host).versions->find({ItemKind::Contract, contract});
    return item ? item->header.version.sequence : 0;
}

std::size_t VirtualNetwork::holdersOf(const std::string &contract, std::uint64_t version) const
{
    std::size_t holders = 0;
    for (const std::string &host : hosts())
        holders += versionAt(host, contract) >= version ? 1 : 0;
    return holders;
}

Traffic VirtualNetwork::sent(const std::string &host) const
{
    return m_daemons.at(host).sent;
}

const std::string &VirtualNetwork::trace() const
{
    return m_trace;
}

void VirtualNetwork::perform(Daemon &daemon, MembershipActions actions)
{
    for (const MembershipAction &action : actions)
        std::visit([&](const auto &one) { performOne(daemon, one); }, action);
    if (daemon.membership)
        schedule(daemon);
}

void VirtualNetwork::performOne(Daemon &daemon, const OutgoingMessage &outgoing)
{
    daemon.sent.messages += 1;
    daemon.sent.bytes += m_sizer ? m_sizer(outgoing.message) : 0;
    const auto found = m_daemons.find(outgoing.to);
    const double draw = static_cast<double>(m_random() % 1'000'000) / 1e6;
    if (found == m_daemons.end() || !isReachable(daemon, found->second) || draw < m_loss)
        return;

    Daemon &receiver = found->second;
    const std::string host = receiver.place.host;
    const std::uint64_t run = receiver.run;
    m_timers.subscribe(
        m_now + delay(daemon, receiver), [this, host, run, message = outgoing.message](Instant) {
            whenRunning(host, run, [this, host, message] { deliver(host, message); });
        });
}

void VirtualNetwork::performOne(Daemon &daemon, const ReadPlatform &)
{
    ++platform.reads;
    const bool isServed = platform.isUp && !m_withoutPlatform.contains(daemon.place.domain)
        && !m_withoutPlatform.contains(daemon.place.host);
    const std::string host = daemon.place.host;
    const std::uint64_t run = daemon.run;
    const Instant requestedAt = m_now;
    m_timers.subscribe(m_now + (isServed ? platformDelay : platformTimeout), [=, this](Instant) {
        whenRunning(host, run, [=, this, items = platform.listing()] {
            if (isServed)
                answerListing(host, requestedAt, items);
            else
                membership(host).onPlatformFailure(m_now);
        });
    });
}

void VirtualNetwork::performOne(Daemon &daemon, const ApplyItem &applied)
{
    const ItemHeader &header = applied.item.header;
    if (daemon.isTraced)
        note(daemon.place.host + " applies " + header.key.name + " v"
             + std::to_string(header.version.sequence));
}

void VirtualNetwork::performOne(Daemon &daemon, const MemberChanged &changed)
{
    if (daemon.isTraced)
        note(daemon.place.host + " sees " + changed.member.incarnation.value() + " "
             + nameOf(changed.member.state));
}

void VirtualNetwork::performOne(Daemon &daemon, const Superseded &superseded)
{
    if (daemon.isTraced)
        note(daemon.membership->self().incarnation.value() + " is superseded by "
             + superseded.successor.incarnation.value());
}

void VirtualNetwork::schedule(Daemon &daemon)
{
    const Instant due = std::max(daemon.membership->nextDue(), m_now);
    if (due >= daemon.nextTick || due == Instant::max())
        return;

    daemon.nextTick = due;
    const std::string host = daemon.place.host;
    const std::uint64_t run = daemon.run;
    m_timers.subscribe(due, [this, host, run, due](Instant) {
        Daemon &woken = m_daemons.at(host);
        if (woken.run != run || woken.nextTick != due)
            return;
        woken.nextTick = Instant::max();
        if (woken.isPaused)
            return;
        perform(woken, woken.membership->onTick(m_now));
    });
}

void VirtualNetwork::whenRunning(const std::string &host, std::uint64_t run,
                                 std::function<void()> work)
{
    Daemon &daemon = m_daemons.at(host);
    if (daemon.run != run || !daemon.membership)
        return;
    if (daemon.isPaused)
        daemon.inbox.push_back(std::move(work));
    else
        work();
}

bool VirtualNetwork::isReachable(const Daemon &from, const Daemon &to) const
{
    const bool isSameDomain = from.place.domain == to.place.domain;
    const bool isCut =
        m_cutDomains.contains(from.place.domain) || m_cutDomains.contains(to.place.domain);
    const bool isApart = m_areRegionsApart && from.place.region != to.place.region;
    return to.membership && (isSameDomain || !isCut) && !isApart;
}

Duration VirtualNetwork::delay(const Daemon &from, const Daemon &to)
{
    Duration base = interRegionDelay;
    if (from.place.domain == to.place.domain)
        base = domainDelay;
    else if (from.place.region == to.place.region)
        base = regionDelay;
    const auto jitter = static_cast<Duration::rep>(m_random() % 100);
    return base + base * jitter / 1000;
}

} // namespace bulrush::test
