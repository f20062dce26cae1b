#define BOOST_TEST_MODULE VersionStore

#include "golden.h"
#include "virtualnetwork.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

const std::string contractName = "leuvensport";

VersionedItem contract(std::uint64_t version, std::string body)
{
    return makeItem({ItemKind::Contract, contractName}, {0, version}, std::move(body));
}

/** Two domains of three daemons each that hold version 1. */
class SixDaemons : public VirtualNetwork
{
public:
    SixDaemons()
        : VirtualNetwork(11)
    {
        platform.put(contractName, 0, "rate: 10");
        for (const char *host : {"a1", "a2", "a3", "b1", "b2", "b3"})
            start({host, std::string(1, host[0]), "flanders"}, {"a1", "b1"}, 100);
        runFor(10s);
        BOOST_REQUIRE(holdersOf(contractName, 1) == 6);
    }
};

void logHeldVersions(VirtualNetwork &network)
{
    for (const std::string &host : network.hosts()) {
        const bool isConfirmed = network.versions(host).currentAsOf().has_value();
        const auto unconfirmed = network.versions(host).unconfirmedDuration(network.now());
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(unconfirmed).count();
        network.note(host + " holds v" + std::to_string(network.versionAt(host, contractName))
                     + (isConfirmed ? ", unsure for " : ", never sure for ")
                     + std::to_string(seconds) + " s");
    }
}

void checkGolden(const char *name, const VirtualNetwork &network)
{
    BOOST_TEST(differenceFromGolden(name, network.trace()) == "");
}

} // namespace

BOOST_AUTO_TEST_CASE(acceptedChangeIsInForceEverywhereWithinTwoSeconds)
{
    SixDaemons network;
    network.note("version 2 is accepted");
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    network.runFor(2s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 6);
    checkGolden("versionstore/change.txt", network);
}

BOOST_AUTO_TEST_CASE(oneReaderOfADomainReadsThePlatform)
{
    SixDaemons network;
    const std::uint64_t before = network.platform.reads;
    network.runFor(30s);
    const std::uint64_t reads = network.platform.reads - before;
    BOOST_TEST(reads >= 58U);
    BOOST_TEST(reads <= 62U);
}

BOOST_AUTO_TEST_CASE(backupReaderReplacesAReaderWithoutPlatform)
{
    SixDaemons network;
    network.cut("b", true);
    network.cutFromPlatform("a1");
    network.note("a is alone, and its reader a1 can't reach the platform");
    network.runFor(10s);
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    network.runFor(10s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 3);

    BOOST_REQUIRE(network.platform.put(contractName, 2, "rate: 30"));
    network.note("version 3 is accepted; a2 goes on reading");
    network.runFor(2s);
    BOOST_TEST(network.holdersOf(contractName, 3) == 3);
    checkGolden("versionstore/reader_cut.txt", network);
}

BOOST_AUTO_TEST_CASE(unavailablePlatformIsNotFlooded)
{
    VirtualNetwork network(5);
    for (int number = 0; number < 30; ++number)
        network.start({"a" + std::to_string(100 + number), "a", "flanders"}, {"a100"}, 100, false);
    network.runFor(30s);
    network.platform.isUp = false;
    std::uint64_t maxReadsPerSecond = 0;
    for (int second = 0; second < 300; ++second) {
        const std::uint64_t before = network.platform.reads;
        network.runFor(1s);
        maxReadsPerSecond = std::max(maxReadsPerSecond, network.platform.reads - before);
    }
    BOOST_TEST(maxReadsPerSecond <= 10U);

    const std::uint64_t before = network.platform.reads;
    network.runFor(1min);
    // The reader and two backup readers read at most once a second, the others twice a minute.
    BOOST_TEST(network.platform.reads - before <= 3U * 60U + 27U * 2U);
    BOOST_TEST(network.platform.reads - before >= 60U);
}

BOOST_AUTO_TEST_CASE(oldCopiesAreNotAppliedAndConfirmNothing)
{
    SixDaemons network;
    const Instant requestedAt = network.now();
    const std::vector<VersionedItem> oldListing = network.platform.listing();
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    network.runFor(3s);

    network.note("a slow platform answers a1 and b2 with its old copy");
    const std::optional<Instant> confirmedBefore = network.versions("b2").currentAsOf();
    network.answerListing("a1", network.now(), oldListing);
    network.answerListing("b2", network.now(), oldListing);
    network.answerListing("b3", requestedAt, oldListing);
    BOOST_TEST((network.versions("b2").currentAsOf() == confirmedBefore));
    BOOST_TEST(network.versions("b2").counters().outdatedListings == 1U);

    network.note("an old peer sends version 1");
    network.deliver("b2", {network.membership("a1").self(), Items{{contract(1, "rate: 10")}}});
    network.deliver("b2", {network.membership("a1").self(), Items{{contract(2, "rate: 99")}}});
    VersionedItem broken = contract(3, "rate: 30");
    broken.body = std::make_shared<const std::string>("rate: 3");
    network.deliver("b2", {network.membership("a1").self(), Items{{broken}}});
    network.runFor(5s);
    logHeldVersions(network);
    BOOST_TEST(network.versions("b2").counters().conflictingOffers == 1U);
    BOOST_TEST(*network.versions("b2").find({ItemKind::Contract, contractName})->body
               == "rate: 20");
    checkGolden("versionstore/old_copies.txt", network);
}

