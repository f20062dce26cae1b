#include "rowssimulation.h"

#include <algorithm>
#include <utility>

namespace bulrush::test {

using namespace std::chrono_literals;

namespace {

constexpr double strongProcessors = 0.5;
constexpr double weakProcessors = 0.1;
/** Time that one core needs for one message. */
constexpr Duration workPerMessage = 200us;
constexpr Duration readTimeout = 1500ms;
constexpr Duration storeGrace = 900ms;
constexpr Duration followWait = 600ms;
constexpr Duration alternateWait = 200ms;
constexpr Duration followGrace = 400ms;
constexpr Duration maxTransferTime = 1s;
/** Size of an answer without a configuration. */
constexpr std::size_t baseAnswerBytes = 100;
constexpr Duration checkInterval = 50ms;
constexpr Duration registrationRetryDelay = 500ms;
/** Interval at which transfers on links are advanced. */
constexpr Duration transferStep = 10ms;
/** The store's answers have rows in base64, which adds a third. */
constexpr double storeEncodingFactor = 4.0 / 3.0;

std::size_t encodedStoreBytes(std::size_t bytes)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * storeEncodingFactor);
}

} // namespace

struct RowsSimulation::Table
{
    bool hasRows = false;
    bool isFailing = false;
    std::size_t pendingAlternates = 0;
    bool isConfirming = false;
    Instant confirmedAt;
    std::uint64_t version = 0;
    /** The daemon that is the source; the own index if the store is. */
    std::size_t source = 0;
    bool isFirstStoreCall = true;
    unsigned chainLength = 0;
    /** Number of the last call to the store, which shows whether a pending wait was replaced. */
    std::uint64_t callNumber = 0;
    /** Answers the pending wait at the store when the table changes. */
    Callback wake;
};

/** A request to a daemon. */
struct RowsSimulation::PendingRequest
{
    bool isOpen = true;
    /** When the request times out. */
    Instant until;
};

struct RowsSimulation::HeldRequest
{
    std::size_t from = 0;
    std::uint64_t startNumber = 0;
    std::size_t table = 0;
    std::shared_ptr<PendingRequest> pending;
    std::uint64_t version = 0;
    bool isAlternate = false;
    Instant requestedAt;
    Instant newerThan;
};

struct RowsSimulation::Daemon
{
    std::size_t index = 0;
    HostName host;
    DomainName domain;
    double processors = 0.0;
    /** Number of starts, which identifies the daemon's run. */
    std::uint64_t startNumber = 0;
    bool isUp = false;
    Instant frozenUntil;
    Instant isolatedUntil;
    Instant busyUntil;
    StoreState store = StoreState::Answering;
    Instant storeChangedAt;
    std::unique_ptr<FollowPlan> plan;
    LinkBudget link{1.0};
    std::array<Table, tableCount> tables;
    std::list<HeldRequest> held;
    bool isRegistering = false;
    std::uint64_t calls = 0;
};

