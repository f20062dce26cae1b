#define BOOST_TEST_MODULE backendstandin
#include "standinprocess/childprocess.h"
#include "standinprocess/rawconnection.h"
#include "standinprocess/synchttpclient.h"

#include <boost/test/unit_test.hpp>
#include <curl/curl.h>

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;

namespace {

using Arguments = std::vector<std::string>;

constexpr const char *farFutureDeadline = "9000000000000000";

Arguments addEndWithParentFlag(Arguments arguments)
{
    arguments.emplace_back("--end-with-parent");
    return arguments;
}

/** A backend stand-in process and the requests that the tests send to it. */
struct Backend
{
    explicit Backend(const Arguments &arguments = {})
        : process(BULRUSH_BINARY_DIR "/backend-standin", addEndWithParentFlag(arguments))
    { }

    std::string url(const std::string &path) const
    {
        return process.address() + path;
    }

    SyncHttpResult control(const std::string &call, const std::string &body)
    {
        return http.post(url("/_control/" + call), body);
    }

    Json::Value observed()
    {
        return http.get(url("/_control/observed")).json();
    }

    Json::Value load()
    {
        return http.get(url("/_control/load")).json();
    }

    /** Requests work for the key "k" and waits for the answer. */
    SyncHttpResult work(const std::string &path = "/item", const std::string &fence = "1.1",
                        const std::string &deadline = farFutureDeadline)
    {
        return workAt(url(path), fence, deadline);
    }

    static SyncHttpResult workAt(const std::string &url, const std::string &fence,
                                 const std::string &deadline)
    {
        return SyncHttpClient{}.send({"POST",
                                      url,
                                      {{"X-Bulrush-Service", "catalogue"},
                                       {"X-Bulrush-Key", "k"},
                                       {"X-Bulrush-Fence", fence},
                                       {"X-Bulrush-Request", "r-1"},
                                       {"X-Bulrush-Idempotency-Key", "i-1"},
                                       {"X-Bulrush-Deadline", deadline}},
                                      "body"});
    }

    /** Requests work without waiting for the answer. */
    std::future<SyncHttpResult> startWork(const std::string &path)
    {
        return std::async(std::launch::async,
                          [url = url(path)] { return SyncHttpClient{}.get(url); });
    }

    /** Waits until the reported load shows \a running and \a queued. */
    void waitForLoad(int running, int queued)
    {
        Json::Value now = load();
        while (now["running"].asInt() != running || now["queued"].asInt() != queued) {
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
            now = load();
        }
    }

    ChildProcess process;
    SyncHttpClient http;
};

std::string grantOrder(const std::string &fence, const std::string &begin = "0000000000000000",
                       const std::string &end = "ffffffffffffffff")
{
    const std::size_t dot = fence.find('.');
    return R"({"service":"catalogue","sender":"s","begin":")" + begin + R"(","end":")" + end
        + R"(","fence":{"epoch":)" + fence.substr(0, dot) + R"(,"sequence":)"
        + fence.substr(dot + 1) + "}}";
}

std::string refusalSummary(const SyncHttpResult &result)
{
    return std::to_string(result.status) + " " + result.header("X-Bulrush-Ran").value_or("") + " "
        + result.header("X-Bulrush-Reason").value_or("");
}

} // namespace

BOOST_AUTO_TEST_CASE(echoes_and_logs_the_work)
{
    Backend backend;
    const SyncHttpResult result = backend.work("/item?a=b");
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.header("X-Bulrush-Request").value_or("") == "r-1");
    BOOST_TEST(result.header("X-Bulrush-Ran").value_or("") == "yes");
    BOOST_TEST(result.json()["length"].asInt() == 4);
    BOOST_TEST(result.json()["target"].asString() == "/item?a=b");
    BOOST_TEST(result.json()["xxh3"].asString().size() == 16U);

    const Json::Value log = backend.observed();
    BOOST_REQUIRE(log["observed"].size() == 1U);
    const Json::Value entry = log["observed"][0];
    BOOST_TEST(entry["key"].asString() == "k");
    BOOST_TEST(entry["fence"].asString() == "1.1");
    BOOST_TEST(entry["request"].asString() == "r-1");
    BOOST_TEST(entry["idempotencyKey"].asString() == "i-1");
    BOOST_TEST(entry["endHostUs"].asInt64() >= entry["startHostUs"].asInt64());
}

BOOST_AUTO_TEST_CASE(accepts_large_bodies)
{
    Backend backend;
    std::string body(std::size_t{80} * 1024 * 1024, 'a');
    const SyncHttpResult first = backend.http.send({"PUT", backend.url("/upload"), {}, body});
    BOOST_TEST(first.json()["length"].asUInt64() == body.size());
    body[body.size() / 2] = 'b';
    const SyncHttpResult second = backend.http.send({"PUT", backend.url("/upload"), {}, body});
    BOOST_TEST(second.json()["xxh3"].asString() != first.json()["xxh3"].asString());
}

