#pragma once

#include "record.h"
#include "store.h"

#include <array>
#include <list>
#include <random>
#include <vector>

#include <sys/types.h>

namespace review {

constexpr int keyCount = 65536;

class Fleet;

struct ServerSpec
{
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    /** Requests for keys run only while the keys are held. */
    bool isSharded = true;
    int slots = 3;
    int queueLimit = 12;
    Milliseconds minWork{150};
    Milliseconds maxWork{300};
    /** Start of the run in the server's record, in Unix milliseconds; 0 if it names none. */
    std::int64_t bornMs = 0;
};

/** One life of a backend server. */
class ServerRun
{
public:
    /** Starts it; \a port 0 selects a free one. Until \a cutUntil it does not reach the store. */
    ServerRun(Fleet &fleet, ServerSpec spec, int port, int number, double cutUntil);
    ~ServerRun();

    const ServerSpec &spec() const;
    int port() const;
    int number() const;

    /** Ends it at once, as a killed process ends: its connections are reset. */
    void kill();
    /** From now on its record is not written. Requests and orders still reach it. */
    void cutFromStore();
    /** Announces in the store that it leaves. */
    void drain();
    /** The next order that takes keys back is preceded by another copy of the answer before. */
    void repeatAnswerBeforeRelease();

    int answerCount() const;

private:
    friend class Fleet;

    struct Work
    {
        int key;
        double since;
    };

    void beat();
    void serve(Connection &connection, const HttpMessage &message);
    void grant(Connection &connection, const HttpMessage &message);
    void release(Connection &connection, const HttpMessage &message);
    void work(Connection &connection, const HttpMessage &message);
    std::string load() const;
    void refuse(Connection &connection, const HttpMessage &message, int status);

    Fleet &m_fleet;
    ServerSpec m_spec;
    const int m_number;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_beats;
    int m_port = 0;

    // Guarded by the fleet's mutex.
    bool m_isUp = true;
    bool m_isDraining = false;
    /** Seconds until which its record is not written. */
    double m_cutUntil = 0.0;
    bool m_repeatsAnswer = false;
    int m_sequence = 0;
    int m_answers = 0;
    int m_waiting = 0;
    std::list<Work> m_running;
    std::array<std::uint64_t, keyCount> m_highestFence{};
    /** When the keys' hold ends, in seconds; 0 once they are released. */
    std::array<double, keyCount> m_heldUntil{};
    /** When the last grant's hold ends or would have ended. */
    std::array<double, keyCount> m_grantedUntil{};
};

struct FleetSettings
{
    std::string folder;
    std::string program;
    std::string recordPath;
    std::vector<std::string> zones;
    int hostsPerZone = 2;
    double heartbeatSeconds = 0.87;
    double drainSeconds = 2.0;
    /** Delay until a written or removed record is visible. */
    double recordLagSeconds = 0.0;
};

/** The store, backend servers and daemons of a small deployment, and the checks of OWNER. */
class Fleet
{
public:
    explicit Fleet(FleetSettings settings);
    ~Fleet();

    /** Writes the configuration: /read/ (safe) to \a sharded, /pay/ (unsafe) to \a plain. */
    void writeConfig(const std::string &sharded, const std::string &plain);
    std::shared_ptr<ServerRun> startServer(const ServerSpec &spec, int port = 0,
                                           double cutUntil = 0.0);
    void startDaemons();
    /** \returns whether every daemon answers requests within \a limit. */
    bool waitUntilServing(Milliseconds limit);

    /** Keeps \a threads clients busy with requests for random keys until the fleet ends. */
    void startClients(int threads);
    void stopClients();

    std::size_t daemonCount() const;
    pid_t daemonPid(std::size_t index) const;
    std::string callersAddress(std::size_t index) const;
    std::string readyAddress(std::size_t index) const;

    int violationCount() const;
    int successCount() const;
    Record &record();

private:
    friend class ServerRun;

    struct Daemon
    {
        std::string host;
        std::string callers;
        std::string operators;
        pid_t pid = -1;
    };

    void violation(const std::string &rule, const std::string &text);
    /** \pre the mutex is locked */
    void checkGrant(ServerRun &holder, int first, int last, std::uint64_t fence);
    void expireRecords();
    void sampleHolders();
    void runClient(int index);
    ClientAnswer readKey(const std::string &address, int key, const std::string &id);

    FleetSettings m_settings;
    Record m_record;
    Store m_store;
    std::vector<Daemon> m_daemons;
    std::atomic<bool> m_isEnding{false};
    std::atomic<bool> m_areClientsEnding{false};
    std::atomic<int> m_violations{0};
    std::atomic<int> m_successes{0};
    std::atomic<int> m_failures{0};
    std::vector<std::thread> m_clients;
    std::thread m_expiry;
    std::thread m_sampler;

    mutable std::recursive_mutex m_mutex;
    std::vector<std::shared_ptr<ServerRun>> m_runs;
    /** When the record of a server was last written, by id. */
    std::map<std::string, double> m_writtenAt;
    struct KeyHistory
    {
        const ServerRun *holder = nullptr;
        std::uint64_t fence = 0;
    };
    std::map<std::string, std::vector<KeyHistory>> m_histories;
};

} // namespace review