RowsSimulation::RowsSimulation(const RowsScenario &scenario)
    : m_random(scenario.seed)
    , m_configBytes(scenario.configBytes)
    , m_tableBytes{scenario.ownershipBytes, scenario.serversBytes, scenario.configBytes}
{
    for (std::size_t i = 0; i < scenario.domains * scenario.daemonsPerDomain; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->index = i;
        daemon->host = HostName{"host-" + std::to_string(i)};
        daemon->domain = DomainName{"domain-" + std::to_string(i % scenario.domains)};
        // The start order is random, so that strong daemons have no special place in it.
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

RowsSimulation::~RowsSimulation() = default;

void RowsSimulation::after(Duration delay, Callback callback)
{
    m_events.emplace(m_now + delay, std::move(callback));
}

void RowsSimulation::handle(std::size_t index, Callback callback)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t startNumber = daemon.startNumber;
    const Instant startAt = std::max({m_now, daemon.busyUntil, daemon.frozenUntil});
    daemon.busyUntil =
        startAt + std::chrono::duration_cast<Duration>(workPerMessage / daemon.processors);
    after(daemon.busyUntil - m_now, [this, index, startNumber, callback = std::move(callback)] {
        Daemon &handling = *m_daemons[index];
        if (!handling.isUp || handling.startNumber != startNumber)
            return;
        if (m_now < handling.frozenUntil)
            handle(index, callback);
        else
            callback();
    });
}

/** \returns the size of the rows written after version \a from, up to and including \a to. */
std::size_t RowsSimulation::bytesOf(std::size_t table, std::uint64_t from, std::uint64_t to) const
{
    if (from > 0 && from < m_eraStart && to >= m_eraStart)
        return m_tableBytes.at(table);
    const bool isSent =
        table == Config && std::ranges::any_of(m_configVersions, [=](std::uint64_t version) {
            return version > from && version <= to;
        });
    return isSent ? m_configBytes : 0;
}

/** Calls \a arrived when \a bytes have been transferred over both links. */
void RowsSimulation::transfer(std::size_t from, std::size_t to, std::size_t bytes, Callback arrived,
                              std::shared_ptr<const PendingRequest> pending)
{
    if (from != SharedLinks::unlimitedSender)
        m_relayedBytes += bytes;
    if (bytes == 0) {
        after(randomLatency(), std::move(arrived));
        return;
    }
    const bool wasIdle = m_links.isIdle();
    const auto isWanted = [pending = std::move(pending)] {
        return pending->isOpen;
    };
    m_links.send({from, to, static_cast<double>(bytes), isWanted, std::move(arrived)});
    if (wasIdle)
        after(transferStep, [this] { advanceTransfers(); });
}

void RowsSimulation::advanceTransfers()
{
    for (Callback &callback : m_links.advance(transferStep))
        after(randomLatency(), std::move(callback));
    if (!m_links.isIdle())
        after(transferStep, [this] { advanceTransfers(); });
}

Duration RowsSimulation::randomLatency()
{
    return 1ms + 1us * (m_random() % 1000);
}

void RowsSimulation::run(Duration span)
{
    const Instant end = m_now + span;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = std::max(m_now, m_events.begin()->first);
        const Callback callback = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        callback();
    }
    m_now = end;
}

void RowsSimulation::start(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    daemon.isUp = true;
    ++daemon.startNumber;
    daemon.plan = std::make_unique<FollowPlan>(daemon.host, daemon.domain, m_now);
    daemon.tables = {};
    daemon.held.clear();
    daemon.isRegistering = false;
    daemon.busyUntil = m_now;
    askStore(index, Ownership, 0ms, false);
    runNextStep(index, Servers);
    runNextStep(index, Config);
    checkDaemon(index);
}

void RowsSimulation::runNextStep(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const FollowStep nextStep =
        daemon.plan->next({table.hasRows, confirmation(tableIndex).has_value()}, m_now);
    const std::uint64_t startNumber = daemon.startNumber;
    if (const auto *later = std::get_if<RetryLater>(&nextStep)) {
        after(later->after, [this, index, startNumber, tableIndex] {
            if (m_daemons[index]->startNumber == startNumber && m_daemons[index]->isUp)
                handle(index, [this, index, tableIndex] { runNextStep(index, tableIndex); });
        });
        return;
    }
    if (const auto *ask = std::get_if<QueryReader>(&nextStep)) {
        table.isFirstStoreCall = true;
        table.source = ask->reader.address.port;
        askReader(index, tableIndex, table.source, false);
        return;
    }
    followStore(index, tableIndex);
}

void RowsSimulation::followStore(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    table.source = index;
    table.chainLength = 0;
    const std::array<Duration, tableCount> waits{10s, m_budget.readerPollTimeout(), 10s};
    const Duration wait = waits.at(tableIndex);
    const bool isUrgent =
        std::exchange(table.isFirstStoreCall, false) || daemon.plan->isStoreFailing();
    askStore(index, tableIndex, isUrgent || !table.hasRows ? 0ms : wait, false);
}

