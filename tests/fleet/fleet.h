#pragma once

#include "standinprocess/childprocess.h"
#include "standinprocess/synchttpclient.h"

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::test {

/** Size and behaviour of a fleet. */
struct FleetShape
{
    int domains = 3;
    int daemonsPerDomain = 2;
    int catalogueServersPerDomain = 2;
    int paymentServersPerDomain = 1;
    bool catalogueChecksFence = true;
    /** Time that a server needs for a request, in milliseconds. */
    int serviceMs = 2;
};

/** A request that a backend server started, with times of the clock that all processes share. */
struct ObservedWork
{
    std::string server;
    std::string key;
    std::string idempotencyKey;
    std::int64_t startUs = 0;
    /** The maximum value if the request still runs. */
    std::int64_t endUs = 0;
};

/**
 * A platform, backend servers and daemons as real processes on separate loopback addresses, with a
 * contract of three operations: GET /catalogue/{item} by key, POST /deposits and PUT
 * /uploads/{name}. The destructor stops all processes. Not thread safe.
 */
class Fleet
{
public:
    /** \a portOffset separates the ports of several fleets in one process. */
    explicit Fleet(FleetShape shape = {}, int portOffset = 0);
    ~Fleet();

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** \returns the hosts, "a1", "a2", "b1" and so on: the domain's letter and a number. */
    std::vector<std::string> hosts() const;

    ChildProcess &daemon(const std::string &host);
    ChildProcess &server(const std::string &name);

    /** Restarts the daemon of \a host as a new incarnation. */
    void restart(const std::string &host);

    /** Sends a request to \a host's daemon. */
    SyncHttpResult request(const std::string &host, SyncHttpRequest request);
    SyncHttpResult get(const std::string &host, const std::string &path);
    SyncHttpResult deposit(const std::string &host, const std::string &idempotencyKey);

    /** \returns a daemon's status page; an empty object if it does not answer. */
    Json::Value status(const std::string &host);

    /** \returns the assignment of \a domain that \a host's daemon has; null if it has none. */
    Json::Value assignment(const std::string &host, const std::string &domain);

    /** \returns the host of \a domain's leader according to the status of host \a asked, or "". */
    std::string leaderOf(const std::string &domain, const std::string &asked);

    /** Sets the platform's faults for the calls of one domain, or of all domains for "*". */
    void setPlatformFault(const std::string &domain, const std::string &mode, int loseAnswers = 0);

    /** Runs `bulrushctl steward release` for \a domain. \returns its exit code. */
    int releaseLeadership(const std::string &domain);

    /** Runs `bulrushctl host leave`. \returns its exit code. */
    int scheduleDeparture(const std::string &host);

    /** Writes \a text as the contract's next version; \returns that version. */
    std::uint64_t putContract(const std::string &text);
    static std::string contractText();

    /** \returns all requests that the servers have started, ordered by start. */
    std::vector<ObservedWork> observed();

    /** \returns how often requests with \a idempotencyKey were started at all servers. */
    int runCountOf(const std::string &idempotencyKey);

    /**
     * \returns a description of the first requests for one key that overlap at two servers, or "".
     */
    std::string firstOverlap();

    /**
     * Calls \a condition until it holds. \returns false after one minute, a limit far above the
     * time needed on any test machine.
     */
    static bool eventually(const std::function<bool()> &condition);

    /** \returns whether the first \a count keys are all served through \a host. */
    bool servesKeys(const std::string &host, int count);

private:
    void startPlatform();
    void startServers();
    void startDaemon(const std::string &host);
    void writeFile(const std::string &name, const std::string &text) const;
    std::string addressOf(const std::string &host) const;
    int indexOf(const std::string &host) const;
    static std::string domainOf(const std::string &host);

    FleetShape m_shape;
    int m_portOffset;
    std::string m_directory;
    std::string m_prefix;
    std::string m_fleetYaml;
    std::unique_ptr<ChildProcess> m_platform;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_servers;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_daemons;
    std::uint64_t m_contractVersion = 0;
    std::string m_lastProblem;
    SyncHttpClient m_http;
};

} // namespace bulrush::test
