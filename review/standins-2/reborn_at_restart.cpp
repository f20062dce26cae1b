/**
 * A fifth of the servers, in one zone, is cut off from the store; these crash and start again under
 * their ids, while one daemon of ten, in their zone, is killed and starts again. This happens eight
 * times, to other servers each time. With TROUBLE=0 the servers are not cut off.
 */
#include "world.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <span>

using namespace world;

namespace {

constexpr int serverCount = 20;
/** A share of 0.2 of the servers. */
constexpr int cutCount = 4;
constexpr int roundCount = 8;
constexpr int daemonCount = 10;
constexpr double heartbeatS = 0.87;
constexpr double workSeconds = 0.2;
constexpr double calmSeconds = 5;
constexpr double serverDownSeconds = 0.1;
constexpr double daemonDownSeconds = 0.15;
constexpr double cutSeconds = 5;
constexpr double watchSeconds = 6;

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record{argc > 2 ? argv[2] : "record.txt"};
    const bool hasTrouble = environment("TROUBLE", "1") != "0";
    const std::string network = drawnNetwork();
    Store store{network + "2", heartbeatS};
    writeConfig(store, 3);
    record.line("heartbeat " + std::to_string(heartbeatS) + " s");

    const std::vector<std::string> zones{"saskatoon-yard", "riverhurst-yard", "regina-yard"};
    std::vector<std::unique_ptr<Server>> servers;
    std::mutex mutex;
    // For each key, the highest fence with which any life of a server took it, and which life.
    struct Taken
    {
        std::uint64_t fence = 0;
        std::string server;
        std::uint64_t born = 0;
    };
    std::vector<Taken> taken(keyCount);
    int broken = 0;
    for (int i = 0; i < serverCount; ++i)
        servers.push_back(std::make_unique<Server>(
            store, record,
            Server::Settings{"i-cat" + std::to_string(i), "catalogue",
                             zones[i / cutCount % zones.size()], network + std::to_string(100 + i),
                             2, true, true, workSeconds}));
    for (const auto &server : servers) {
        server->setGrantObserver([&](const Grant &grant) {
            if (!grant.isAccepted)
                return;
            const std::lock_guard lock{mutex};
            int keys = 0;
            Taken earlier;
            for (unsigned key = grant.first; key <= grant.last; ++key) {
                Taken &last = taken[key];
                const bool isOther = last.server != grant.server || last.born != grant.born;
                if (isOther && grant.fence <= last.fence) {
                    ++keys;
                    earlier = last;
                }
                if (grant.fence >= last.fence)
                    last = {grant.fence, grant.server, grant.born};
            }
            if (keys == 0)
                return;
            ++broken;
            record.line("BROKEN " + grant.server + " born " + std::to_string(grant.born) + " takes "
                        + std::to_string(keys) + " keys with fence " + std::to_string(grant.fence)
                        + ", with which " + earlier.server + " born " + std::to_string(earlier.born)
                        + " had them");
        });
        server->start();
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < daemonCount; ++i) {
        const std::string &zone = zones[i % zones.size()];
        daemons.push_back(std::make_unique<Daemon>(
            store,
            Daemon::Settings{"front-" + zone + '-' + std::to_string(i), zone,
                             network + std::to_string(10 + i), 2.5, 2.5, 6, 164},
            folder));
        daemons.back()->start();
    }
    const auto areAllKeysHeld = [&] {
        for (unsigned key = 0; key < keyCount; key += 256) {
            bool isHeld = false;
            for (const auto &server : servers)
                isHeld = isHeld || server->holds(key);
            if (!isHeld)
                return false;
        }
        return true;
    };
    while (!areAllKeysHeld() && now() < 25)
        sleepFor(0.1);
    if (!areAllKeysHeld()) {
        record.line("cannot run: keys are not held");
        std::_Exit(2);
    }
    record.line("all keys are held");
    sleepFor(calmSeconds);

    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<int> sent = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i));
            while (!isOver) {
                const std::string id = "r" + std::to_string(i) + '-' + std::to_string(sent++);
                const unsigned key = random() % keyCount;
                const Daemon &daemon = *daemons[random() % daemons.size()];
                const auto answer =
                    call(daemon.ip(), daemon.callersPort(), keyedRequest(id, key, 2000), 2.2);
                record.line("answered " + id + " key " + std::to_string(key) + ": "
                            + (answer ? std::to_string(answer->status) : "none"));
                served += answer && answer->status == 200 ? 1 : 0;
                sleepFor(0.2);
            }
        });
    }
    // The moment in the servers' heartbeats is left to chance.
    std::random_device random;
    for (int round = 0; round < roundCount; ++round) {
        sleepFor(0.001 * static_cast<double>(random() % 900));
        record.line("round " + std::to_string(round));
        const int group = round % (serverCount / cutCount);
        const auto cutServers = std::span{servers}.subspan(group * cutCount, cutCount);
        for (const auto &server : cutServers) {
            if (hasTrouble) {
                record.line("server " + server->id() + " is cut off from the store");
                server->setCutFromStore(true);
            }
            server->crash();
        }
        Daemon &daemon = *daemons[group % zones.size()];
        record.line("daemon " + daemon.host() + " is killed");
        daemon.kill();
        sleepFor(serverDownSeconds);
        for (const auto &server : cutServers)
            server->start();
        sleepFor(daemonDownSeconds - serverDownSeconds);
        daemon.start();
        sleepFor(cutSeconds);
        record.line("the cut ends");
        for (const auto &server : cutServers)
            server->setCutFromStore(false);
        sleepFor(watchSeconds);
    }
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    const std::lock_guard lock{mutex};
    record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served)
                + ", rule broken by " + std::to_string(broken) + " grants");
    std::printf("sent %d, served %d, broken by %d grants\n", sent.load(), served.load(), broken);
    daemons.clear();
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : served > sent / 2 ? 0 : 2);
}
