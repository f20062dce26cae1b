#include "rowsworld.h"

#include <algorithm>
#include <utility>

namespace bulrush::test {

using namespace std::chrono_literals;

namespace {

constexpr double strongProcessors = 0.5;
constexpr double weakProcessors = 0.1;
/** Of a whole core for one message. */
constexpr Duration workPerMessage = 200us;
constexpr Duration readTimeout = 1500ms;
constexpr Duration feedSlack = 900ms;
constexpr Duration followWait = 600ms;
constexpr Duration besideWait = 200ms;
constexpr Duration followSlack = 400ms;
constexpr Duration answerWithin = 1s;
/** Of an answer without a configuration. */
constexpr std::size_t shortBytes = 100;
constexpr Duration lookEvery = 50ms;
constexpr Duration registerAgain = 500ms;
/** How often bytes on links are moved on. */
constexpr Duration transferStep = 10ms;
/** The store's answers have rows in base64. */
constexpr double storeLength = 4.0 / 3.0;

std::size_t storeBytes(std::size_t bytes)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * storeLength);
}

} // namespace

struct RowsWorld::Table
{
    bool hasRows = false;
    bool isFailing = false;
    std::size_t askedBeside = 0;
    bool isConfirming = false;
    Instant knownAt;
    std::uint64_t version = 0;
    /** Of the source; the own index for the store. */
    std::size_t source = 0;
    bool isFirstAtStore = true;
    unsigned chain = 0;
    /** Counts asked questions, so that an answer to one that was given up is known. */
    std::uint64_t turn = 0;
    /** A wait at the store that is answered by a change. */
    Step wake;
};

/** A question to a daemon. */
struct RowsWorld::Exchange
{
    bool isOpen = true;
    /** Until when an answer is waited for. */
    Instant until;
};

struct RowsWorld::Held
{
    std::size_t from = 0;
    std::uint64_t life = 0;
    std::size_t table = 0;
    std::shared_ptr<Exchange> exchange;
    std::uint64_t version = 0;
    bool isBeside = false;
    Instant askedAt;
    Instant newsAfter;
};

struct RowsWorld::Daemon
{
    std::size_t index = 0;
    HostName host;
    DomainName domain;
    double processors = 0.0;
    /** Counts starts. */
    std::uint64_t life = 0;
    bool isUp = false;
    Instant frozenUntil;
    Instant cutUntil;
    Instant busyUntil;
    StoreState store = StoreState::Answering;
    Instant storeChangedAt;
    std::unique_ptr<FollowPlan> plan;
    LinkBudget link{1.0};
    std::array<Table, tableCount> tables;
    std::list<Held> held;
    bool isRegistering = false;
    std::uint64_t calls = 0;
};

RowsWorld::RowsWorld(const RowsScenario &scenario)
    : m_random(scenario.seed)
    , m_configBytes(scenario.configBytes)
{
    for (std::size_t i = 0; i < scenario.domains * scenario.daemonsPerDomain; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->index = i;
        daemon->host = HostName{"host-" + std::to_string(i)};
        daemon->domain = DomainName{"domain-" + std::to_string(i % scenario.domains)};
        // Strong ones are in no special place of the order in which they start.
        const std::size_t place = scenario.daemonsPerDomain - 1 - i / scenario.domains;
        const bool isStrong = place < scenario.strongPerDomain;
        daemon->processors = isStrong ? strongProcessors : weakProcessors;
        const double megabits =
            isStrong ? scenario.strongMegabitsPerSecond : scenario.weakMegabitsPerSecond;
        constexpr double bytesPerMegabit = 1e6 / 8;
        m_links.addHost(bytesPerMegabit * megabits);
        daemon->link = LinkBudget{megabits};
        m_daemons.push_back(std::move(daemon));
        const auto spanMs = static_cast<std::uint64_t>(scenario.startSpan / 1ms);
        after(1ms * (m_random() % spanMs), [this, i] { start(i); });
    }
}

RowsWorld::~RowsWorld() = default;

void RowsWorld::after(Duration delay, Step step)
{
    m_steps.emplace(m_now + delay, std::move(step));
}

