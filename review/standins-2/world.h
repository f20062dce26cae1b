#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/**
 * Stand-ins for the platform's store, for backend servers that hold keys and for callers, and the
 * processes of the daemons under test. Everything listens on loopback addresses.
 */
namespace world {

constexpr unsigned keyCount = 65'536;

/** \returns the seconds since the program started, by the steady clock. */
double now();

void sleepFor(double seconds);

/** The file that a case leaves behind. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct HttpMessage
{
    /** Request line or status line. */
    std::string start;
    std::string method;
    std::string target;
    int status = 0;
    /** Names are in lower case. */
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
};

/** One connection, used by one thread at a time. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** \returns the next message, or nothing if the connection ended or \a seconds are over. */
    std::optional<HttpMessage> read(double seconds, bool isHead = false);
    bool send(const std::string &bytes);
    /** Ends the connection with a reset, from any thread. */
    void reset();

    /** The last answer that was sent here, for servers that send an answer twice. */
    std::string lastAnswer;

private:
    bool fill(double until);

    int m_descriptor;
    std::atomic<bool> m_isReset = false;
    std::string m_bytes;
};

/** Accepts connections; each is served by a thread of its own. */
class Listener
{
public:
    using Handler = std::function<void(Connection &, const HttpMessage &)>;

    /** Opens \a ip at \a port; 0 draws a free one. Ends the program if that fails. */
    Listener(const std::string &ip, int port, Handler handler);
    ~Listener();

    int port() const
    {
        return m_port;
    }
    /** Closes the address and resets all connections. */
    void stop();

private:
    void accept();
    void serve(const std::shared_ptr<Connection> &connection);

    Handler m_handler;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::atomic<int> m_threadCount = 0;
    std::thread m_thread;
};

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                     const std::string &body = {});

/** The platform's store: rows, transactions and feeds, and the lapse of servers' entries. */
class Store
{
public:
    Store(const std::string &ip, double heartbeat);
    ~Store();

    std::string address() const;
    double heartbeat() const
    {
        return m_heartbeat;
    }
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** Writes a server's entry; the row changes only if \a content does, as \a seq always does. */
    void beat(const std::string &id, const std::string &content, std::uint64_t seq);
    bool hasRow(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    struct Entry
    {
        std::string content;
        double beatAt = 0;
    };

    void serve(Connection &connection, const HttpMessage &request);
    void transact(Connection &connection, const HttpMessage &request);
    void get(Connection &connection, const std::map<std::string, std::string> &query);
    void follow(Connection &connection, const std::map<std::string, std::string> &query);
    std::uint64_t write(std::vector<Row> rows);
    void removeLapsedEntries();

    std::string m_ip;
    double m_heartbeat;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Row> m_changes;
    std::uint64_t m_version = 0;
    std::map<std::string, Entry> m_entries;
    std::atomic<bool> m_isStopped = false;
    std::unique_ptr<Listener> m_listener;
    std::thread m_lapses;
};

/** A grant as it arrived at a server. */
struct Grant
{
    std::string server;
    std::uint64_t born = 0;
    unsigned first = 0;
    unsigned last = 0;
    std::uint64_t fence = 0;
    double hold = 0;
    double at = 0;
    bool isAccepted = false;
};

/** A backend server. It can crash and start again under its id and address. */
class Server
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        unsigned slots = 3;
        bool isKeyed = true;
        /** Whether the entry has `born`, as servers have that start again under their id. */
        bool hasBorn = false;
        double workSeconds = 0.2;
    };
    using GrantObserver = std::function<void(const Grant &)>;
    /**
     * Asked when a release arrives while work on its keys is running; if it returns true, the last
     * answer on the connection is sent again.
     */
    using ReleaseFault = std::function<bool(const std::string &server)>;

    Server(Store &store, Record &record, Settings settings);
    ~Server();

    const std::string &id() const
    {
        return m_settings.id;
    }
    std::string address() const;
    void setGrantObserver(GrantObserver observer)
    {
        m_observer = std::move(observer);
    }
    void setReleaseFault(ReleaseFault fault)
    {
        m_releaseFault = std::move(fault);
    }
    void start();
    /** Ends this life: its connections are reset, its work is lost. */
    void crash();
    void setCutFromStore(bool isCut)
    {
        m_isCut = isCut;
    }
    /** Reports that it leaves, and goes on serving. */
    void beginDraining()
    {
        m_isDraining = true;
    }
    std::uint64_t born() const
    {
        return m_born;
    }

    /** \returns the keys in the range on which this server is at work at this moment. */
    std::vector<unsigned> busyKeys(unsigned first, unsigned last);
    /** \returns until when the last grant of \a key would last, whether released or not. */
    double grantedUntil(unsigned key);
    bool holds(unsigned key);
    unsigned answers() const
    {
        return m_answers;
    }

