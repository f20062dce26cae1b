#pragma once

#include "standinprocess/childprocess.h"
#include "standinprocess/synchttp.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::test {

/** A backend server to be started. */
struct EntryServer
{
    std::string id;
    std::string service;
    std::string domain = "a";
    bool isKeyed = false;
    int serviceMs = 5;
    int slots = 3;
    bool hangsWhenFull = false;
    /** Where it listens; empty lets the host choose. */
    std::string address = {};
    /** The start of this run that its record tells, in Unix milliseconds; 0: it tells none. */
    std::int64_t startedAtMs = 0;
    /** Work on paths that hold this text ends the server; empty: none does. */
    std::string crashOn = {};
};

/** Work that a backend server did, on the clock that all processes share. */
struct EntryRun
{
    std::string server;
    std::string request;
    std::int64_t key = -1;
    std::int64_t startUs = 0;
    /** Of work that has not ended: the latest there is. */
    std::int64_t endUs = 0;
};

/**
 * The store, backend servers and entry daemons as real processes on loopback addresses. The
 * configuration has the host `shop.example` with `/read/` (idempotent, service catalogue, divided
 * by key), `/pay/` (runs once, service payments) and `/upload/` (service payments). All end with
 * the object. Not thread safe.
 */
class EntryFleet
{
public:
    /** Starts the store with an entrance for each host; nothing else yet. */
    explicit EntryFleet(std::vector<std::string> hosts);
    ~EntryFleet();

    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;

    /** Starts the usual servers: c1 to c4 of catalogue, p1 and p2 of payments. */
    void startServers(int serviceMs = 5);
    void startServer(const EntryServer &server);

    /** Starts the daemon of \a host, again if it has run before. Domains are hosts' first letters.
     */
    void startDaemon(const std::string &host);
    void startDaemons();

    /** Waits until each host serves all of some keys. Throws if that takes a minute. */
    void awaitServing();

    ChildProcess &daemon(const std::string &host);
    ChildProcess &server(const std::string &id);

    /** Writes a server's record, or removes it. */
    void writeRecord(const std::string &id, const std::string &state);
    /** Writes the record of a server that is not of this fleet. */
    void writeRecordOf(const EntryServer &server, const std::string &address,
                       const std::string &state = "ready");
    void removeRecord(const std::string &id);
    /** Removes the row of \a host's daemon, as a planner does that takes it for lost. */
    void removeDaemonRow(const std::string &host);
    /** Writes \a value, which is JSON or not, in the place of the record \a id. */
    void writeRawRecord(const std::string &id, const std::string &value);

    /** Kills the server and starts it again under its id and at its address, keys forgotten. */
    void restartServer(const std::string &id);

    /** Writes the configuration, with further routes, as a new version. */
    void writeConfig(const std::vector<std::string> &furtherPrefixes = {});

    /** Has `/split/` go to services by weight in the configurations that are written from now on.
     */
    void splitTraffic(const std::map<std::string, int> &weights);

    /** Writes \a text, which is JSON, in the place of the configuration. */
    void writeRawConfig(const std::string &text);

    /** \returns the version that was written last. */
    int configVersion() const;

    /** Sets the faults of the store towards \a host, or "*". */
    void setStoreFault(const std::string &host, const std::string &mode, int loseAnswers = 0,
                       int delayWrites = 0);
    void dropHistory();

    /** Has the store lose its next answer to \a host's wait for changes of \a table. */
    void loseFeedAnswer(const std::string &host, const std::string &table);

    /** Has the store answer \a host's reads of \a table after \a delay, by what it was before. */
    void delayReads(const std::string &host, const std::string &table,
                    std::chrono::milliseconds delay);

    /** \returns how many calls \a host's daemon has made to the store. */
    std::uint64_t storeCalls(const std::string &host);

    /** Has the server spoil \a count of its next answers: "lose", "cut", "unframed", "twice". */
    void spoilAnswers(const std::string &id, const std::string &how, int count);

    /** Has the server leave \a count of the next grants and releases unanswered until later. */
    void delayOrders(const std::string &id, int count, std::chrono::milliseconds delay);

    /** \returns the value of the counter \a name of \a host's daemon, or -1 if it has none. */
    std::int64_t counter(const std::string &host, const std::string &name);

    SyncHttpResult send(const std::string &host, const std::string &method, const std::string &path,
                        std::optional<int> key = std::nullopt, const std::string &body = {},
                        int deadlineMs = 4000);
    SyncHttpResult read(const std::string &host, int key);

    /** \returns the id of the request that was sent last. */
    std::string lastRequestId() const;

    /** \returns whether \a host serves \a count keys spread over all. */
    bool servesKeys(const std::string &host, int count = 16);

    /** \returns the server that \a host has a key read from, or "". */
    std::string ownerOf(const std::string &host, int key);

    /** \returns all that servers ran, by start; those that have ended excepted. */
    std::vector<EntryRun> runs();

    /** \returns the lowest, or the highest, fence that the server was granted keys under. */
    std::uint64_t lowestFence(const std::string &id);
    std::uint64_t highestFence(const std::string &id);

    /** \returns the first pair of runs on one key at two servers that overlap, or "". */
    std::string firstOverlap();

    /** \returns the request ids that ran more than once. */
    std::vector<std::string> repeatedRuns();

    /** \returns a page of \a host's daemon for operators. */
    std::string page(const std::string &host, const std::string &path);

    /** Posts to a page of \a host's daemon for operators. \returns the status. */
    int postToPage(const std::string &host, const std::string &path);

    /** \returns the host whose daemon plans, or "". */
    std::string planner();

    std::string callersAddress(const std::string &host);

    /** Calls \a condition until it holds. \returns false if that takes more than a minute. */
    static bool eventually(const std::function<bool()> &condition);

private:
    void removeRow(const std::string &table, const std::string &key);
    Json::Value control(const Json::Value &json);
    Json::Value recordOf(ChildProcess &server);

    std::vector<std::string> m_hosts;
    std::string m_folder;
    std::string m_prefix;
    /** The last number of the first host's address; there are at most eight hosts. */
    int m_firstHost = 1;
    std::unique_ptr<ChildProcess> m_store;
    std::map<std::string, EntryServer> m_kinds;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_servers;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_daemons;
    std::map<std::string, int> m_split;
    int m_version = 0;
    int m_nextRequest = 1;
    SyncHttp m_http;
};

} // namespace bulrush::test