void RowsWorld::handle(std::size_t index, Step step)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t life = daemon.life;
    const Instant startAt = std::max({m_now, daemon.busyUntil, daemon.frozenUntil});
    daemon.busyUntil =
        startAt + std::chrono::duration_cast<Duration>(workPerMessage / daemon.processors);
    after(daemon.busyUntil - m_now, [this, index, life, step = std::move(step)] {
        Daemon &handling = *m_daemons[index];
        if (!handling.isUp || handling.life != life)
            return;
        if (m_now < handling.frozenUntil)
            handle(index, step);
        else
            step();
    });
}

/** \returns the bytes of rows that were written after \a known and up to \a told. */
std::size_t RowsWorld::bytesOf(std::size_t table, std::uint64_t known, std::uint64_t told) const
{
    const bool isSent =
        table == Config && std::ranges::any_of(m_configVersions, [=](std::uint64_t version) {
            return version > known && version <= told;
        });
    return isSent ? m_configBytes : 0;
}

/** Has \a arrived called once \a bytes have gone over both links. */
void RowsWorld::transfer(std::size_t from, std::size_t to, std::size_t bytes, Step arrived,
                         std::shared_ptr<const Exchange> exchange)
{
    if (from != SharedLinks::wideSender)
        m_relayedBytes += bytes;
    if (bytes == 0) {
        after(transit(), std::move(arrived));
        return;
    }
    const bool wasIdle = m_links.isIdle();
    const auto isWanted = [exchange = std::move(exchange)] {
        return exchange->isOpen;
    };
    m_links.send({from, to, static_cast<double>(bytes), isWanted, std::move(arrived)});
    if (wasIdle)
        after(transferStep, [this] { moveBytes(); });
}

void RowsWorld::moveBytes()
{
    for (Step &step : m_links.advance(transferStep))
        after(transit(), std::move(step));
    if (!m_links.isIdle())
        after(transferStep, [this] { moveBytes(); });
}

Duration RowsWorld::transit()
{
    return 1ms + 1us * (m_random() % 1000);
}

void RowsWorld::play(Duration span)
{
    const Instant end = m_now + span;
    while (!m_steps.empty() && m_steps.begin()->first <= end) {
        m_now = std::max(m_now, m_steps.begin()->first);
        const Step step = std::move(m_steps.begin()->second);
        m_steps.erase(m_steps.begin());
        step();
    }
    m_now = end;
}

void RowsWorld::start(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    daemon.isUp = true;
    ++daemon.life;
    daemon.plan = std::make_unique<FollowPlan>(daemon.host, daemon.domain, m_now);
    daemon.tables = {};
    daemon.held.clear();
    daemon.isRegistering = false;
    daemon.busyUntil = m_now;
    askStore(index, Ownership, 0ms, false);
    next(index, Servers);
    next(index, Config);
    look(index);
}

void RowsWorld::next(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const FollowStep step =
        daemon.plan->next({table.hasRows, confirmation(tableIndex).has_value()}, m_now);
    const std::uint64_t life = daemon.life;
    if (const auto *later = std::get_if<AskLater>(&step)) {
        after(later->after, [this, index, life, tableIndex] {
            if (m_daemons[index]->life == life && m_daemons[index]->isUp)
                handle(index, [this, index, tableIndex] { next(index, tableIndex); });
        });
        return;
    }
    if (const auto *ask = std::get_if<AskReader>(&step)) {
        table.isFirstAtStore = true;
        table.source = ask->reader.address.port;
        askReader(index, tableIndex, table.source, false);
        return;
    }
    followStore(index, tableIndex);
}

void RowsWorld::followStore(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    table.source = index;
    table.chain = 0;
    const std::array<Duration, tableCount> waits{10s, m_budget.readerWait(), 10s};
    const Duration wait = waits.at(tableIndex);
    const bool isUrgent =
        std::exchange(table.isFirstAtStore, false) || daemon.plan->isStoreFailing();
    askStore(index, tableIndex, isUrgent || !table.hasRows ? 0ms : wait, false);
}

