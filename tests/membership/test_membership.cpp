#define BOOST_TEST_MODULE Membership

#include "golden.h"
#include "virtualnetwork.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>
#include <string_view>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Two domains of three daemons each, 10 s after their start. */
class SixDaemons : public VirtualNetwork
{
public:
    SixDaemons()
        : VirtualNetwork(7)
    {
        for (const char *host : {"a1", "a2", "a3", "b1", "b2", "b3"})
            start({host, std::string(1, host[0]), "flanders"}, {"a1", "b1"}, 100);
        runFor(10s);
    }
};

MemberState stateAt(VirtualNetwork &network, const std::string &host, const std::string &of)
{
    for (const MemberRecord &member : network.membership(host).members()) {
        if (member.host == HostName{of})
            return member.state;
    }
    return MemberState::Gone;
}

std::size_t countAt(VirtualNetwork &network, const std::string &host, MemberState state)
{
    return static_cast<std::size_t>(
        std::ranges::count(network.membership(host).members(), state, &MemberRecord::state));
}

bool isStateEverywhere(VirtualNetwork &network, const std::string &of, MemberState state)
{
    return std::ranges::all_of(network.hosts(), [&](const std::string &host) {
        return stateAt(network, host, of) == state;
    });
}

/** \returns whether a daemon whose host name starts with \a domain recorded \a change. */
bool hasRecorded(const std::string &trace, char domain, std::string_view change)
{
    constexpr std::size_t stampWidth = 10;
    std::istringstream lines(trace);
    for (std::string line; std::getline(lines, line);) {
        if (line.at(stampWidth) == domain && line.ends_with(change))
            return true;
    }
    return false;
}

void checkGolden(const char *name, const VirtualNetwork &network)
{
    BOOST_TEST(differenceFromGolden(name, network.trace()) == "");
}

} // namespace

BOOST_AUTO_TEST_CASE(daemonsFindEachOtherFromSeeds)
{
    SixDaemons network;
    for (const std::string &host : network.hosts())
        BOOST_TEST(countAt(network, host, MemberState::Alive) == 6);
    BOOST_TEST(network.membership("a3").reader().host.value() == "a1");
    BOOST_TEST(network.membership("b2").reader().host.value() == "b1");
    checkGolden("membership/join.txt", network);
}

BOOST_AUTO_TEST_CASE(crashedDaemonIsGoneAndReplacedByItsSuccessor)
{
    SixDaemons network;
    network.kill("a1");
    network.note("a1 is killed");
    network.runFor(15s);
    BOOST_TEST(isStateEverywhere(network, "a1", MemberState::Gone));
    BOOST_TEST(network.membership("a3").reader().host.value() == "a2");

    // The host's clock was set back: the new incarnation must still supersede the old one.
    network.note("a1 starts again");
    network.start({"a1", "a", "flanders"}, {"b1"}, 50);
    network.runFor(5s);
    BOOST_TEST(isStateEverywhere(network, "a1", MemberState::Alive));
    BOOST_TEST(network.membership("a1").self().generation > 100U);
    BOOST_TEST(network.membership("b2").isSuperseded() == false);
    checkGolden("membership/lost_and_replaced.txt", network);
}

BOOST_AUTO_TEST_CASE(resumedDaemonRefutesItsStateAndSuspectsNoOther)
{
    SixDaemons network;
    network.pause("b2");
    network.note("b2 is paused");
    network.runFor(30s);
    BOOST_TEST((stateAt(network, "a1", "b2") == MemberState::Gone));

    network.resume("b2");
    network.note("b2 thaws");
    BOOST_TEST(countAt(network, "b2", MemberState::Alive) == 6);
    network.runFor(12s);
    BOOST_TEST(isStateEverywhere(network, "b2", MemberState::Alive));
    for (const std::string &host : network.hosts())
        BOOST_TEST(countAt(network, host, MemberState::Alive) == 6);
    checkGolden("membership/thaw.txt", network);
}

