#include "otherways.h"

#include "process/peermessagecodec.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace bulrush::bench {

namespace {

constexpr double delaySeconds = 0.015;
constexpr double heartbeatSeconds = 1.0;
constexpr double missedHeartbeats = 3;
constexpr std::size_t domains = 5;

PeerMessage heartbeat()
{
    PeerMessage message;
    message.sender.host = HostName{"entry-a100"};
    message.sender.domain = DomainName{"domain-a"};
    message.sender.address = "10.100.200.100:4100";
    message.sender.incarnation = Incarnation{"entry-a100#1764696000000"};
    message.sender.generation = 1764696000000;
    message.body =
        Ping{123456, {0x123456789abcdef0, 0x123456789abcdef0, Duration{5'000'000'000}}, {}};
    return message;
}

/** \returns the cost for a daemon that sends \a sent messages per second and receives as many. */
WayCost costOfMessages(double sent)
{
    const PeerMessage message = heartbeat();
    const auto rounds = static_cast<std::size_t>(std::max(2000.0, sent));
    std::size_t bytes = 0;
    PeerMessage decoded;
    const std::clock_t start = std::clock();
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::string text = io::encodePeerMessage(message);
        bytes += text.size() + overheadBytes;
        if (io::decodePeerMessage(text, decoded))
            return {};
    }
    const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const double each = static_cast<double>(rounds);
    WayCost cost;
    cost.messages = sent;
    cost.bytes = sent * static_cast<double>(bytes) / each;
    cost.coreShare = sent * seconds / each;
    return cost;
}

/** \returns after how many seconds a message arrives that is sent again with each heartbeat. */
double arrival(std::mt19937_64 &random, double loss)
{
    double seconds = delaySeconds;
    while (static_cast<double>(random() % 1'000'000) / 1e6 < loss)
        seconds += heartbeatSeconds;
    return seconds;
}

} // namespace

WayCost costOfAllToAll(std::size_t daemons, double loss)
{
    WayCost cost = costOfMessages(static_cast<double>(daemons - 1));
    std::mt19937_64 random(1);
    for (std::size_t other = 1; other < daemons; ++other)
        cost.secondsUntilAllKnow = std::max(cost.secondsUntilAllKnow, arrival(random, loss));
    return cost;
}

WayCost costOfTree(std::size_t daemons, double loss, bool isRelayLost)
{
    const std::size_t members = daemons / domains;
    const double acks = static_cast<double>(members - 1 + domains - 1);
    const double pings = static_cast<double>(domains - 1);
    WayCost cost = costOfMessages(acks + pings);

    std::mt19937_64 random(1);
    const double toFirstRelay = arrival(random, loss);
    for (std::size_t domain = 0; domain < domains; ++domain) {
        double atRelay = toFirstRelay + (domain == 0 ? 0 : arrival(random, loss));
        if (isRelayLost && domain == domains - 1)
            atRelay += missedHeartbeats * heartbeatSeconds;
        for (std::size_t member = 1; member < members; ++member)
            cost.secondsUntilAllKnow =
                std::max(cost.secondsUntilAllKnow, atRelay + arrival(random, loss));
    }
    return cost;
}

} // namespace bulrush::bench