void RowsWorld::askStore(std::size_t index, std::size_t tableIndex, Duration wait,
                         bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    ++m_calls;
    ++daemon.calls;
    const std::uint64_t life = daemon.life;
    const auto isSame = [this, index, life] {
        return m_daemons[index]->isUp && m_daemons[index]->life == life;
    };
    const auto fail = [=, this] {
        if (isSame())
            handle(index, [=, this] { storeFailed(index, tableIndex, isConfirmation); });
    };
    if (daemon.store == StoreState::Refusing) {
        after(2 * transit(), fail);
        return;
    }
    if (daemon.store == StoreState::Silent) {
        after(table.hasRows ? wait + feedSlack : readTimeout, fail);
        return;
    }
    const std::uint64_t turn = ++table.turn;
    const std::uint64_t askedVersion = table.version;
    const auto answer = [=, this] {
        const Instant givenAt = m_now;
        const std::uint64_t version = m_version;
        if (!isSame())
            return;
        if (m_daemons[index]->store == StoreState::Silent) {
            after(feedSlack, fail);
            return;
        }
        const std::uint64_t known = m_daemons[index]->tables[tableIndex].hasRows ? askedVersion : 0;
        transfer(
            SharedLinks::wideSender, index, storeBytes(bytesOf(tableIndex, known, version)),
            [=, this] {
                if (isSame())
                    handle(index, [=, this] {
                        storeAnswered(index, tableIndex, givenAt, version, isConfirmation);
                    });
            },
            std::make_shared<const Exchange>());
    };
    const bool hasNews = m_versions.at(tableIndex) > table.version || !table.hasRows;
    if (hasNews || wait == Duration::zero()) {
        after(transit() + 4ms, answer);
        return;
    }
    const auto isAnswered = std::make_shared<bool>(false);
    const auto once = [isAnswered, answer] {
        if (!std::exchange(*isAnswered, true))
            answer();
    };
    table.wake = once;
    after(wait + transit(), [=, this] {
        Table &waiting = m_daemons[index]->tables[tableIndex];
        if (isSame() && waiting.turn == turn)
            waiting.wake = {};
        once();
    });
}

void RowsWorld::storeAnswered(std::size_t index, std::size_t tableIndex, Instant givenAt,
                              std::uint64_t version, bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    daemon.plan->storeAnswered();
    table.hasRows = true;
    table.isFailing = false;
    table.knownAt = std::max(table.knownAt, givenAt);
    table.version = std::max(table.version, version);
    for (Table &other : daemon.tables) {
        if (other.hasRows && other.version == version)
            other.knownAt = std::max(other.knownAt, givenAt);
    }
    if (tableIndex == Ownership)
        showRows(index);
    answerHeld(index);
    if (isConfirmation) {
        table.isConfirming = false;
        return;
    }
    constexpr std::array<Duration, tableCount> pauses{100ms, 300ms, 0ms};
    const std::uint64_t life = daemon.life;
    after(pauses.at(tableIndex), [this, index, life, tableIndex] {
        if (m_daemons[index]->isUp && m_daemons[index]->life == life)
            handle(index, [this, index, tableIndex] { next(index, tableIndex); });
    });
}

void RowsWorld::storeFailed(std::size_t index, std::size_t tableIndex, bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    daemon.plan->storeFailed(m_now);
    if (isConfirmation) {
        table.isConfirming = false;
        return;
    }
    table.isFailing = true;
    answerHeld(index);
    next(index, tableIndex);
}

void RowsWorld::askReader(std::size_t index, std::size_t tableIndex, std::size_t reader,
                          bool isBeside)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const Daemon &asked = *m_daemons[reader];
    const std::uint64_t life = daemon.life;
    if (isBeside)
        ++table.askedBeside;
    // A process that is gone refuses the connection at once.
    const bool isRefused = !asked.isUp && isReachable(daemon, asked);
    const Duration patience =
        isRefused ? 2 * transit() : (isBeside ? besideWait : followWait) + followSlack;
    const auto exchange = std::make_shared<Exchange>(true, m_now + patience);
    awaitAnswer(exchange, [=, this] {
        Daemon &waiting = *m_daemons[index];
        if (!waiting.isUp || waiting.life != life)
            return;
        handle(index, [=, this] {
            if (std::exchange(exchange->isOpen, false))
                readerFailed(index, tableIndex, reader, isBeside, ReaderFailure::Silent);
        });
    });
    if (isRefused || !isReachable(daemon, asked))
        return;
    const Held held{index,         life,     tableIndex, exchange,
                    table.version, isBeside, m_now,      isBeside ? table.knownAt : Instant::max()};
    const std::uint64_t askedLife = asked.life;
    after(transit(), [=, this] {
        if (m_daemons[reader]->life == askedLife && m_daemons[reader]->isUp)
            handle(reader, [=, this] { takeQuestion(reader, held); });
    });
}