BOOST_AUTO_TEST_CASE(newDaemonIsUnconfirmedUntilAPeerAnswers)
{
    SixDaemons network;
    network.platform.isUp = false;
    network.cut("b", true);
    network.kill("b1");
    network.kill("b2");
    network.kill("b3");
    network.note("b1 starts alone, without a platform");
    network.start({"b1", "b", "flanders"}, {"a1", "b2"}, 200);
    network.deliver("b1", {network.membership("a1").self(), Items{{contract(1, "rate: 10")}}});
    network.runFor(20s);
    logHeldVersions(network);
    BOOST_TEST(!network.versions("b1").currentAsOf().has_value());
    BOOST_TEST((network.versions("b1").unconfirmedDuration(network.now()) == 20s));

    network.note("b is back, the platform is not");
    network.heal("b");
    network.runFor(10s);
    logHeldVersions(network);
    BOOST_TEST(network.versions("b1").currentAsOf().has_value());
    BOOST_TEST((network.versions("b1").unconfirmedDuration(network.now()) > 30s));
    checkGolden("versionstore/fresh.txt", network);
}

BOOST_AUTO_TEST_CASE(resumedDaemonAppliesTheNewVersionAndRevertsNoOther)
{
    SixDaemons network;
    network.pause("a1");
    network.note("a1, the reader, is paused");
    network.runFor(20s);
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    network.runFor(4s);
    BOOST_TEST(network.holdersOf(contractName, 2) == 5);

    network.note("a1 thaws");
    network.resume("a1");
    BOOST_TEST((network.versions("a1").unconfirmedDuration(network.now()) > 20s));
    network.runFor(3s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 6);
    checkGolden("versionstore/thaw.txt", network);
}

BOOST_AUTO_TEST_CASE(oneOfTwoConcurrentChangesIsAppliedEverywhere)
{
    SixDaemons network;
    BOOST_TEST(network.platform.put(contractName, 1, "rate: 20"));
    BOOST_TEST(!network.platform.put(contractName, 1, "rate: 30"));
    network.note("one of two changes of version 1 is accepted");
    network.runFor(2s);
    for (const std::string &host : network.hosts()) {
        const VersionedItem *held = network.versions(host).find({ItemKind::Contract, contractName});
        BOOST_TEST(*held->body == "rate: 20");
        BOOST_TEST(network.versions(host).counters().conflictingOffers == 0U);
    }
    checkGolden("versionstore/two_operators.txt", network);
}

BOOST_AUTO_TEST_CASE(changeReadByOneDaemonIsDistributedWhileThePlatformIsDown)
{
    SixDaemons network;
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    const Instant requestedAt = network.now();
    const std::vector<VersionedItem> listing = network.platform.listing();
    network.platform.isUp = false;
    network.note("the platform answers b1 and goes down");
    network.answerListing("b1", requestedAt, listing);
    network.runFor(2s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 6);

    network.runFor(40s);
    network.note("the platform is still down");
    logHeldVersions(network);
    for (const std::string &host : network.hosts())
        BOOST_TEST((network.versions(host).unconfirmedDuration(network.now()) > 41s));
    checkGolden("versionstore/platform_down.txt", network);
}

BOOST_AUTO_TEST_CASE(partitionedDomainReportsUnconfirmedDataAndCatchesUp)
{
    SixDaemons network;
    network.note("b is cut off");
    network.cut("b", true);
    network.runFor(20s);
    BOOST_REQUIRE(network.platform.put(contractName, 1, "rate: 20"));
    network.runFor(20s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 3);
    BOOST_TEST((network.versions("b2").unconfirmedDuration(network.now()) > 39s));

    network.note("b is back");
    network.heal("b");
    network.runFor(5s);
    logHeldVersions(network);
    BOOST_TEST(network.holdersOf(contractName, 2) == 6);
    BOOST_TEST((network.versions("b2").unconfirmedDuration(network.now()) < 6s));
    checkGolden("versionstore/domain_cut.txt", network);
}

BOOST_AUTO_TEST_CASE(assignmentIsDistributedWithoutThePlatformAndNeverReverted)
{
    SixDaemons network;
    network.platform.isUp = false;
    const ItemKey key{ItemKind::Assignment, "a"};
    const auto publish = [&](const char *host, Fence version) {
        network.act(host, [&](Membership &membership) {
            return membership.publish(network.now(), makeItem(key, version, "slices"));
        });
    };
    publish("a2", {4, 9});
    network.runFor(1s);
    publish("b1", {3, 50});
    network.runFor(1s);
    for (const std::string &host : network.hosts())
        BOOST_TEST((network.versions(host).find(key)->header.version == Fence{4, 9}));
}

