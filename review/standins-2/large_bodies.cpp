/**
 * Callers upload bodies of nearly the length that the configuration allows, six at once at each of
 * two daemons, three times over. The platform's limit of memory is enforced here: a daemon that
 * holds more is killed and starts again. With TROUBLE=0 the uploads come one after the other.
 */
#include "world.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace world;

namespace {

constexpr double heartbeatS = 0.87;
/** localNode.limits.memoryMb of the site's machines. */
constexpr long memoryMb = 260;
/** limits.bodyBytes of the configuration is 67,108,864. */
constexpr std::size_t bodyBytes = 60'000'000;
constexpr int uploadCount = 6;
constexpr int roundCount = 3;
constexpr int loadedDaemons = 2;

/** \returns the memory of \a process that no file backs, in megabytes. */
long memoryOf(pid_t process)
{
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("RssAnon:"))
            return std::stol(line.substr(8)) / 1024;
    }
    return 0;
}

/**
 * Sends a request over a new connection at the pace at which six fill the link of a machine, 1,000
 * Mbit/s. \returns the answer, or nothing if there is none.
 */
std::optional<HttpMessage> callPaced(const Daemon &daemon, const std::string &head,
                                     const std::string &body)
{
    constexpr std::size_t pieceBytes = 1'000'000;
    constexpr double pieceSeconds = 0.05;
    const double startedAt = now();
    const int descriptor = connectTo(daemon.ip(), daemon.callersPort(), 1);
    if (descriptor < 0)
        return std::nullopt;
    Connection connection{descriptor};
    bool isSent = connection.send(head);
    for (std::size_t at = 0; isSent && at < body.size(); at += pieceBytes) {
        sleepFor(startedAt + pieceSeconds * static_cast<double>(at / pieceBytes) - now());
        isSent = connection.send(body.substr(at, pieceBytes));
    }
    return connection.read(startedAt + 5.2 - now());
}

std::string uploadRequest(const std::string &id)
{
    return "POST /upload/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: "
        + id + "\r\nX-Bulrushswitch-Deadline-Ms: 5000\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record{argc > 2 ? argv[2] : "record.txt"};
    const bool hasTrouble = environment("TROUBLE", "1") != "0";
    const std::string network = drawnNetwork();
    Store store{network + "2", heartbeatS};
    writeConfig(store, 3);
    const std::vector<std::string> zones{"leuven-lab", "heverlee-depot", "gent-colo"};
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 7; ++i) {
        servers.push_back(std::make_unique<Server>(
            store, record,
            Server::Settings{"i-pay" + std::to_string(i), "payments", zones[i % 3],
                             network + std::to_string(100 + i), 3, false, false, 0.26}));
        servers.back()->start();
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < 3; ++i) {
        daemons.push_back(
            std::make_unique<Daemon>(store,
                                     Daemon::Settings{"front-" + zones[i] + "-1", zones[i],
                                                      network + std::to_string(10 + i)},
                                     folder));
        daemons.back()->start();
    }
    const auto waitUntilReady = [&](const Daemon &daemon) {
        const double until = now() + 10;
        while (now() < until) {
            if (daemon.isReady())
                return true;
            sleepFor(0.05);
        }
        return false;
    };
    for (const auto &daemon : daemons) {
        if (!waitUntilReady(*daemon))
            std::_Exit(2);
    }
    sleepFor(3);

    const std::string body(bodyBytes, 'b');
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::vector<int> ends(loadedDaemons);
    std::vector<std::atomic<long>> peaks(loadedDaemons);
    const auto upload = [&](const Daemon &daemon) {
        const std::string id = "u" + std::to_string(sent++);
        const auto answer = callPaced(daemon, uploadRequest(id), body);
        const int status = answer ? answer->status : 0;
        record.line("answered " + id + " by " + daemon.host() + ": "
                    + (answer ? std::to_string(status) : "none"));
        served += status == 200 ? 1 : 0;
        refused += status == 503 || status == 429 ? 1 : 0;
    };
    for (int round = 0; round < roundCount; ++round) {
        record.line("round " + std::to_string(round));
        std::vector<std::thread> threads;
        std::vector<std::atomic<bool>> isEnded(loadedDaemons);
        for (int i = 0; i < loadedDaemons; ++i) {
            threads.emplace_back([&, i] {
                Daemon &daemon = *daemons[i];
                std::atomic<int> open = uploadCount;
                std::vector<std::thread> callers;
                callers.emplace_back([&] {
                    for (int j = 0; j < uploadCount && !hasTrouble; ++j, --open)
                        upload(daemon);
                });
                for (int j = 0; j < uploadCount && hasTrouble; ++j)
                    callers.emplace_back([&] {
                        upload(daemon);
                        --open;
                    });
                bool isOver = false;
                while (open > 0) {
                    const long memory = memoryOf(daemon.process());
                    peaks[i] = std::max(peaks[i].load(), memory);
                    if (memory > memoryMb && !isOver) {
                        isOver = true;
                        ++ends[i];
                        record.line("BROKEN " + daemon.host() + " holds " + std::to_string(memory)
                                    + " MB, its machine has " + std::to_string(memoryMb)
                                    + ": the platform ends it");
                        daemon.signal(SIGKILL);
                    }
                    sleepFor(0.002);
                }
                for (std::thread &caller : callers)
                    caller.join();
                isEnded[i] = isOver;
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        for (int i = 0; i < loadedDaemons; ++i) {
            if (!isEnded[i])
                continue;
            daemons[i]->kill();
            daemons[i]->start();
        }
        for (const auto &daemon : daemons) {
            if (!waitUntilReady(*daemon)) {
                record.line("cannot run: " + daemon->host() + " is not ready again");
                std::_Exit(2);
            }
        }
        sleepFor(3);
    }
    const bool isBroken = ends[0] >= 3 && ends[1] >= 3;
    const std::string result = "uploads " + std::to_string(sent) + ", served "
        + std::to_string(served) + ", refused " + std::to_string(refused) + ", ends "
        + std::to_string(ends[0]) + " and " + std::to_string(ends[1]) + ", peaks "
        + std::to_string(peaks[0]) + " MB and " + std::to_string(peaks[1]) + " MB";
    record.line(result);
    std::printf("%s\n", result.c_str());
    daemons.clear();
    std::fflush(stdout);
    const bool couldRun = hasTrouble || served == sent;
    std::_Exit(isBroken ? 1 : couldRun ? 0 : 2);
}
