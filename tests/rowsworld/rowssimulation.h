#pragma once

#include "process/configbudget.h"
#include "process/drainbudget.h"
#include "process/followplan.h"
#include "process/linkbudget.h"
#include "sharedlinks.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bulrush::test {

/** How the store treats the calls of a daemon. */
enum class StoreState {
    Answering,
    Refusing, ///< answers at once that nothing was done
    Silent,
};

/** The simulated daemons. */
struct RowsScenario
{
    std::size_t domains = 5;
    std::size_t daemonsPerDomain = 39;
    /** Strong daemons; the others have a fifth of their processors, and narrower links. */
    std::size_t strongPerDomain = 3;
    double strongMegabitsPerSecond = 200.0;
    double weakMegabitsPerSecond = 10.0;
    /** Size of a configuration; all other rows are short. */
    std::size_t configBytes = 0;
    /** Sizes of the complete tables of assignments and servers, which are sent after a restore. */
    std::size_t ownershipBytes = 0;
    std::size_t serversBytes = 0;
    /** Period within which all daemons start. */
    Duration startSpan = std::chrono::milliseconds{300};
    std::uint64_t seed = 1;
};

/**
 * Simulates daemons that follow three tables of a store, on a virtual clock. FollowPlan makes the
 * decisions; its calls, requests and timers are executed as in TableFollower and RowsFeed. Each
 * daemon handles one message at a time, at the speed of its host. Configurations take time on the
 * links of hosts, and concurrent transfers share a link. Counts the calls to the store, and
 * measures the age of the daemons' data on backend servers. Not thread safe.
 */
class RowsSimulation
{
public:
    explicit RowsSimulation(const RowsScenario &scenario);
    ~RowsSimulation();

    RowsSimulation(const RowsSimulation &) = delete;
    RowsSimulation &operator=(const RowsSimulation &) = delete;

    /** Advances the virtual clock by \a span, and runs all events until then. */
    void run(Duration span);

    /** \returns the number of calls that all daemons have made to the store. */
    std::uint64_t storeCallCount() const;

    /** \returns the maximum number of calls that one daemon has made since the start. */
    std::uint64_t maxCallsOfOneDaemon() const;

    /** \returns how many daemons have the rows of all tables. */
    std::size_t completeCount() const;

    /** \returns the maximum age of the servers' rows of all daemons that can reach the store. */
    Duration maxAge() const;

    /**
     * \returns the maximum age of the servers' rows of a daemon that could reach the store since
     * the last call, and resets it.
     */
    Duration takeMaxAge();

    /** \returns the registered daemon at \a rank in the order of its failure domain, from 0. */
    std::size_t daemonAtRank(std::size_t domain, std::size_t rank) const;

    std::size_t daemonCount() const;

    void freeze(std::size_t daemon, Duration span);
    void kill(std::size_t daemon, Duration restartAfter);
    /** Disconnects it from the other daemons, but not from the store. */
    void isolateFromDaemons(std::size_t daemon, Duration span);
    /** Sets how the store treats the calls of \a daemon. */
    void setStore(std::size_t daemon, StoreState state);
    /** Removes the rows of \a daemons, which keep running. */
    void removeRows(const std::vector<std::size_t> &daemons);
    /** Writes a row of the table of backend servers. */
    void changeServers();
    /** Writes a new configuration. */
    void changeConfig();
    /**
     * Restores the store from an older copy: versions of another era begin, so that changes since
     * the known versions cannot be had, and each daemon needs the complete tables.
     */
    void restoreStore();

    /** \returns how many daemons that can reach the store lack the latest configuration. */
    std::size_t outdatedCount() const;

    /** \returns how many running daemons lack it, whether or not they can reach the store. */
    std::size_t allOutdatedCount() const;

    /** \returns the bytes of configurations in all started transfers between daemons. */
    std::uint64_t relayedBytes() const;

private:
    static constexpr std::size_t tableCount = 3;
    enum TableIndex { Ownership, Servers, Config };