/** Calls \a givenUp once there is no time left for the answer. */
void RowsWorld::awaitAnswer(const std::shared_ptr<Exchange> &exchange, Step givenUp)
{
    after(exchange->until - m_now, [this, exchange, givenUp = std::move(givenUp)] {
        if (m_now < exchange->until)
            awaitAnswer(exchange, givenUp);
        else
            givenUp();
    });
}

void RowsWorld::takeQuestion(std::size_t index, Held held)
{
    Daemon &daemon = *m_daemons[index];
    held.askedAt = m_now;
    held.newsAfter = std::min(held.newsAfter, daemon.tables[held.table].knownAt);
    daemon.held.push_back(held);
    answerHeld(index);
}

void RowsWorld::answerHeld(std::size_t index)
{
    std::list<Held> open = std::exchange(m_daemons[index]->held, {});
    std::erase_if(open, [&](const Held &held) { return isAnswered(index, held); });
    m_daemons[index]->held.splice(m_daemons[index]->held.end(), open);
}

bool RowsWorld::isAnswered(std::size_t index, const Held &held)
{
    Daemon &daemon = *m_daemons[index];
    const Table rows = daemon.tables[held.table];
    const bool isOver = m_now - held.askedAt >= (held.isBeside ? besideWait : followWait);
    const auto answer = [this, index, held](Step step, std::size_t bytes = 0) {
        // Each answer is work for who gives it as well.
        handle(index, [this, index, held, bytes, step = std::move(step)] {
            Daemon &asking = *m_daemons[held.from];
            if (!isReachable(*m_daemons[index], asking))
                return;
            const auto arrived = [this, held, step] {
                Daemon &told = *m_daemons[held.from];
                if (told.isUp && told.life == held.life)
                    handle(held.from, [this, held, step] {
                        if (std::exchange(held.exchange->isOpen, false))
                            step();
                    });
            };
            if (bytes > 0)
                held.exchange->until = std::max(held.exchange->until, m_now + answerWithin);
            transfer(index, held.from, bytes, arrived, held.exchange);
        });
    };
    if (!isServing(daemon) || (isOver && !isFresh(daemon, held.table))) {
        answer([this, index, held] {
            readerFailed(held.from, held.table, index, held.isBeside, ReaderFailure::Refused);
        });
        return true;
    }
    const bool hasNews = rows.version > held.version || rows.knownAt > held.newsAfter;
    if (!isFresh(daemon, held.table) || (!hasNews && !isOver))
        return false;
    const std::size_t bytes = bytesOf(held.table, held.version, rows.version);
    if (!daemon.link.take(bytes + shortBytes, m_now)) {
        answer([this, index, held] {
            readerFailed(held.from, held.table, index, held.isBeside, ReaderFailure::Busy);
        });
        return true;
    }
    answer([this, index, held,
            rows] { readerAnswered(held.from, held.table, index, held.isBeside, rows); },
           bytes);
    return true;
}

void RowsWorld::readerAnswered(std::size_t index, std::size_t tableIndex, std::size_t reader,
                               bool isBeside, const Table &rows)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    if (isBeside)
        --table.askedBeside;
    const unsigned chain = rows.chain + 1;
    constexpr unsigned longestChain = 4;
    if (!isBeside && chain > longestChain) {
        readerFailed(index, tableIndex, reader, false, ReaderFailure::Refused);
        return;
    }
    const bool isNews = rows.version >= table.version
        && (rows.knownAt > table.knownAt || rows.version > table.version || !table.hasRows);
    if (isNews) {
        table.hasRows = true;
        table.isFailing = false;
        table.version = rows.version;
        table.knownAt = std::max(table.knownAt, rows.knownAt);
    }
    if (!isBeside) {
        table.chain = chain;
        daemon.plan->readerServed(m_daemons[reader]->host);
    }
    if (isNews && tableIndex == Ownership)
        showRows(index);
    if (isNews)
        answerHeld(index);
    if (!isBeside)
        next(index, tableIndex);
}

void RowsWorld::readerFailed(std::size_t index, std::size_t tableIndex, std::size_t reader,
                             bool isBeside, ReaderFailure failure)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const HostName &host = m_daemons[reader]->host;
    if (isBeside) {
        --table.askedBeside;
        if (failure != ReaderFailure::Busy)
            daemon.plan->readerFailed(host, ReaderFailure::Refused, m_now);
        return;
    }
    if (failure == ReaderFailure::Busy && !daemon.plan->isStoreFailing()) {
        followStore(index, tableIndex);
        return;
    }
    daemon.plan->readerFailed(host, failure, m_now);
    next(index, tableIndex);
}