BOOST_AUTO_TEST_CASE(compares_fences_if_enabled)
{
    Backend backend{{"--checks-fence", "true"}};
    BOOST_TEST(refusalSummary(backend.work()) == "503 no not-owner");
    BOOST_TEST(backend.control("grant", grantOrder("1.2")).status == 200);
    BOOST_TEST(refusalSummary(backend.work("/", "1.1")) == "503 no fence");
    BOOST_TEST(refusalSummary(backend.work("/", "1.3")) == "503 no not-owner");
    BOOST_TEST(backend.work("/", "1.2").status == 200);

    const SyncHttpResult late = backend.control("grant", grantOrder("1.1"));
    BOOST_TEST(late.status == 409);
    BOOST_TEST(late.json()["highest"]["sequence"].asInt() == 2);
    BOOST_TEST(backend.control("revoke", grantOrder("1.1")).status == 200);
    BOOST_TEST(backend.work("/", "1.2").status == 200);
    BOOST_TEST(backend.control("revoke", grantOrder("1.2")).status == 200);
    BOOST_TEST(refusalSummary(backend.work("/", "1.2")) == "503 no fence");
    BOOST_TEST(backend.control("grant", grantOrder("1.2")).status == 409);
    BOOST_TEST(backend.observed()["observed"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(revoke_keeps_ranges_with_higher_fences)
{
    Backend backend{{"--checks-fence", "true"}};
    backend.control("grant", grantOrder("1.1"));
    backend.control("grant", grantOrder("1.2", "4000000000000000", "7fffffffffffffff"));
    backend.control("revoke", grantOrder("1.1"));
    const Json::Value grants = backend.http.get(backend.url("/_control/grants")).json()["grants"];
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants[0]["begin"].asString() == "4000000000000000");
    BOOST_TEST(grants[0]["end"].asString() == "7fffffffffffffff");
    BOOST_TEST(grants[0]["fence"]["sequence"].asInt() == 2);
}

BOOST_AUTO_TEST_CASE(accepts_lower_fences_if_checks_are_disabled)
{
    Backend backend;
    backend.control("grant", grantOrder("2.1"));
    BOOST_TEST(backend.control("grant", grantOrder("1.1")).status == 200);
    BOOST_TEST(backend.work("/", "0.1").status == 200);
}

BOOST_AUTO_TEST_CASE(refuses_work_after_its_deadline_by_its_own_clock)
{
    Backend backend{{"--clock-offset-ms", "-5000000000"}};
    const std::int64_t clock = backend.load()["clockMs"].asInt64();
    BOOST_TEST(clock < 0);
    BOOST_TEST(refusalSummary(backend.work("/", "1.1", std::to_string(clock)))
               == "503 no deadline");
    BOOST_TEST(backend.work("/", "1.1", std::to_string(clock + 60'000)).status == 200);
    BOOST_TEST(backend.work("/", "1.1", "soon").status == 400);
}

BOOST_AUTO_TEST_CASE(queues_and_sheds_work_and_counts_running_work)
{
    Backend backend{{"--slots", "1", "--queue", "1", "--checks-fence", "true"}};
    backend.control("grant", grantOrder("1.1"));
    auto running = std::async(std::launch::async, [&backend] {
        return Backend::workAt(backend.url("/?hold=true"), "1.1", farFutureDeadline);
    });
    backend.waitForLoad(1, 0);
    auto queued = backend.startWork("/");
    backend.waitForLoad(1, 1);
    BOOST_TEST(refusalSummary(backend.work()) == "503 no shed");
    BOOST_TEST(backend.control("revoke", grantOrder("1.1")).json()["running"].asInt() == 1);
    backend.control("release", "");
    BOOST_TEST(running.get().status == 200);
    BOOST_TEST(queued.get().status == 200);
}

BOOST_AUTO_TEST_CASE(cancels_queued_work_when_its_connection_closes)
{
    Backend backend{{"--slots", "1"}};
    auto running = backend.startWork("/?hold=true");
    backend.waitForLoad(1, 0);
    RawConnection caller{backend.process.address()};
    caller.send("GET / HTTP/1.1\r\nHost: b\r\n\r\n");
    backend.waitForLoad(1, 1);
    caller.close();
    backend.waitForLoad(1, 0);
    backend.control("release", "");
    BOOST_TEST(running.get().status == 200);
    BOOST_TEST(backend.observed()["cancelled"].asInt() == 1);
    BOOST_TEST(backend.observed()["done"].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(refuses_new_work_while_draining)
{
    Backend backend;
    auto running = backend.startWork("/?hold=true");
    backend.waitForLoad(1, 0);
    BOOST_TEST(backend.control("drain", "").status == 200);
    BOOST_TEST(refusalSummary(backend.work()) == "503 no draining");
    BOOST_TEST(backend.load()["draining"].asBool());
    backend.control("release", "");
    BOOST_TEST(running.get().status == 200);
}

BOOST_AUTO_TEST_CASE(reports_load_with_lag_and_factor)
{
    Backend late{{"--report-lag-ms", "3600000"}};
    late.control("drain", "");
    BOOST_TEST(!late.load()["draining"].asBool());
    BOOST_TEST(late.load()["ageMs"].asInt() == 3600000);

    Backend scaled{{"--report-lie", "3"}};
    auto running = scaled.startWork("/?hold=true");
    scaled.waitForLoad(3, 0);
    scaled.control("release", "");
    BOOST_TEST(running.get().status == 200);
}

BOOST_AUTO_TEST_CASE(runs_slower_or_refuses_work_while_cold)
{
    Backend backend{{"--cold-ms", "3600000", "--cold-factor", "50"}};
    BOOST_TEST(backend.load()["cold"].asBool());
    BOOST_TEST(backend.work("/?serviceMs=1").status == 200);
    const Json::Value entry = backend.observed()["observed"][0];
    BOOST_TEST(entry["endHostUs"].asInt64() - entry["startHostUs"].asInt64() >= 50'000);

    Backend refusing{{"--cold-ms", "3600000", "--cold-refuses", "true"}};
    BOOST_TEST(refusalSummary(refusing.work()) == "503 no cold");
}

BOOST_AUTO_TEST_CASE(refuses_connections_beyond_the_limit)
{
    Backend backend{{"--connections", "1"}};
    RawConnection held{backend.process.address()};
    RawConnection refused{backend.process.address()};
    BOOST_TEST(refused.receiveUntilClosed().empty());
    BOOST_TEST(held.send("GET /_control/load HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"));
    BOOST_TEST(held.receiveUntilClosed().starts_with("HTTP/1.1 200"));

    // Until the server has detected that `held` is closed, it refuses further connections.
    Json::Value log;
    while (log.isNull())
        log = backend.observed();
    BOOST_TEST(log["connectionsRefused"].asInt() >= 1);
}

BOOST_AUTO_TEST_CASE(injects_answer_faults)
{
    Backend backend;
    const auto behave = [&backend](const std::string &answer) {
        const std::string body = R"({"answer":")" + answer + R"(","lateMs":3600000})";
        BOOST_TEST(backend.control("behave", body).status == 200);
    };
    backend.work("/before");
    behave("cut");
    BOOST_TEST(backend.work().curlCode == CURLE_PARTIAL_FILE);
    behave("reset");
    BOOST_TEST(backend.work().curlCode == CURLE_RECV_ERROR);
    for (const std::string answer : {"silent", "late"}) {
        behave(answer);
        const int done = backend.observed()["done"].asInt();
        RawConnection caller{backend.process.address()};
        caller.send("GET / HTTP/1.1\r\nHost: b\r\n\r\n");
        while (backend.observed()["done"].asInt() == done)
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
        BOOST_TEST(caller.receiveAvailable().empty());
    }
    behave("whole");
    BOOST_TEST(backend.work("/mine").json()["target"].asString() == "/mine");
    behave("crossed");
    BOOST_TEST(backend.http.get(backend.url("/other")).header("X-Bulrush-Request").value_or("")
               == "r-1");
    BOOST_TEST(backend.work("/again").json()["target"].asString() == "/again");
    BOOST_TEST(backend.control("behave", R"({"answer":"odd"})").status == 400);
    BOOST_TEST(backend.observed()["done"].asInt() == 8);
}

BOOST_AUTO_TEST_CASE(refuses_work_that_expired_while_suspended)
{
    Backend backend;
    const std::int64_t clock = backend.load()["clockMs"].asInt64();
    backend.process.stop();
    auto expired = std::async(std::launch::async, [&backend, clock] {
        return SyncHttpClient{}.send(
            {"GET", backend.url("/"), {{"X-Bulrush-Deadline", std::to_string(clock + 100)}}, {}});
    });
    BOOST_TEST((expired.wait_for(std::chrono::milliseconds{150}) == std::future_status::timeout));
    backend.process.resume();
    BOOST_TEST(refusalSummary(expired.get()) == "503 no deadline");
}

BOOST_AUTO_TEST_CASE(terminates_on_a_signal)
{
    Backend backend;
    BOOST_TEST(backend.process.terminate().code.value_or(-1) == 0);
    BOOST_TEST(!backend.process.isRunning());
    Backend other;
    BOOST_TEST(other.process.kill().signal.value_or(0) == SIGKILL);
    BOOST_CHECK_THROW(Backend({"--listen", "nonsense"}), std::runtime_error);
}

BOOST_AUTO_TEST_CASE(terminates_with_the_thread_that_started_it)
{
    std::optional<Backend> backend;
    std::thread{[&backend] {
        backend.emplace();
    }}.join();
    while (backend->process.isRunning())
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    BOOST_TEST(backend->process.kill().code.value_or(-1) == 0);
}
