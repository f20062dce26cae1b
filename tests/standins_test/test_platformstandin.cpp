#define BOOST_TEST_MODULE platformstandin
#include "standinprocess/childprocess.h"
#include "standinprocess/rawconnection.h"
#include "standinprocess/synchttpclient.h"

#include <boost/test/unit_test.hpp>
#include <curl/curl.h>

#include <chrono>
#include <string>
#include <thread>

using namespace bulrush::test;

namespace {

struct Platform
{
    Platform()
        : process(BULRUSH_BINARY_DIR "/platform-standin",
                  {"--end-with-parent", "--listen", "antwerp=127.0.0.1:0", "--listen",
                   "gent=127.0.0.1:0", "--hosts-lag-ms", "3600000"})
    { }

    std::string url(const std::string &path, const std::string &listener = "antwerp") const
    {
        return process.address(listener) + path;
    }

    SyncHttpResult post(const std::string &path, const std::string &body,
                        const std::string &listener = "antwerp")
    {
        return http.post(url(path, listener), body);
    }

    /** Writes \a value to the row `t/KEY` if its version is \a version. */
    SyncHttpResult write(const std::string &key, int version, const std::string &value)
    {
        const std::string row = R"({"table":"t","key":")" + key + R"(",)";
        return post("/table/transact",
                    R"({"requestId":"r","writer":"w","conditions":[)" + row + R"("version":)"
                        + std::to_string(version) + R"(}],"writes":[)" + row + R"("value":)" + value
                        + "}]}");
    }

    Json::Value row(const std::string &key, const std::string &listener = "antwerp")
    {
        return post("/table/read", R"({"keys":[{"table":"t","key":")" + key + R"("}]})", listener)
            .json()["rows"][0];
    }