void RowsSimulation::askStore(std::size_t index, std::size_t tableIndex, Duration wait,
                              bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    ++m_calls;
    ++daemon.calls;
    const std::uint64_t startNumber = daemon.startNumber;
    const auto isSame = [this, index, startNumber] {
        return m_daemons[index]->isUp && m_daemons[index]->startNumber == startNumber;
    };
    const auto fail = [=, this] {
        if (isSame())
            handle(index, [=, this] { recordStoreFailure(index, tableIndex, isConfirmation); });
    };
    if (daemon.store == StoreState::Refusing) {
        after(2 * randomLatency(), fail);
        return;
    }
    if (daemon.store == StoreState::Silent) {
        after(table.hasRows ? wait + storeGrace : readTimeout, fail);
        return;
    }
    const std::uint64_t callNumber = ++table.callNumber;
    const std::uint64_t askedVersion = table.version;
    const auto answer = [=, this] {
        const Instant givenAt = m_now;
        const std::uint64_t version = m_version;
        if (!isSame())
            return;
        if (m_daemons[index]->store == StoreState::Silent) {
            after(storeGrace, fail);
            return;
        }
        const std::uint64_t known = m_daemons[index]->tables[tableIndex].hasRows ? askedVersion : 0;
        // The answer to a wait is of another era, so the complete table is read by another call.
        if (known > 0 && known < m_eraStart) {
            ++m_calls;
            ++m_daemons[index]->calls;
        }
        transfer(
            SharedLinks::unlimitedSender, index,
            encodedStoreBytes(bytesOf(tableIndex, known, version)),
            [=, this] {
                if (isSame())
                    handle(index, [=, this] {
                        recordStoreAnswer(index, tableIndex, givenAt, version, isConfirmation);
                    });
            },
            std::make_shared<const PendingRequest>());
    };
    const bool isNewer = m_versions.at(tableIndex) > table.version || !table.hasRows;
    if (isNewer || wait == Duration::zero()) {
        after(randomLatency() + 4ms, answer);
        return;
    }
    const auto isAnswered = std::make_shared<bool>(false);
    const auto once = [isAnswered, answer] {
        if (!std::exchange(*isAnswered, true))
            answer();
    };
    table.wake = once;
    after(wait + randomLatency(), [=, this] {
        Table &waiting = m_daemons[index]->tables[tableIndex];
        if (isSame() && waiting.callNumber == callNumber)
            waiting.wake = {};
        once();
    });
}

void RowsSimulation::recordStoreAnswer(std::size_t index, std::size_t tableIndex, Instant givenAt,
                                       std::uint64_t version, bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    daemon.plan->recordStoreAnswer();
    table.hasRows = true;
    table.isFailing = false;
    table.confirmedAt = std::max(table.confirmedAt, givenAt);
    table.version = std::max(table.version, version);
    for (Table &other : daemon.tables) {
        if (other.hasRows && other.version == version)
            other.confirmedAt = std::max(other.confirmedAt, givenAt);
    }
    if (tableIndex == Ownership)
        applyOwnershipRows(index);
    answerHeldRequests(index);
    if (isConfirmation) {
        table.isConfirming = false;
        return;
    }
    constexpr std::array<Duration, tableCount> pauses{100ms, 300ms, 0ms};
    const std::uint64_t startNumber = daemon.startNumber;
    after(pauses.at(tableIndex), [this, index, startNumber, tableIndex] {
        if (m_daemons[index]->isUp && m_daemons[index]->startNumber == startNumber)
            handle(index, [this, index, tableIndex] { runNextStep(index, tableIndex); });
    });
}

