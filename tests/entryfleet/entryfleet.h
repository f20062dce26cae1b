#pragma once

#include "entryfleet/promiseledger.h"
#include "standinprocess/childprocess.h"
#include "standinprocess/synchttpclient.h"

#include <json/value.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::test {

/** Specification of a backend server to start. */
struct ServerSpec
{
    std::string id;
    std::string service;
    std::string domain = "a";
    bool isKeyed = false;
    int serviceMs = 5;
    int slots = 3;
    bool hangsWhenFull = false;
    /** Listen address; if empty, a free port is used. */
    std::string address = {};
    /** Start time in the server's record, in Unix milliseconds; 0 if the record has none. */
    std::int64_t startedAtMs = 0;
    /** Requests whose path contains this text crash the server; if empty, none does. */
    std::string crashOn = {};
    /** Time after its start in which it crashes above coldLimit requests a second; 0: none. */
    int coldMs = 0;
    int coldLimit = 0;
};

/** A request that a backend server ran. Times are on the clock that all processes share. */
struct RequestRun
{
    std::string server;
    std::string request;
    std::int64_t key = -1;
    std::int64_t startUs = 0;
    /** The maximum value if the work has not finished. */
    std::int64_t endUs = 0;
};

/** A request that reached a backend server. */
struct RequestArrival
{
    /** The address of the daemon that sent it. */
    std::string from;
    std::string request;
    std::chrono::microseconds at{};
    /** The server refused it and asked for a pause. */
    bool isRefused = false;
};

/**
 * The store, backend servers and entry daemons as real processes on loopback addresses. The
 * configuration has the host `shop.example` with `/read/` (idempotent, service catalogue, divided
 * by key), `/pay/` (runs once, service payments) and `/upload/` (service payments). The destructor
 * stops all processes. Not thread safe.
 */
class EntryFleet
{
public:
    /** Starts only the store, with one listen address per host for faults that affect one host. */
    explicit EntryFleet(std::vector<std::string> hosts);
    ~EntryFleet();

    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;

    /** Starts the default servers: c1 to c4 of catalogue, p1 and p2 of payments. */
    void startServers(int serviceMs = 5);
    void startServer(const ServerSpec &server);

    /**
     * Starts or restarts the daemon of \a host. The first letter of the host is its failure domain.
     */
    void startDaemon(const std::string &host);
    void startDaemons();

    /** Waits until each host serves a sample of the keys. Throws if that takes a minute. */
    void waitUntilServing();

    ChildProcess &daemon(const std::string &host);
    ChildProcess &server(const std::string &id);

    /** Writes the record of the server \a id with \a state. */
    void writeRecord(const std::string &id, const std::string &state);
    /** Writes the record of a server that this fleet did not start. */
    void writeRecordOf(const ServerSpec &server, const std::string &address,
                       const std::string &state = "ready");
    void removeRecord(const std::string &id);
    /** Rewrites the record of \a id and removes it, so that one answer has both changes. */
    void rewriteAndRemoveRecord(const std::string &id);
    /** Removes the row of \a host's daemon, as a planner does when it considers the daemon lost. */
    void removeDaemonRow(const std::string &host);
    /** Writes the operators' row that evacuates the failure domain \a domain, or removes it. */
    void evacuate(const std::string &domain);
    void endEvacuation(const std::string &domain);
    /** Writes \a value, which may be invalid JSON, as the record \a id. */
    void writeRawRecord(const std::string &id, const std::string &value);

    /** Kills the server and restarts it with the same id and address, without its keys. */
    void restartServer(const std::string &id);
    /** The same, but it does not reach the store: the record of its previous run stays. */
    void restartServerBehindCut(const std::string &id);

    /** Writes the configuration as a new version, with an additional route for each prefix. */
    void writeConfig(const std::vector<std::string> &additionalPrefixes = {});

    /**
     * Adds the route `/split/` to all configurations written from now on. It splits traffic between
     * services by \a weights.
     */
    void splitTraffic(const std::map<std::string, int> &weights);

    /** Adds the route \a prefix of \a kind to all configurations written from now on. */
    void addRoute(const std::string &prefix, const std::string &kind, const std::string &service,
                  std::chrono::seconds timeout = std::chrono::seconds{3});

    /**
     * Adds to all configurations written from now on that servers bear \a rate requests a second
     * for \a duration after their start.
     */
    void limitColdServers(double rate, std::chrono::milliseconds duration);

    /** Writes \a text, which must be JSON, as the configuration. */
    void writeRawConfig(const std::string &text);

    /** \returns the configuration version that was written last. */
    int configVersion() const;

    /** Sets the faults that the store simulates for \a host, or for all hosts if it is "*". */
    void setStoreFault(const std::string &host, const std::string &mode, int loseAnswers = 0,
                       int delayWrites = 0);
    /** Deletes the change history of the store. */
    void dropHistory();
    /** Makes the store keep a copy of its rows for restoreStoreCopy(). */
    void keepStoreCopy();
    /**
     * Makes the store replace its rows by the copy. What was written since the copy is gone,
     * versions are given out again, and the store's era rises by one. Calls that wait for changes
     * lose their connections, or are never answered if \a areWaitsHanging.
     */
    void restoreStoreCopy(bool areWaitsHanging = false);

    /** Makes the store drop its next answer to \a host's request for changes of \a table. */
    void loseFeedAnswer(const std::string &host, const std::string &table);

    /** Makes the store answer \a host's reads of \a table only after \a delay, with old content. */
    void delayReads(const std::string &host, const std::string &table,
                    std::chrono::milliseconds delay);

    /** \returns the number of calls that \a host's daemon has made to the store. */
    std::uint64_t storeCalls(const std::string &host);