    ChildProcess process;
    SyncHttpClient http;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform, Platform)

BOOST_AUTO_TEST_CASE(checks_versions_and_never_decreases_them)
{
    BOOST_TEST(write("k", 0, R"({"a":1})").json()["versions"][0].asInt() == 1);
    const SyncHttpResult stale = write("k", 0, R"({"a":2})");
    BOOST_TEST(stale.status == 409);
    BOOST_TEST(stale.json()["conflicts"][0]["version"].asInt() == 1);
    BOOST_TEST(stale.json()["conflicts"][0]["value"]["a"].asInt() == 1);

    BOOST_TEST(write("k", 1, "null").json()["versions"][0].asInt() == 2);
    BOOST_TEST(row("k")["version"].asInt() == 0);
    BOOST_TEST(row("k")["value"].isNull());
    BOOST_TEST(write("k", 0, R"({"a":3})").json()["versions"][0].asInt() == 3);
}

BOOST_AUTO_TEST_CASE(writes_all_rows_or_none)
{
    write("one", 0, "1");
    const SyncHttpResult result = post("/table/transact",
                                       R"({"requestId":"r","writer":"w",
            "conditions":[{"table":"t","key":"one","version":1},{"table":"t","key":"two","version":9}],
            "writes":[{"table":"t","key":"one","value":5},{"table":"t","key":"two","value":5}]})");
    BOOST_TEST(result.status == 409);
    BOOST_TEST(result.json()["conflicts"].size() == 1U);
    BOOST_TEST(row("one")["value"].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_requests)
{
    BOOST_TEST(post("/table/transact", "{").status == 400);
    BOOST_TEST(post("/table/transact", R"({"requestId":"r","writer":"w"})").status == 400);
    BOOST_TEST(post("/table/read", R"({"keys":[{"table":"t"}]})").status == 400);
    BOOST_TEST(http.get(url("/nothing")).status == 404);
}

BOOST_AUTO_TEST_CASE(scans_by_prefix_and_after)
{
    for (const char *key : {"a/1", "a/2", "a/3", "b/1"})
        write(key, 0, "1");
    write("a/2", 1, "null");
    const Json::Value all = post("/table/scan", R"({"table":"t","prefix":"a/"})").json()["rows"];
    BOOST_REQUIRE(all.size() == 2U);
    BOOST_TEST(all[0]["key"].asString() == "a/1");
    const Json::Value rest =
        post("/table/scan", R"({"table":"t","prefix":"","after":"a/1","limit":1})").json();
    BOOST_REQUIRE(rest["rows"].size() == 1U);
    BOOST_TEST(rest["rows"][0]["key"].asString() == "a/3");
}

BOOST_AUTO_TEST_CASE(does_not_overwrite_objects)
{
    BOOST_TEST(http.send({"PUT", url("/objects/x/1"), {}, "first"}).status == 201);
    BOOST_TEST(http.send({"PUT", url("/objects/x/1"), {}, "second"}).status == 409);
    BOOST_TEST(http.get(url("/objects/x/1", "gent")).body == "first");
    BOOST_TEST(http.get(url("/objects/x/2")).status == 404);
}

BOOST_AUTO_TEST_CASE(serves_hosts_with_lag)
{
    const std::string change = R"({"hosts":[{"name":"h1","state":"live"}]})";
    BOOST_TEST(post("/_hosts", change).status == 200);
    BOOST_TEST(http.get(url("/hosts")).json()["hosts"].size() == 0U);
    BOOST_TEST(http.get(url("/hosts")).json()["ageMs"].asInt() == 3600000);

    ChildProcess withoutLag{BULRUSH_BINARY_DIR "/platform-standin",
                            {"--end-with-parent", "--listen", "a=127.0.0.1:0"}};
    http.post(withoutLag.address("a") + "/_hosts", change);
    http.post(withoutLag.address("a") + "/_hosts",
              R"({"hosts":[{"name":"h1","state":"leaving"}]})");
    const Json::Value hosts = http.get(withoutLag.address("a") + "/hosts").json()["hosts"];
    BOOST_REQUIRE(hosts.size() == 1U);
    BOOST_TEST(hosts[0]["state"].asString() == "leaving");
}

BOOST_AUTO_TEST_CASE(takes_down_one_listener)
{
    post("/_faults", R"({"listener":"antwerp","mode":"down"})");
    const SyncHttpResult result = write("k", 0, "1");
    BOOST_TEST(result.curlCode == CURLE_GOT_NOTHING);
    BOOST_TEST(row("k", "gent")["version"].asInt() == 0);
    post("/_faults", R"({"listener":"antwerp","mode":"none"})");
    BOOST_TEST(write("k", 0, "1").status == 200);
}

BOOST_AUTO_TEST_CASE(loses_answers_of_writes_that_took_effect)
{
    post("/_faults", R"({"listener":"*","loseAnswers":1})");
    BOOST_TEST(write("k", 7, "1").status == 409);
    BOOST_TEST(write("k", 0, "1").curlCode == CURLE_GOT_NOTHING);
    BOOST_TEST(row("k")["version"].asInt() == 1);
    BOOST_TEST(write("k", 1, "2").status == 200);
}

BOOST_AUTO_TEST_CASE(delays_answers_after_the_effect)
{
    post("/_faults", R"({"listener":"antwerp","mode":"slow","slowMs":3600000})");
    const std::string body = R"({"requestId":"r","writer":"w","conditions":[],
                                 "writes":[{"table":"t","key":"k","value":1}]})";
    RawConnection connection{process.address("antwerp")};
    connection.send("POST /table/transact HTTP/1.1\r\nHost: p\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
    while (row("k", "gent")["version"].asInt() != 1)
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    BOOST_TEST(connection.receiveAvailable().empty());

    post("/_faults", R"({"listener":"antwerp","mode":"slow","slowMs":30})");
    const auto before = std::chrono::steady_clock::now();
    BOOST_TEST(row("k")["version"].asInt() == 1);
    BOOST_TEST((std::chrono::steady_clock::now() - before >= std::chrono::milliseconds{30}));
}

BOOST_AUTO_TEST_CASE(rejects_unknown_faults)
{
    BOOST_TEST(post("/_faults", R"({"listener":"nowhere","mode":"down"})").status == 404);
    BOOST_TEST(post("/_faults", R"({"listener":"*","mode":"odd"})").status == 400);
}

BOOST_AUTO_TEST_CASE(counts_by_listener)
{
    write("k", 0, "1");
    row("k", "gent");
    const Json::Value counters = http.get(url("/_counters")).json()["listeners"];
    BOOST_TEST(counters["antwerp"]["writes"].asInt() == 1);
    BOOST_TEST(counters["antwerp"]["bytesIn"].asInt() > 0);
    BOOST_TEST(counters["gent"]["reads"].asInt() == 1);
    BOOST_TEST(counters["gent"]["writes"].asInt() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