void RowsSimulation::recordStoreFailure(std::size_t index, std::size_t tableIndex,
                                        bool isConfirmation)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    daemon.plan->recordStoreFailure(m_now);
    if (isConfirmation) {
        table.isConfirming = false;
        return;
    }
    table.isFailing = true;
    answerHeldRequests(index);
    runNextStep(index, tableIndex);
}

void RowsSimulation::askReader(std::size_t index, std::size_t tableIndex, std::size_t reader,
                               bool isAlternate)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const Daemon &asked = *m_daemons[reader];
    const std::uint64_t startNumber = daemon.startNumber;
    if (isAlternate)
        ++table.pendingAlternates;
    // The host of a stopped process refuses the connection at once.
    const bool isRefused = !asked.isUp && isReachable(daemon, asked);
    const Duration timeout =
        isRefused ? 2 * randomLatency() : (isAlternate ? alternateWait : followWait) + followGrace;
    const auto pending = std::make_shared<PendingRequest>(true, m_now + timeout);
    awaitAnswer(pending, [=, this] {
        Daemon &waiting = *m_daemons[index];
        if (!waiting.isUp || waiting.startNumber != startNumber)
            return;
        handle(index, [=, this] {
            if (std::exchange(pending->isOpen, false))
                recordReaderFailure(index, tableIndex, reader, isAlternate, ReaderFailure::Silent);
        });
    });
    if (isRefused || !isReachable(daemon, asked))
        return;
    const HeldRequest held{
        index,         startNumber, tableIndex, pending,
        table.version, isAlternate, m_now,      isAlternate ? table.confirmedAt : Instant::max()};
    const std::uint64_t askedStartNumber = asked.startNumber;
    after(randomLatency(), [=, this] {
        if (m_daemons[reader]->startNumber == askedStartNumber && m_daemons[reader]->isUp)
            handle(reader, [=, this] { receiveRequest(reader, held); });
    });
}

/** Calls \a timedOut when the request times out; its deadline may move in the meantime. */
void RowsSimulation::awaitAnswer(const std::shared_ptr<PendingRequest> &pending, Callback timedOut)
{
    after(pending->until - m_now, [this, pending, timedOut = std::move(timedOut)] {
        if (m_now < pending->until)
            awaitAnswer(pending, timedOut);
        else
            timedOut();
    });
}

void RowsSimulation::receiveRequest(std::size_t index, HeldRequest held)
{
    Daemon &daemon = *m_daemons[index];
    held.requestedAt = m_now;
    held.newerThan = std::min(held.newerThan, daemon.tables[held.table].confirmedAt);
    daemon.held.push_back(held);
    answerHeldRequests(index);
}

void RowsSimulation::answerHeldRequests(std::size_t index)
{
    std::list<HeldRequest> open = std::exchange(m_daemons[index]->held, {});
    std::erase_if(open, [&](const HeldRequest &held) { return tryAnswer(index, held); });
    m_daemons[index]->held.splice(m_daemons[index]->held.end(), open);
}

bool RowsSimulation::tryAnswer(std::size_t index, const HeldRequest &held)
{
    Daemon &daemon = *m_daemons[index];
    const Table rows = daemon.tables[held.table];
    const bool hasWaited =
        m_now - held.requestedAt >= (held.isAlternate ? alternateWait : followWait);
    const auto answer = [this, index, held](Callback callback, std::size_t bytes = 0) {
        // Sending an answer takes processor time, too.
        handle(index, [this, index, held, bytes, callback = std::move(callback)] {
            Daemon &asking = *m_daemons[held.from];
            if (!isReachable(*m_daemons[index], asking))
                return;
            const auto arrived = [this, held, callback] {
                Daemon &receiver = *m_daemons[held.from];
                if (receiver.isUp && receiver.startNumber == held.startNumber)
                    handle(held.from, [this, held, callback] {
                        if (std::exchange(held.pending->isOpen, false))
                            callback();
                    });
            };
            if (bytes > 0)
                held.pending->until = std::max(held.pending->until, m_now + maxTransferTime);
            transfer(index, held.from, bytes, arrived, held.pending);
        });
    };
    if (!isServing(daemon) || (hasWaited && !isFresh(daemon, held.table))) {
        answer([this, index, held] {
            recordReaderFailure(held.from, held.table, index, held.isAlternate,
                                ReaderFailure::Refused);
        });
        return true;
    }
    const bool isNewer = rows.version > held.version || rows.confirmedAt > held.newerThan;
    if (!isFresh(daemon, held.table) || (!isNewer && !hasWaited))
        return false;
    const std::size_t bytes = bytesOf(held.table, held.version, rows.version);
    if (!daemon.link.tryReserve(bytes + baseAnswerBytes, m_now)) {
        answer([this, index, held] {
            recordReaderFailure(held.from, held.table, index, held.isAlternate,
                                ReaderFailure::Busy);
        });
        return true;
    }
    answer([this, index, held,
            rows] { readerAnswered(held.from, held.table, index, held.isAlternate, rows); },
           bytes);
    return true;
}