private:
    struct Life
    {
        std::vector<std::uint64_t> seen = std::vector<std::uint64_t>(keyCount);
        std::vector<double> heldUntil = std::vector<double>(keyCount);
        std::vector<double> grantedUntil = std::vector<double>(keyCount);
        std::multimap<unsigned, int> busy;
        unsigned running = 0;
        unsigned waiting = 0;
        bool isOver = false;
    };

    void beat();
    void serve(Connection &connection, const HttpMessage &request, const std::shared_ptr<Life> &);
    void grant(Connection &connection, const HttpMessage &request, Life &life);
    void release(Connection &connection, const HttpMessage &request, Life &life);
    void work(Connection &connection, const HttpMessage &request, Life &life);
    void answer(Connection &connection, const std::string &bytes);

    Store &m_store;
    Record &m_record;
    Settings m_settings;
    GrantObserver m_observer;
    ReleaseFault m_releaseFault;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Life> m_life;
    std::unique_ptr<Listener> m_listener;
    int m_port = 0;
    std::atomic<std::uint64_t> m_born = 0;
    std::atomic<bool> m_isCut = false;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_isUp = false;
    std::atomic<bool> m_isStopped = false;
    std::atomic<unsigned> m_answers = 0;
    std::uint64_t m_seq = 0;
    std::thread m_beats;
};

/** A daemon under test, started as the deploy file says, but for the path of its settings. */
class Daemon
{
public:
    struct Settings
    {
        std::string host;
        std::string zone;
        std::string ip;
        double drainS = 2;
        double configApplyS = 2;
        double graceS = 6;
        double budgetSlack = 56;
    };

    Daemon(const Store &store, Settings settings, std::string folder);
    ~Daemon();

    void start();
    /** Ends the process with SIGKILL. */
    void kill();
    void signal(int number) const;
    pid_t process() const
    {
        return m_process;
    }
    /** \returns how the process ended, if it has. */
    std::optional<int> ended();
    const std::string &ip() const
    {
        return m_settings.ip;
    }
    const std::string &host() const
    {
        return m_settings.host;
    }
    int callersPort() const
    {
        return m_callersPort;
    }
    int readyPort() const
    {
        return m_readyPort;
    }
    bool isReady() const;

private:
    std::string m_store;
    Settings m_settings;
    std::string m_folder;
    int m_callersPort;
    int m_readyPort;
    pid_t m_process = 0;
};

/** Sends one request over a new connection. \returns the answer, or nothing if there is none. */
std::optional<HttpMessage> call(const std::string &ip, int port, const std::string &request,
                                double seconds);

/** \returns a descriptor that is connected, or -1. */
int connectTo(const std::string &ip, int port, double seconds);

/** \returns a path of loopback addresses, `127.A.B.`, drawn for this process. */
std::string drawnNetwork();

int freePort(const std::string &ip);

/** A request with a key for the route `/read/`, which is safe, of service `catalogue`. */
std::string keyedRequest(const std::string &id, unsigned key, int deadlineMs);

/** Writes a configuration with the services `catalogue` (divided by key) and `payments`. */
void writeConfig(Store &store, int version);

std::string environment(const char *name, const std::string &otherwise);

} // namespace world