/** What a daemon does every 50 ms. */
void RowsWorld::look(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t life = daemon.life;
    after(lookEvery, [this, index, life] {
        if (m_daemons[index]->isUp && m_daemons[index]->life == life)
            handle(index, [this, index] { look(index); });
    });
    answerHeld(index);
    registerDaemon(index);
    const Table &servers = daemon.tables[Servers];
    if (servers.hasRows && couldAskStore(daemon))
        m_oldest = std::max(m_oldest, m_now - servers.knownAt);
    for (std::size_t table = 0; table < tableCount; ++table)
        lookAt(index, table);
}

/** Sees to it that the rows of a table are confirmed. */
void RowsWorld::lookAt(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    const Table &table = daemon.tables[tableIndex];
    if (!table.hasRows || table.isFailing || table.isConfirming)
        return;
    const std::array<Duration, tableCount> readerConfirmsAfter{1s, m_budget.askBesideAfter(),
                                                               m_configBudget.readerConfirmAfter()};
    const auto confirmed = confirmation(tableIndex);
    const Duration age = m_now - table.knownAt;
    const bool isAtStore = table.source == index;
    if (isAtStore && age < readerConfirmsAfter.at(tableIndex))
        return;
    if (!isAtStore && (!confirmed || age < confirmed->askBesideAfter))
        return;
    if (!isAtStore && table.askedBeside == 0) {
        for (const RowsReader &reader :
             daemon.plan->readersBeside(m_daemons[table.source]->host, m_now))
            askReader(index, tableIndex, reader.address.port, true);
    }
    if (!isAtStore && table.askedBeside > 0 && age < confirmed->after)
        return;
    if (!daemon.plan->mayAskStore(m_now))
        return;
    if (std::ranges::any_of(daemon.tables, &Table::isConfirming))
        return;
    daemon.tables[tableIndex].isConfirming = true;
    askStore(index, tableIndex, 0ms, true);
}

std::optional<RowsWorld::Confirmation> RowsWorld::confirmation(std::size_t table) const
{
    if (table == Servers)
        return Confirmation{m_budget.askBesideAfter(), m_budget.confirmAfter()};
    if (table == Config)
        return Confirmation{m_configBudget.askBesideAfter(), m_configBudget.confirmAfter()};
    return std::nullopt;
}

void RowsWorld::registerDaemon(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const bool hasRow = std::ranges::any_of(
        m_rows, [&](const Row &row) { return row.daemon == index && row.removedAs == 0; });
    if (!daemon.tables[Ownership].hasRows || daemon.isRegistering || hasRow)
        return;
    daemon.isRegistering = true;
    ++m_calls;
    ++daemon.calls;
    const std::uint64_t life = daemon.life;
    if (daemon.store == StoreState::Answering) {
        after(transit() + 4ms, [this, index] {
            m_rows.push_back({index, ++m_version, 0});
            m_versions[Ownership] = m_version;
            wakeWaits(Ownership);
        });
    }
    after(registerAgain, [this, index, life] {
        if (m_daemons[index]->life == life)
            m_daemons[index]->isRegistering = false;
    });
}

/** Tells the daemon's plan of the rows that it knows. */
void RowsWorld::showRows(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t version = daemon.tables[Ownership].version;
    std::vector<Renewer> shown;
    for (const Row &row : m_rows) {
        if (row.writtenAs > version || (row.removedAs > 0 && row.removedAs <= version))
            continue;
        const Daemon &other = *m_daemons[row.daemon];
        Renewer renewer;
        renewer.host = other.host;
        renewer.version = row.writtenAs;
        // The address stands for the daemon's place in this world.
        renewer.row = {Incarnation{other.host.value()},
                       {"", static_cast<std::uint16_t>(row.daemon)},
                       other.domain,
                       other.processors};
        shown.push_back(renewer);
    }
    daemon.plan->setDaemons(shown);
}

void RowsWorld::wakeWaits(std::size_t table)
{
    for (const auto &daemon : m_daemons) {
        if (Step wake = std::exchange(daemon->tables[table].wake, {}))
            wake();
    }
}

