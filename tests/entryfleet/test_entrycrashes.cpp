#define BOOST_TEST_MODULE EntryCrashes

#include "entryfleet/crashfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

using SendFunction = std::function<void(const std::string &host)>;

/** Threads that keep sending `/read/bad` for key 0 to all hosts concurrently. */
class ConcurrentCallers
{
public:
    explicit ConcurrentCallers(CrashFleet &fleet)
        : m_fleet(fleet)
    {
        constexpr std::size_t count = 12;
        for (std::size_t i = 0; i < count; ++i) {
            SyncHttpRequest request;
            request.method = "GET";
            request.url = fleet.callersAddress(fleet.hosts[i % fleet.hosts.size()]) + "/read/bad";
            request.headers = {{"Host", "shop.example"},
                               {"X-Bulrushswitch-Deadline-Ms", "1200"},
                               {"X-Bulrushswitch-Shard-Key", "0"}};
            m_threads.emplace_back([this, request, i] { call(request, i); });
        }
    }

    ~ConcurrentCallers()
    {
        m_isStopped = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }

    ConcurrentCallers(const ConcurrentCallers &) = delete;
    ConcurrentCallers &operator=(const ConcurrentCallers &) = delete;

private:
    void call(const SyncHttpRequest &prototype, std::size_t caller)
    {
        SyncHttpClient http;
        for (int i = 0; !m_isStopped; ++i) {
            SyncHttpRequest request = prototype;
            request.headers.push_back({"X-Bulrushswitch-Request-Id",
                                       "e" + std::to_string(caller) + '-' + std::to_string(i)});
            m_fleet.recordAnswer(request, http.send(request));
            std::this_thread::sleep_for(100ms);
        }
    }

    CrashFleet &m_fleet;
    std::atomic<bool> m_isStopped{false};
    std::vector<std::thread> m_threads;
};

/** Requests run long enough that copies from all daemons reach a server before it crashes. */
struct SlowCrashFleet : CrashFleet
{
    SlowCrashFleet()
        : CrashFleet(150)
    { }
};