    /**
     * Makes the server send \a count of its next answers with the fault \a mode: "lose", "cut",
     * "unframed", "twice" or "deny", which states falsely that the request did not run.
     */
    void injectAnswerFaults(const std::string &id, const std::string &mode, int count);

    /**
     * Makes the server leave \a count of the next grants and releases unanswered, and execute them
     * only after \a delay.
     */
    void delayOrders(const std::string &id, int count, std::chrono::milliseconds delay);

    /**
     * Makes the server name \a limit, a number of requests per second, in each of its answers; none
     * if it is empty.
     */
    void nameLimit(const std::string &id, const std::string &limit);

    /**
     * Makes the server refuse all requests with \a retryAfter, the seconds for which it wants no
     * more from the sender; it serves again if \a retryAfter is empty.
     */
    void askForBackoff(const std::string &id, const std::string &retryAfter);

    /**
     * Makes the server refuse the next \a count requests with the statement that they did not run.
     * If \a isTwice, it sends each of these refusals again later, on the same connection.
     */
    void refuseRequests(const std::string &id, int count, bool isTwice);

    /** Makes the server announce in each of its answers that it leaves. */
    void announceLeaving(const std::string &id);

    /** Which connections between daemons and a server a partition affects. */
    enum class Partition {
        AllConnections,
        NewConnections, ///< connections that are open already keep working
        ResetOpen,      ///< open connections are reset, and new ones hang
    };

    /** Partitions the daemons of \a hosts, and no others, from the server; their packets are lost.
     */
    void partition(const std::string &id, const std::vector<std::string> &hosts,
                   Partition kind = Partition::AllConnections);

    /** \returns the value of the metric \a name of \a host's daemon, or -1 if there is none. */
    std::int64_t counter(const std::string &host, const std::string &name);

    SyncHttpResult send(const std::string &host, const std::string &method, const std::string &path,
                        std::optional<int> key = std::nullopt, const std::string &body = {},
                        int deadlineMs = 4000);
    SyncHttpResult read(const std::string &host, int key);

    /** Records in the ledger what a caller got by another way than send(). Thread safe. */
    void recordAnswer(const SyncHttpRequest &request, const SyncHttpResult &result);

    /** \returns the answers of callers and the runs of all servers, also of those that ended. */
    const PromiseLedger &ledger() const;

    /** \returns the prefixes of the paths of requests that may run once. */
    const std::vector<std::string> &runOncePrefixes() const;

    /** \returns the request that send() sends, with a new id. May be called by several threads. */
    SyncHttpRequest makeRequest(const std::string &host, const std::string &method,
                                const std::string &path, std::optional<int> key,
                                const std::string &body, int deadlineMs);

    /** \returns the id of the most recent request. */
    std::string lastRequestId() const;

    /** \returns whether \a host serves \a count keys that are spread over the key space. */
    bool servesKeys(const std::string &host, int count = 16);

    /** \returns the server that answers a read of \a key through \a host, or "". */
    std::string ownerOf(const std::string &host, int key);

    /** \returns all requests that running servers have run, sorted by start. */
    std::vector<RequestRun> runs();

    /** \returns all requests that reached the running server \a id, in order. */
    std::vector<RequestArrival> arrivals(const std::string &id);

    /** \returns the lowest (highest) fence of the grants that the server received. */
    std::uint64_t lowestFence(const std::string &id);
    std::uint64_t highestFence(const std::string &id);

    /** \returns the first two runs for one key at different servers that overlap, or "". */
    std::string firstOverlap();

    /** \returns the ids of requests that ran more than once. */
    std::vector<std::string> repeatedRuns();

    /** \returns an operators' page of \a host's daemon. */
    std::string page(const std::string &host, const std::string &path);

    /** Posts to an operators' page of \a host's daemon. \returns the status. */
    int postToPage(const std::string &host, const std::string &path);

    /** \returns the host whose daemon is the planner, or "". */
    std::string planner();

    std::string callersAddress(const std::string &host);

    /** Polls \a condition until it holds. \returns false after one minute. */
    static bool eventually(const std::function<bool()> &condition);

private:
    void startServerProcess(const ServerSpec &server);
    std::string addressOf(const std::string &host) const;
    void removeRow(const std::string &table, const std::string &key);
    Json::Value control(const Json::Value &json);
    Json::Value recordOf(ChildProcess &server);
    Json::Value recordJson(const ServerSpec &server, const std::string &address,
                           const std::string &state);

    std::vector<std::string> m_hosts;
    std::string m_folder;
    std::string m_prefix;
    /** Last byte of the first host's address. A fleet has at most eight hosts. */
    int m_firstHost = 1;
    std::unique_ptr<PromiseLedger> m_ledger;
    std::unique_ptr<ChildProcess> m_store;
    std::map<std::string, ServerSpec> m_serverSpecs;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_servers;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_daemons;
    std::map<std::string, int> m_split;
    std::vector<Json::Value> m_additionalRoutes;
    std::vector<std::string> m_runOncePrefixes{"/pay/", "/upload/", "/split/"};
    double m_coldRate = 0.0;
    std::chrono::milliseconds m_coldDuration{0};
    int m_version = 0;
    /** Number of the next write of a server's record. */
    int m_nextRecordWrite = 1;
    std::atomic<int> m_nextRequest{1};
    SyncHttpClient m_http;
};

inline const PromiseLedger &EntryFleet::ledger() const
{
    return *m_ledger;
}

inline const std::vector<std::string> &EntryFleet::runOncePrefixes() const
{
    return m_runOncePrefixes;
}

} // namespace bulrush::test