void RowsSimulation::readerAnswered(std::size_t index, std::size_t tableIndex, std::size_t reader,
                                    bool isAlternate, const Table &rows)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    if (isAlternate)
        --table.pendingAlternates;
    const unsigned chainLength = rows.chainLength + 1;
    constexpr unsigned maxChainLength = 4;
    if (!isAlternate && chainLength > maxChainLength) {
        recordReaderFailure(index, tableIndex, reader, false, ReaderFailure::Refused);
        return;
    }
    const bool isNew = rows.version >= table.version
        && (rows.confirmedAt > table.confirmedAt || rows.version > table.version || !table.hasRows);
    if (isNew) {
        table.hasRows = true;
        table.isFailing = false;
        table.version = rows.version;
        table.confirmedAt = std::max(table.confirmedAt, rows.confirmedAt);
    }
    if (!isAlternate) {
        table.chainLength = chainLength;
        daemon.plan->recordReaderSuccess(m_daemons[reader]->host);
    }
    if (isNew && tableIndex == Ownership)
        applyOwnershipRows(index);
    if (isNew)
        answerHeldRequests(index);
    if (!isAlternate)
        runNextStep(index, tableIndex);
}

void RowsSimulation::recordReaderFailure(std::size_t index, std::size_t tableIndex,
                                         std::size_t reader, bool isAlternate,
                                         ReaderFailure failure)
{
    Daemon &daemon = *m_daemons[index];
    Table &table = daemon.tables[tableIndex];
    const HostName &host = m_daemons[reader]->host;
    if (isAlternate) {
        --table.pendingAlternates;
        if (failure != ReaderFailure::Busy)
            daemon.plan->recordReaderFailure(host, ReaderFailure::Refused, m_now);
        return;
    }
    if (failure == ReaderFailure::Busy && !daemon.plan->isStoreFailing()) {
        followStore(index, tableIndex);
        return;
    }
    daemon.plan->recordReaderFailure(host, failure, m_now);
    runNextStep(index, tableIndex);
}

/** The periodic work of a daemon, every 50 ms. */
void RowsSimulation::checkDaemon(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t startNumber = daemon.startNumber;
    after(checkInterval, [this, index, startNumber] {
        if (m_daemons[index]->isUp && m_daemons[index]->startNumber == startNumber)
            handle(index, [this, index] { checkDaemon(index); });
    });
    answerHeldRequests(index);
    registerDaemon(index);
    const Table &servers = daemon.tables[Servers];
    if (servers.hasRows && canReachStore(daemon))
        m_maxAge = std::max(m_maxAge, m_now - servers.confirmedAt);
    for (std::size_t table = 0; table < tableCount; ++table)
        checkTable(index, table);
}