    struct Table;
    struct Daemon;
    struct PendingRequest;
    struct HeldRequest;
    using Callback = std::function<void()>;

    void after(Duration delay, Callback callback);
    /** Runs \a callback on the daemon when it has handled the earlier messages. */
    void handle(std::size_t daemon, Callback callback);
    Duration randomLatency();

    void start(std::size_t index);
    void runNextStep(std::size_t index, std::size_t table);
    void followStore(std::size_t index, std::size_t table);
    void awaitAnswer(const std::shared_ptr<PendingRequest> &pending, Callback timedOut);
    void askStore(std::size_t index, std::size_t table, Duration wait, bool isConfirmation);
    void recordStoreAnswer(std::size_t index, std::size_t table, Instant givenAt,
                           std::uint64_t version, bool isConfirmation);
    void recordStoreFailure(std::size_t index, std::size_t table, bool isConfirmation);
    void askReader(std::size_t index, std::size_t table, std::size_t reader, bool isAlternate);
    void receiveRequest(std::size_t index, HeldRequest held);
    void answerHeldRequests(std::size_t index);
    bool tryAnswer(std::size_t index, const HeldRequest &held);
    void readerAnswered(std::size_t index, std::size_t table, std::size_t reader, bool isAlternate,
                        const Table &rows);
    void recordReaderFailure(std::size_t index, std::size_t table, std::size_t reader,
                             bool isAlternate, ReaderFailure failure);
    void checkDaemon(std::size_t index);
    void checkTable(std::size_t index, std::size_t table);
    void registerDaemon(std::size_t index);
    void applyOwnershipRows(std::size_t index);
    void wakeWaitingCalls(std::size_t table);
    bool isFresh(const Daemon &daemon, std::size_t table) const;
    std::size_t bytesOf(std::size_t table, std::uint64_t from, std::uint64_t to) const;
    void transfer(std::size_t from, std::size_t to, std::size_t bytes, Callback arrived,
                  std::shared_ptr<const PendingRequest> pending);
    void advanceTransfers();
    bool isServing(const Daemon &daemon) const;
    bool isReachable(const Daemon &from, const Daemon &to) const;
    bool canReachStore(const Daemon &daemon) const;

    /** The ages at which the rows of a table are confirmed. */
    struct ConfirmationDelays
    {
        Duration askAlternatesAfter;
        Duration askStoreAfter;
    };

    /** \returns the delays for \a table, or nothing if the age of its rows is not limited. */
    std::optional<ConfirmationDelays> confirmation(std::size_t table) const;

    DrainBudget m_budget{std::chrono::seconds{3}};
    ConfigBudget m_configBudget{std::chrono::seconds{3}};
    std::mt19937_64 m_random;
    Instant m_now{std::chrono::seconds{1000}};
    std::multimap<Instant, Callback> m_events;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    /** The versions of the tables in the store. */
    std::array<std::uint64_t, tableCount> m_versions{};
    std::uint64_t m_version = 1;
    /** The first version of the current era; 0 in the first one. */
    std::uint64_t m_eraStart = 0;
    /** The row of a daemon, with the store versions of its writing and removal. */
    struct Row
    {
        std::size_t daemon = 0;
        std::uint64_t writtenAs = 0;
        std::uint64_t removedAs = 0;
    };
    std::vector<Row> m_rows;
    std::uint64_t m_calls = 0;
    Duration m_maxAge{};
    std::size_t m_configBytes;
    /** Sizes of the complete tables, by TableIndex. */
    std::array<std::size_t, tableCount> m_tableBytes{};
    /** Store versions at which a configuration was written. */
    std::vector<std::uint64_t> m_configVersions;
    SharedLinks m_links;
    std::uint64_t m_relayedBytes = 0;
};

} // namespace bulrush::test