BOOST_AUTO_TEST_CASE(newDaemonIsNotSupersededByItsPredecessorsRecord)
{
    VersionStore versions(Instant{});
    MemberRecord self;
    self.host = HostName{"a1"};
    self.incarnation = Incarnation{"a1#2"};
    self.generation = 50;
    MemberRecord peer;
    peer.host = HostName{"a2"};
    MemberRecord before = self;
    before.incarnation = Incarnation{"a1#1"};
    before.generation = 100;
    Membership membership(MembershipSettings{}, self, versions, Instant{});

    membership.onMessage(Instant{1s}, {peer, Ack{}});
    membership.onMessage(Instant{2s}, {peer, GossipPush{{{before}, {}}}});
    BOOST_TEST(!membership.isSuperseded());
    BOOST_TEST(membership.self().generation == 101U);
}

BOOST_AUTO_TEST_CASE(resumedDaemonWithASuccessorStops)
{
    SixDaemons network;
    network.runFor(60s);
    Membership &old = network.membership("b2");
    const MemberRecord before = old.self();
    MemberRecord successor = before;
    successor.incarnation = Incarnation{"b2#later"};
    successor.generation = before.generation + 1;

    network.deliver("b2", {network.membership("a1").self(), GossipPush{{{successor}, {}}}});
    BOOST_TEST(old.isSuperseded());
    BOOST_TEST(old.onTick(network.now() + 60s).empty());
    BOOST_TEST((old.nextDue() == Instant::max()));

    // Delayed messages of the old incarnation have no effect on other daemons.
    network.deliver("a2", {successor, GossipPush{}});
    network.deliver("a2", {before, GossipPush{}});
    const auto members = network.membership("a2").members();
    BOOST_TEST(std::ranges::count(members, Incarnation{"b2#later"}, &MemberRecord::incarnation)
               == 1);
}

BOOST_AUTO_TEST_CASE(partitionedDomainRecoversWithoutMessageFlood)
{
    SixDaemons network;
    network.cut("b", true);
    network.note("b is cut off");
    network.runFor(60s);
    BOOST_TEST(countAt(network, "a1", MemberState::Alive) == 3);
    BOOST_TEST(countAt(network, "b1", MemberState::Alive) == 3);

    const std::uint64_t before = network.sent("b1").messages;
    network.heal("b");
    network.note("b is back");
    network.runFor(30s);
    for (const std::string &host : network.hosts())
        BOOST_TEST(countAt(network, host, MemberState::Alive) == 6);
    BOOST_TEST(network.sent("b1").messages - before < 30U * 20U);
    // No member that was reachable all the time is recorded as gone due to the other side's
    // reports.
    for (const char *gone : {"a1#1 gone", "a2#2 gone", "a3#3 gone"})
        BOOST_TEST(!hasRecorded(network.trace(), 'a', gone));
    for (const char *gone : {"b1#4 gone", "b2#5 gone", "b3#6 gone"})
        BOOST_TEST(!hasRecorded(network.trace(), 'b', gone));
    checkGolden("membership/domain_cut.txt", network);
}

BOOST_AUTO_TEST_CASE(leavingHostIsAnnouncedAndAnotherReaderTakesOver)
{
    SixDaemons network;
    const std::vector<ListedHost> listed{{HostName{"a1"}, "a1", true}, {HostName{"a2"}, "a2"}};
    network.note("the platform lists a1 as leaving, at b3");
    network.act("b3", [&](Membership &b3) { return b3.onHostList(network.now(), listed); });
    network.runFor(3s);
    BOOST_TEST(isStateEverywhere(network, "a1", MemberState::Leaving));
    BOOST_TEST((network.membership("a1").self().state == MemberState::Leaving));
    BOOST_TEST(network.membership("a1").reader().host.value() == "a2");

    network.note("a1 says goodbye");
    network.act("a1", [&](Membership &a1) { return a1.stop(network.now()); });
    network.kill("a1");
    network.runFor(1s);
    BOOST_TEST(isStateEverywhere(network, "a1", MemberState::Gone));
    checkGolden("membership/leaving.txt", network);
}

