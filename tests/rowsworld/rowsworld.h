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

/** What a store does with calls. */
enum class StoreState {
    Answering,
    Refusing, ///< it says at once that nothing was done
    Silent,
};

/** The daemons that are played. */
struct RowsScenario
{
    std::size_t domains = 5;
    std::size_t daemonsPerDomain = 39;
    /** Of each failure domain; the others have a fifth of their processors and narrower links. */
    std::size_t strongPerDomain = 3;
    double strongMegabitsPerSecond = 200.0;
    double weakMegabitsPerSecond = 10.0;
    /** Of a configuration; all other rows are short. */
    std::size_t configBytes = 0;
    /** Within which daemons start. */
    Duration startSpan = std::chrono::milliseconds{300};
    std::uint64_t seed = 1;
};

/**
 * Daemons that follow three tables of a store, in virtual time: the decisions are FollowPlan's,
 * whose calls, questions and timers are carried out as TableFollower and RowsFeed do. Each daemon
 * handles one message after the other, at the speed of its host; configurations take time on the
 * links of hosts, which all that are on their way share. Counts the calls to the store and
 * tells how old what daemons know of the backend servers is. Not thread safe.
 */
class RowsWorld
{
public:
    explicit RowsWorld(const RowsScenario &scenario);
    ~RowsWorld();

    RowsWorld(const RowsWorld &) = delete;
    RowsWorld &operator=(const RowsWorld &) = delete;

    /** Plays \a span. */
    void play(Duration span);

    /** \returns how many calls all daemons have made to the store. */
    std::uint64_t storeCalls() const;

    /** \returns the most calls that any daemon has made since the world began. */
    std::uint64_t mostCallsOfADaemon() const;

    /** \returns how many daemons have all rows. */
    std::size_t completeCount() const;

    /** \returns the age of what the daemon knows least well that could ask the store. */
    Duration oldestKnowledge() const;

    /**
     * \returns the greatest age that a daemon which could ask the store had, since this was asked
     * last, and forgets it.
     */
    Duration takeOldestKnowledge();

    /** \returns the daemon that \a rank others of its failure domain come before, of those up. */
    std::size_t daemonOf(std::size_t domain, std::size_t rank) const;

    std::size_t daemonCount() const;

    void freeze(std::size_t daemon, Duration span);
    void kill(std::size_t daemon, Duration restartAfter);
    /** Cuts it off from the other daemons, but not from the store. */
    void cutFromDaemons(std::size_t daemon, Duration span);
    /** Changes what the store does for \a daemon. */
    void setStore(std::size_t daemon, StoreState state);
    /** Removes rows of daemons that live. */
    void removeRows(const std::vector<std::size_t> &daemons);
    /** Writes a row of the table of backend servers. */
    void changeServers();
    /** Writes a new configuration. */
    void changeConfig();

    /** \returns how many daemons that could ask the store don't know the configuration. */
    std::size_t behindCount() const;

    /** \returns how many daemons that are up don't, whether or not they could ask the store. */
    std::size_t allBehindCount() const;

    /** \returns the bytes of configurations that daemons have begun to send to each other. */
    std::uint64_t relayedBytes() const;

private:
    static constexpr std::size_t tableCount = 3;
    enum TableIndex { Ownership, Servers, Config };

    struct Table;
    struct Daemon;
    struct Exchange;
    struct Held;
    using Step = std::function<void()>;

    void after(Duration delay, Step step);
    /** Runs \a step on the daemon, once it has handled what came before. */
    void handle(std::size_t daemon, Step step);
    Duration transit();

    void start(std::size_t index);
    void next(std::size_t index, std::size_t table);
    void followStore(std::size_t index, std::size_t table);
    void awaitAnswer(const std::shared_ptr<Exchange> &exchange, Step givenUp);
    void askStore(std::size_t index, std::size_t table, Duration wait, bool isConfirmation);
    void storeAnswered(std::size_t index, std::size_t table, Instant givenAt, std::uint64_t version,
                       bool isConfirmation);
    void storeFailed(std::size_t index, std::size_t table, bool isConfirmation);
    void askReader(std::size_t index, std::size_t table, std::size_t reader, bool isBeside);
    void takeQuestion(std::size_t index, Held held);
    void answerHeld(std::size_t index);
    bool isAnswered(std::size_t index, const Held &held);
    void readerAnswered(std::size_t index, std::size_t table, std::size_t reader, bool isBeside,
                        const Table &rows);
    void readerFailed(std::size_t index, std::size_t table, std::size_t reader, bool isBeside,
                      ReaderFailure failure);
    void look(std::size_t index);
    void lookAt(std::size_t index, std::size_t table);
    void registerDaemon(std::size_t index);
    void showRows(std::size_t index);
    void wakeWaits(std::size_t table);
    bool isFresh(const Daemon &daemon, std::size_t table) const;
    std::size_t bytesOf(std::size_t table, std::uint64_t known, std::uint64_t told) const;
    void transfer(std::size_t from, std::size_t to, std::size_t bytes, Step arrived,
                  std::shared_ptr<const Exchange> exchange);
    void moveBytes();
    bool isServing(const Daemon &daemon) const;
    bool isReachable(const Daemon &from, const Daemon &to) const;
    bool couldAskStore(const Daemon &daemon) const;

    /** How soon rows of a table are confirmed; nothing: they may get old. */
    struct Confirmation
    {
        Duration askBesideAfter;
        Duration after;
    };

    std::optional<Confirmation> confirmation(std::size_t table) const;

    DrainBudget m_budget{std::chrono::seconds{3}};
    ConfigBudget m_configBudget{std::chrono::seconds{3}};
    std::mt19937_64 m_random;
    Instant m_now{std::chrono::seconds{1000}};
    std::multimap<Instant, Step> m_steps;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    /** Of the tables, as the store has them. */
    std::array<std::uint64_t, tableCount> m_versions{};
    std::uint64_t m_version = 1;
    /** Rows of daemons by host, with the versions that they were written and removed as. */
    struct Row
    {
        std::size_t daemon = 0;
        std::uint64_t writtenAs = 0;
        std::uint64_t removedAs = 0;
    };
    std::vector<Row> m_rows;
    std::uint64_t m_calls = 0;
    Duration m_oldest{};
    std::size_t m_configBytes;
    /** Versions of the store that wrote a configuration. */
    std::vector<std::uint64_t> m_configVersions;
    SharedLinks m_links;
    std::uint64_t m_relayedBytes = 0;
};

} // namespace bulrush::test