bool RowsWorld::isFresh(const Daemon &daemon, std::size_t table) const
{
    const Table &rows = daemon.tables[table];
    const auto confirmed = confirmation(table);
    return rows.hasRows && (!confirmed || m_now - rows.knownAt < confirmed->after);
}

bool RowsWorld::isServing(const Daemon &daemon) const
{
    return !daemon.plan->isStoreFailing() && std::ranges::none_of(daemon.tables, &Table::isFailing);
}

bool RowsWorld::isReachable(const Daemon &from, const Daemon &to) const
{
    return m_now >= from.cutUntil && m_now >= to.cutUntil;
}

/** \returns whether nothing has kept the daemon from asking the store for a moment. */
bool RowsWorld::couldAskStore(const Daemon &daemon) const
{
    constexpr Duration moment = 300ms;
    return daemon.isUp && m_now >= daemon.frozenUntil + moment
        && daemon.store == StoreState::Answering && m_now >= daemon.storeChangedAt + moment;
}

std::uint64_t RowsWorld::storeCalls() const
{
    return m_calls;
}

std::uint64_t RowsWorld::mostCallsOfADaemon() const
{
    std::uint64_t most = 0;
    for (const auto &daemon : m_daemons)
        most = std::max(most, daemon->calls);
    return most;
}

std::size_t RowsWorld::completeCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [](const auto &daemon) {
        return std::ranges::all_of(daemon->tables, &Table::hasRows);
    }));
}

Duration RowsWorld::oldestKnowledge() const
{
    Duration oldest{};
    for (const auto &daemon : m_daemons) {
        if (couldAskStore(*daemon))
            oldest = std::max(oldest, m_now - daemon->tables[Servers].knownAt);
    }
    return oldest;
}

Duration RowsWorld::takeOldestKnowledge()
{
    return std::exchange(m_oldest, {});
}

std::size_t RowsWorld::daemonOf(std::size_t domain, std::size_t rank) const
{
    std::vector<Row> rows;
    for (const Row &row : m_rows) {
        const Daemon &daemon = *m_daemons[row.daemon];
        if (row.removedAs == 0 && daemon.domain.value() == "domain-" + std::to_string(domain))
            rows.push_back(row);
    }
    std::ranges::sort(rows, {}, [this](const Row &row) {
        return std::pair{-m_daemons[row.daemon]->processors, row.writtenAs};
    });
    return rows.at(rank).daemon;
}

std::size_t RowsWorld::daemonCount() const
{
    return m_daemons.size();
}

void RowsWorld::freeze(std::size_t daemon, Duration span)
{
    m_daemons[daemon]->frozenUntil = m_now + span;
}

void RowsWorld::kill(std::size_t daemon, Duration restartAfter)
{
    m_daemons[daemon]->isUp = false;
    ++m_daemons[daemon]->life;
    after(restartAfter, [this, daemon] { start(daemon); });
}

void RowsWorld::cutFromDaemons(std::size_t daemon, Duration span)
{
    m_daemons[daemon]->cutUntil = m_now + span;
}

void RowsWorld::setStore(std::size_t daemon, StoreState state)
{
    m_daemons[daemon]->store = state;
    m_daemons[daemon]->storeChangedAt = m_now;
}

void RowsWorld::removeRows(const std::vector<std::size_t> &daemons)
{
    ++m_version;
    for (Row &row : m_rows) {
        if (row.removedAs == 0 && std::ranges::find(daemons, row.daemon) != daemons.end())
            row.removedAs = m_version;
    }
    m_versions[Ownership] = m_version;
    wakeWaits(Ownership);
}

void RowsWorld::changeServers()
{
    m_versions[Servers] = ++m_version;
    wakeWaits(Servers);
}

void RowsWorld::changeConfig()
{
    m_versions[Config] = ++m_version;
    m_configVersions.push_back(m_version);
    wakeWaits(Config);
}

std::size_t RowsWorld::behindCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [this](const auto &daemon) {
        return couldAskStore(*daemon) && daemon->tables[Config].version < m_versions[Config];
    }));
}

std::size_t RowsWorld::allBehindCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [this](const auto &daemon) {
        return daemon->isUp && daemon->tables[Config].version < m_versions[Config];
    }));
}

std::uint64_t RowsWorld::relayedBytes() const
{
    return m_relayedBytes;
}

} // namespace bulrush::test