/** Calls \a send for each host in turn during \a span, and restarts crashed servers meanwhile. */
void sendRepeatedly(CrashFleet &fleet, std::chrono::milliseconds span, const SendFunction &send)
{
    const auto end = CrashFleet::Clock::now() + span;
    for (std::size_t i = 0; CrashFleet::Clock::now() < end; ++i) {
        send(fleet.hosts[i % fleet.hosts.size()]);
        fleet.restartCrashedServersFor(300ms);
    }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(readsThatCrashServersAreBlocked, CrashFleet)
{
    sendRepeatedly(*this, 15s, [this](const std::string &host) { send(host, "GET", "/find/bad"); });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(lateCrashes() <= maxLateCrashes, lateCrashes() << " of " << crashes.size());
    restartCrashedServersFor(restartDelay);
    for (const std::string &host : hosts)
        BOOST_TEST(send(host, "GET", "/find/good").status == 200);
}

BOOST_FIXTURE_TEST_CASE(writesThatCrashServersAreBlocked, CrashFleet)
{
    sendRepeatedly(*this, 15s, [this](const std::string &host) {
        send(host, "POST", "/pay/bad", std::nullopt, "amount=1");
    });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(lateCrashes() <= maxLateCrashes, lateCrashes() << " of " << crashes.size());
    restartCrashedServersFor(restartDelay);
    // A request with another path is a different request and is not blocked.
    for (const std::string &host : hosts)
        BOOST_TEST(send(host, "POST", "/pay/good", std::nullopt, "amount=1").status == 200);
}

BOOST_FIXTURE_TEST_CASE(keyedReadsThatCrashOwnersAreBlocked, CrashFleet)
{
    // After each crash it takes some seconds until the key has an owner again.
    sendRepeatedly(*this, 40s,
                   [this](const std::string &host) { send(host, "GET", "/read/bad", 0); });
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(lateCrashes() <= maxLateCrashes, lateCrashes() << " of " << crashes.size());
}

BOOST_FIXTURE_TEST_CASE(waitingCopiesDoNotAllReachTheNextOwnerOfTheirKey, SlowCrashFleet)
{
    const auto failedAttempts = [this] {
        std::int64_t all = 0;
        for (const std::string &host : hosts)
            all += counter(host, "bulrush_attempts_failed_total");
        return all;
    };
    const ConcurrentCallers callers{*this};
    std::int64_t before = 0;
    for (std::size_t ended = 1; ended <= 3; ++ended) {
        const auto end = Clock::now() + 20s;
        while (crashes.size() < ended && Clock::now() < end)
            restartCrashedServersFor(20ms);
        // By then all copies at the server have failed, and all daemons have received the report.
        restartCrashedServersFor(1s);
        const std::int64_t failed = failedAttempts();
        if (ended > 1)
            BOOST_TEST(failed - before <= 2, failed - before << " at server " << ended);
        before = failed;
    }
}

BOOST_FIXTURE_TEST_CASE(rejectionsOfABlockedRequestHaveNoRetryAfter, CrashFleet)
{
    BOOST_REQUIRE(blockFindRequest());
    const std::size_t before = crashes.size();
    for (const std::string &host : hosts) {
        const SyncHttpResult refusal = send(host, "GET", "/find/bad");
        BOOST_TEST(refusal.status == 503);
        BOOST_TEST(!refusal.header("Retry-After").has_value());
    }
    restartCrashedServersFor(500ms);
    BOOST_TEST(crashes.size() == before);
}

BOOST_FIXTURE_TEST_CASE(blocksSurviveARestartOfAllDaemons, CrashFleet)
{
    BOOST_REQUIRE(blockFindRequest());
    for (const std::string &host : hosts)
        daemon(host).kill();
    startDaemons();
    restartCrashedServersFor(restartDelay);
    waitUntilServing();
    const std::size_t before = crashes.size();
    for (const std::string &host : hosts)
        BOOST_TEST(send(host, "GET", "/find/bad").status == 503);
    restartCrashedServersFor(500ms);
    BOOST_TEST(crashes.size() == before);
}

BOOST_FIXTURE_TEST_CASE(liftingABlockAtOneDaemonAppliesToAll, CrashFleet)
{
    BOOST_REQUIRE(blockFindRequest());
    const std::string list = page("a1", "/quarantine");
    const std::string fingerprint = list.substr(0, list.find(' '));
    BOOST_TEST(postToPage("a1", "/quarantine/lift/0123456789abcdef") == 404);
    BOOST_TEST(postToPage("a1", "/quarantine/lift/x") == 400);
    BOOST_TEST(postToPage("a1", "/quarantine/lift/" + fingerprint) == 200);
    BOOST_TEST(eventually([&] {
        return std::ranges::none_of(hosts, [&](const std::string &host) {
            return page(host, "/quarantine").find(fingerprint) != std::string::npos;
        });
    }));
}

BOOST_FIXTURE_TEST_CASE(readsAreNotBlockedWhenTheirServersAreKilledTogether, CrashFleet)
{
    // Slow enough that a request is in flight at each server when it is killed.
    for (const std::string id : {"p7", "p8", "p9"}) {
        ServerSpec slow{id, "payments", "a", false, 1500, 1};
        slow.startedAtMs = 1;
        startServer(slow);
    }
    for (const std::string id : {"p1", "p2", "p3", "p4", "p5", "p6"})
        server(id).kill();
    std::vector<std::thread> readers;
    for (const std::string &host : hosts)
        readers.emplace_back([this, host] {
            SyncHttpClient http;
            SyncHttpRequest request;
            request.url = callersAddress(host) + "/find/popular";
            request.headers = {{"Host", "shop.example"},
                               {"X-Bulrushswitch-Request-Id", "popular-" + host},
                               {"X-Bulrushswitch-Deadline-Ms", "4000"}};
            recordAnswer(request, http.send(request));
        });
    std::this_thread::sleep_for(800ms);
    for (const std::string id : {"p7", "p8", "p9"})
        server(id).kill();
    for (std::thread &reader : readers)
        reader.join();
    restartCrashedServersFor(restartDelay + 500ms);
    for (const std::string &host : hosts) {
        BOOST_TEST(eventually([&] { return send(host, "GET", "/find/popular").status == 200; }));
        BOOST_TEST(page(host, "/quarantine").find(" blocked ") == std::string::npos);
    }
}