BOOST_AUTO_TEST_CASE(pauseDoesNotConfirmSuspicionAndGoneMembersExpire)
{
    VersionStore versions(Instant{});
    MemberRecord self;
    self.host = HostName{"a1"};
    MemberRecord peer;
    peer.host = HostName{"a2"};
    MemberRecord suspect;
    suspect.host = HostName{"a3"};
    Membership membership(MembershipSettings{}, self, versions, Instant{});
    const auto stateOfSuspect = [&] {
        const auto found =
            std::ranges::find(membership.members(), suspect.host, &MemberRecord::host);
        return found == membership.members().end() ? std::nullopt : std::optional(found->state);
    };
    suspect.state = MemberState::Suspected;
    membership.onMessage(Instant{1s}, {peer, GossipPush{{{suspect}, {}}}});

    membership.onTick(Instant{60s});
    BOOST_TEST((stateOfSuspect() == MemberState::Suspected));
    for (Instant now{61s}; now <= Instant{65s}; now += 1s)
        membership.onTick(now);
    BOOST_TEST((stateOfSuspect() == MemberState::Gone));
    membership.onTick(Instant{2h});
    BOOST_TEST(!stateOfSuspect().has_value());
    // A record from a peer that still stores the member does not add it again.
    suspect.state = MemberState::Gone;
    membership.onMessage(Instant{2h}, {peer, GossipPush{{{suspect}, {}}}});
    BOOST_TEST(!stateOfSuspect().has_value());
}

BOOST_AUTO_TEST_CASE(reconnectAttemptsSendNoIndirectPings)
{
    SixDaemons network;
    network.kill("b3");
    network.runFor(20s);
    BOOST_REQUIRE(isStateEverywhere(network, "b3", MemberState::Gone));

    Membership &a1 = network.membership("a1");
    std::size_t attempts = 0;
    std::size_t indirect = 0;
    const Instant end = network.now() + 60s;
    // Messages of a1 are dropped; answers to its pings keep the other members present.
    while (a1.nextDue() < end) {
        const Instant now = a1.nextDue();
        for (const MembershipAction &action : a1.onTick(now)) {
            const auto *sent = std::get_if<OutgoingMessage>(&action);
            if (!sent)
                continue;
            const auto *asked = std::get_if<IndirectPing>(&sent->message.body);
            indirect += asked && asked->target == HostName{"b3"} ? 1 : 0;
            const auto *ping = std::get_if<Ping>(&sent->message.body);
            attempts += ping && sent->to == "b3" ? 1 : 0;
            if (ping && sent->to != "b3")
                a1.onMessage(now,
                             {network.membership(sent->to).self(), Ack{ping->sequence, {}, {}}});
        }
    }
    BOOST_TEST(attempts >= 10U);
    BOOST_TEST(indirect == 0U);
}

BOOST_AUTO_TEST_CASE(recordsMergeTheSameInAnyOrder)
{
    std::vector<MemberRecord> records;
    for (const std::uint64_t generation : {1, 2}) {
        for (const std::uint64_t counter : {0, 1}) {
            for (const MemberState state : {MemberState::Alive, MemberState::Suspected}) {
                MemberRecord record;
                record.host = HostName{"a1"};
                record.generation = generation;
                record.counter = counter;
                record.state = state;
                records.push_back(record);
            }
        }
    }
    const MemberRecord highest = records.back();
    std::mt19937_64 random(3);
    for (int round = 0; round < 200; ++round) {
        std::shuffle(records.begin(), records.end(), random);
        MemberTable table;
        for (const MemberRecord &record : records)
            table.merge(record);
        BOOST_TEST((*table.find(HostName{"a1"}) == highest));
    }
}