/** Requests a confirmation of the rows of a table if they are too old. */
void RowsSimulation::checkTable(std::size_t index, std::size_t tableIndex)
{
    Daemon &daemon = *m_daemons[index];
    const Table &table = daemon.tables[tableIndex];
    if (!table.hasRows || table.isFailing || table.isConfirming)
        return;
    const std::array<Duration, tableCount> readerConfirmsAfter{1s, m_budget.askAlternatesAfter(),
                                                               m_configBudget.readerConfirmAfter()};
    const auto confirmed = confirmation(tableIndex);
    const Duration age = m_now - table.confirmedAt;
    const bool isAtStore = table.source == index;
    if (isAtStore && age < readerConfirmsAfter.at(tableIndex))
        return;
    if (!isAtStore && (!confirmed || age < confirmed->askAlternatesAfter))
        return;
    if (!isAtStore && table.pendingAlternates == 0) {
        for (const RowsReader &reader :
             daemon.plan->alternateReaders(m_daemons[table.source]->host, m_now))
            askReader(index, tableIndex, reader.address.port, true);
    }
    if (!isAtStore && table.pendingAlternates > 0 && age < confirmed->askStoreAfter)
        return;
    if (!daemon.plan->mayCallStore(m_now))
        return;
    if (std::ranges::any_of(daemon.tables, &Table::isConfirming))
        return;
    daemon.tables[tableIndex].isConfirming = true;
    askStore(index, tableIndex, 0ms, true);
}

std::optional<RowsSimulation::ConfirmationDelays>
RowsSimulation::confirmation(std::size_t table) const
{
    if (table == Servers)
        return ConfirmationDelays{m_budget.askAlternatesAfter(), m_budget.confirmAfter()};
    if (table == Config)
        return ConfirmationDelays{m_configBudget.askAlternatesAfter(),
                                  m_configBudget.confirmAfter()};
    return std::nullopt;
}

void RowsSimulation::registerDaemon(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const bool hasRow = std::ranges::any_of(
        m_rows, [&](const Row &row) { return row.daemon == index && row.removedAs == 0; });
    if (!daemon.tables[Ownership].hasRows || daemon.isRegistering || hasRow)
        return;
    daemon.isRegistering = true;
    ++m_calls;
    ++daemon.calls;
    const std::uint64_t startNumber = daemon.startNumber;
    if (daemon.store == StoreState::Answering) {
        after(randomLatency() + 4ms, [this, index] {
            m_rows.push_back({index, ++m_version, 0});
            m_versions[Ownership] = m_version;
            wakeWaitingCalls(Ownership);
        });
    }
    after(registrationRetryDelay, [this, index, startNumber] {
        if (m_daemons[index]->startNumber == startNumber)
            m_daemons[index]->isRegistering = false;
    });
}

/** Passes the daemons' rows that the daemon has received to its plan. */
void RowsSimulation::applyOwnershipRows(std::size_t index)
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
        renewer.version = {0, row.writtenAs};
        // The port of the address holds the daemon's index in this simulation.
        renewer.row = {Incarnation{other.host.value()},
                       {"", static_cast<std::uint16_t>(row.daemon)},
                       other.domain,
                       other.processors};
        shown.push_back(renewer);
    }
    daemon.plan->setDaemons(shown);
}

void RowsSimulation::wakeWaitingCalls(std::size_t table)
{
    for (const auto &daemon : m_daemons) {
        if (Callback wake = std::exchange(daemon->tables[table].wake, {}))
            wake();
    }
}

bool RowsSimulation::isFresh(const Daemon &daemon, std::size_t table) const
{
    const Table &rows = daemon.tables[table];
    const auto confirmed = confirmation(table);
    return rows.hasRows && (!confirmed || m_now - rows.confirmedAt < confirmed->askStoreAfter);
}

bool RowsSimulation::isServing(const Daemon &daemon) const
{
    return !daemon.plan->isStoreFailing() && std::ranges::none_of(daemon.tables, &Table::isFailing);
}