BOOST_AUTO_TEST_CASE(partitionedDomainFetchesMissedItemsFromPeers)
{
    SixDaemons network;
    network.platform.isUp = false;
    network.cut("b", true);
    const VersionedItem item = makeItem({ItemKind::Assignment, "a"}, {4, 9}, "slices");
    network.act("a1", [&](Membership &a1) { return a1.publish(network.now(), item); });
    network.runFor(30s);
    BOOST_TEST(!network.versions("b1").find(item.header.key));

    network.heal("b");
    network.runFor(10s);
    for (const std::string &host : network.hosts())
        BOOST_TEST(network.versions(host).find(item.header.key));
}

BOOST_AUTO_TEST_CASE(peerConfirmsOnlyEqualItems)
{
    VersionStore versions(Instant{});
    MemberRecord self;
    self.host = HostName{"a1"};
    MemberRecord peer;
    peer.host = HostName{"a2"};
    MembershipSettings settings;
    settings.seeds = {"a2"};
    Membership membership(settings, self, versions, Instant{});
    const auto pingAndAnswer = [&](Instant now, std::uint64_t items) {
        for (const MembershipAction &action : membership.onTick(now)) {
            const auto *sent = std::get_if<OutgoingMessage>(&action);
            const Ping *ping = sent ? std::get_if<Ping>(&sent->message.body) : nullptr;
            if (ping)
                membership.onMessage(now + 100ms, {peer, Ack{ping->sequence, {0, items, 7s}, {}}});
        }
    };
    const std::uint64_t held = versions.digest().combined();
    pingAndAnswer(Instant{10s}, held + 1);
    BOOST_TEST(!versions.currentAsOf().has_value());
    pingAndAnswer(Instant{20s}, held);
    BOOST_REQUIRE(versions.currentAsOf().has_value());
    // Computed from the time of the request and the drift bound, so it is never too late.
    BOOST_TEST((*versions.currentAsOf() <= Instant{13s}));
    BOOST_TEST((*versions.currentAsOf() > Instant{12s}));
}

BOOST_AUTO_TEST_CASE(unansweredFetchIsRetriedALimitedNumberOfTimes)
{
    VersionStore versions(Instant{});
    MemberRecord self;
    self.host = HostName{"a1"};
    MemberRecord peer;
    peer.host = HostName{"a2"};
    peer.address = "a2";
    Membership membership(MembershipSettings{}, self, versions, Instant{});
    const GossipUpdate news{{}, {contract(2, "rate: 20").header}};

    std::vector<Instant> fetches;
    const auto collect = [&](Instant now, const MembershipActions &actions) {
        for (const MembershipAction &action : actions) {
            const auto *sent = std::get_if<OutgoingMessage>(&action);
            if (sent && std::holds_alternative<Fetch>(sent->message.body))
                fetches.push_back(now);
        }
    };
    collect(Instant{}, membership.onMessage(Instant{}, {peer, GossipPush{news}}));
    while (membership.nextDue() < Instant{10s}) {
        const Instant now = membership.nextDue();
        collect(now, membership.onTick(now));
    }
    BOOST_REQUIRE(fetches.size() == 5U);
    BOOST_TEST((fetches[1] == Instant{250ms}));
    BOOST_TEST((fetches[4] == Instant{1s}));
}

BOOST_AUTO_TEST_CASE(bytesServedPerSecondAreBounded)
{
    VersionStore versions(Instant{});
    MemberRecord self;
    self.host = HostName{"a1"};
    MemberRecord peer;
    peer.host = HostName{"a2"};
    MembershipSettings settings;
    settings.fetchByteLimit = 2500;
    Membership membership(settings, self, versions, Instant{});
    Fetch fetch;
    for (const char *name : {"x", "y", "z"}) {
        const ItemKey key{ItemKind::Contract, name};
        versions.offer(makeItem(key, {0, 1}, std::string(1000, 'c')));
        fetch.keys.push_back(key);
    }
    const auto served = [&](Instant now) {
        std::size_t items = 0;
        for (const MembershipAction &action : membership.onMessage(now, {peer, fetch})) {
            const auto *sent = std::get_if<OutgoingMessage>(&action);
            const Items *answer = sent ? std::get_if<Items>(&sent->message.body) : nullptr;
            items += answer ? answer->items.size() : 0;
        }
        return items;
    };
    BOOST_TEST(served(Instant{10s}) == 2U);
    BOOST_TEST(served(Instant{10s + 500ms}) == 0U);
    BOOST_TEST(served(Instant{11s}) == 2U);
}