bool RowsSimulation::isReachable(const Daemon &from, const Daemon &to) const
{
    return m_now >= from.isolatedUntil && m_now >= to.isolatedUntil;
}

/** \returns whether the daemon has been able to call the store for at least the settling time. */
bool RowsSimulation::canReachStore(const Daemon &daemon) const
{
    constexpr Duration settlingTime = 300ms;
    return daemon.isUp && m_now >= daemon.frozenUntil + settlingTime
        && daemon.store == StoreState::Answering && m_now >= daemon.storeChangedAt + settlingTime;
}

std::uint64_t RowsSimulation::storeCallCount() const
{
    return m_calls;
}

std::uint64_t RowsSimulation::maxCallsOfOneDaemon() const
{
    std::uint64_t most = 0;
    for (const auto &daemon : m_daemons)
        most = std::max(most, daemon->calls);
    return most;
}

std::size_t RowsSimulation::completeCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [](const auto &daemon) {
        return std::ranges::all_of(daemon->tables, &Table::hasRows);
    }));
}

Duration RowsSimulation::maxAge() const
{
    Duration oldest{};
    for (const auto &daemon : m_daemons) {
        if (canReachStore(*daemon))
            oldest = std::max(oldest, m_now - daemon->tables[Servers].confirmedAt);
    }
    return oldest;
}

Duration RowsSimulation::takeMaxAge()
{
    return std::exchange(m_maxAge, {});
}

std::size_t RowsSimulation::daemonAtRank(std::size_t domain, std::size_t rank) const
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

std::size_t RowsSimulation::daemonCount() const
{
    return m_daemons.size();
}

void RowsSimulation::freeze(std::size_t daemon, Duration span)
{
    m_daemons[daemon]->frozenUntil = m_now + span;
}

void RowsSimulation::kill(std::size_t daemon, Duration restartAfter)
{
    m_daemons[daemon]->isUp = false;
    ++m_daemons[daemon]->startNumber;
    after(restartAfter, [this, daemon] { start(daemon); });
}

void RowsSimulation::isolateFromDaemons(std::size_t daemon, Duration span)
{
    m_daemons[daemon]->isolatedUntil = m_now + span;
}

void RowsSimulation::setStore(std::size_t daemon, StoreState state)
{
    m_daemons[daemon]->store = state;
    m_daemons[daemon]->storeChangedAt = m_now;
}

void RowsSimulation::removeRows(const std::vector<std::size_t> &daemons)
{
    ++m_version;
    for (Row &row : m_rows) {
        if (row.removedAs == 0 && std::ranges::find(daemons, row.daemon) != daemons.end())
            row.removedAs = m_version;
    }
    m_versions[Ownership] = m_version;
    wakeWaitingCalls(Ownership);
}

void RowsSimulation::changeServers()
{
    m_versions[Servers] = ++m_version;
    wakeWaitingCalls(Servers);
}

void RowsSimulation::changeConfig()
{
    m_versions[Config] = ++m_version;
    m_configVersions.push_back(m_version);
    wakeWaitingCalls(Config);
}

void RowsSimulation::restoreStore()
{
    // Numbers of an era are far above those of the one before, which orders versions as pairs.
    constexpr std::uint64_t versionsPerEra = 1'000'000'000;
    m_version = (m_version / versionsPerEra + 1) * versionsPerEra;
    m_eraStart = m_version;
    m_versions.fill(m_version);
    for (const std::size_t table : {Ownership, Servers, Config})
        wakeWaitingCalls(table);
}

std::size_t RowsSimulation::outdatedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [this](const auto &daemon) {
        return canReachStore(*daemon) && daemon->tables[Config].version < m_versions[Config];
    }));
}

std::size_t RowsSimulation::allOutdatedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [this](const auto &daemon) {
        return daemon->isUp && daemon->tables[Config].version < m_versions[Config];
    }));
}

std::uint64_t RowsSimulation::relayedBytes() const
{
    return m_relayedBytes;
}

} // namespace bulrush::test
