#include "tablefollower.h"

#include "process/hostclock.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view storeSource = "store";

std::string_view nameOf(ReaderFailure failure)
{
    switch (failure) {
    case ReaderFailure::Refused:
        return "reader-refused";
    case ReaderFailure::Silent:
        return "reader-silent";
    case ReaderFailure::Busy:
        break;
    }
    return "reader-busy";
}

} // namespace

TableFollower::TableFollower(const FollowParts &parts, std::string table, FollowPace pace)
    : m_parts(parts)
    , m_table(std::move(table))
    , m_pace(pace)
{
    m_parts.group.add(*this);
}

void TableFollower::start(ChangeHandler changed, AnswerHandler answered)
{
    begin(std::move(changed), std::move(answered));
    next();
}

void TableFollower::startAtStore(ChangeHandler changed, AnswerHandler answered)
{
    begin(std::move(changed), std::move(answered));
    carryOut(AskStore{});
}

void TableFollower::begin(ChangeHandler changed, AnswerHandler answered)
{
    m_changed = std::move(changed);
    m_answered = std::move(answered);
    m_parts.timers.every(lookEvery, [this](Instant now) { look(now); });
}

void TableFollower::next()
{
    const FollowedTable table{m_rows.areKnown(), m_pace.confirmation.has_value()};
    const FollowStep step = m_parts.plan.next(table, io::hostNow());
    std::visit([this](const auto &known) { carryOut(known); }, step);
}

void TableFollower::carryOut(const AskLater &step)
{
    if (m_parts.plan.isStoreFailing())
        noteLost("nobody has rows to tell");
    m_parts.timers.after(step.after, [this](Instant) { next(); });
}

void TableFollower::carryOut(const AskStore & /*step*/)
{
    setSource(std::string{storeSource});
    m_chain = 0;
    if (m_rows.areKnown() && !m_isAllWanted)
        followStore();
    else
        read();
}

void TableFollower::carryOut(const AskReader &step)
{
    const RowsReader reader = step.reader;
    setSource(reader.host.value());
    // One that has read all rows anew since then tells all of them.
    m_parts.relay.follow(
        reader.address, {m_table, m_rows.version()},
        [this, reader](FollowAnswer answer) { takenFromReader(reader, std::move(answer)); });
}

void TableFollower::read()
{
    const Instant sentAt = io::hostNow();
    m_isReading = true;
    m_parts.store.read(m_table, [this, sentAt](platform::RowsOutcome outcome) {
        m_isReading = false;
        taken(std::move(outcome), true, sentAt);
    });
}

void TableFollower::followStore()
{
    const Instant sentAt = io::hostNow();
    // Where the store is tried, or others wait for what this daemon is to read, an answer is wanted
    // at once.
    const bool isFirst = std::exchange(m_isFirstAtStore, false);
    const bool isUrgent = isFirst || m_isFailing || m_parts.plan.isStoreFailing();
    const Duration wait = isUrgent ? Duration::zero() : m_pace.wait;
    m_wait = m_parts.store.follow(m_table, m_rows.version(), wait,
                                  [this, sentAt](platform::RowsOutcome outcome) {
                                      m_wait.reset();
                                      taken(std::move(outcome), false, sentAt);
                                  });
}

void TableFollower::takenFromReader(const RowsReader &reader, FollowAnswer answer)
{
    if (!answer.rows) {
        m_reason = nameOf(answer.failure);
        readerFailed(reader, answer.failure);
        return;
    }
    m_chain = answer.rows->chain + 1;
    if (m_chain > longestChain) {
        m_reason = "chain-too-long";
        readerFailed(reader, ReaderFailure::Refused);
        return;
    }
    m_parts.plan.readerServed(reader.host);
    if (answer.rows->version < m_rows.version()) {
        carryOut(AskLater{behindPause});
        return;
    }
    const bool isNews = adoptRelayed(std::move(*answer.rows), answer.asOf);
    logSource();
    recovered();
    if (isNews)
        m_parts.group.published();
    next();
}

void TableFollower::readerFailed(const RowsReader &reader, ReaderFailure failure)
{
    // The store's link is wide. Who follows goes on with this reader afterwards.
    if (failure == ReaderFailure::Busy && !m_parts.plan.isStoreFailing()) {
        carryOut(AskStore{});
        return;
    }
    m_parts.plan.readerFailed(reader.host, failure, io::hostNow());
    next();
}

/** Takes in what another daemon told. \returns whether that is news. */
bool TableFollower::adoptRelayed(RelayedRows rows, Instant asOf)
{
    // One that knows less than this daemon has no rows for it, nor can tell that they still hold.
    if (rows.version < m_rows.version())
        return false;
    const Instant now = io::hostNow();
    const bool isAfterOutage = rows.isAfterOutage || wasAway(now);
    const bool isNews =
        rows.version > m_rows.version() || !m_rows.areKnown() || (m_isAllWanted && rows.isWhole);
    if (!isNews && asOf <= m_knownAt)
        return false;
    const Instant unchangedUntil = m_knownAt;
    noteKnown(asOf);
    if (isNews) {
        const platform::RowsOutcome outcome{{}, std::move(rows.rows), rows.version};
        remember(outcome, rows.isWhole, isAfterOutage);
        if (rows.isWhole || !outcome.rows.empty())
            m_changed(
                {outcome.rows, m_rows.version(), rows.isWhole, isAfterOutage, unchangedUntil});
    }
    m_answered(asOf);
    return true;
}

void TableFollower::noteKnown(Instant asOf)
{
    if (asOf <= m_knownAt)
        return;
    m_knownAt = asOf;
    m_isUnconfirmed = false;
}

void TableFollower::setSource(const std::string &source)
{
    if (std::exchange(m_source, source) != source)
        m_isFirstAtStore = source == storeSource;
}

/** Tells who has told of rows, if it is another one than before. */
void TableFollower::logSource()
{
    if (std::exchange(m_loggedSource, m_source) == m_source)
        return;
    io::logEvent(LogLevel::Info, "rows-source",
                 {{"table", m_table},
                  {"source", m_source},
                  {"reason", std::string{std::exchange(m_reason, "order")}},
                  {"age-ms", io::millisecondsText(io::hostNow() - m_knownAt)}});
}

void TableFollower::taken(platform::RowsOutcome outcome, bool isWhole, Instant sentAt)
{
    if (outcome.error == platform::StoreError::HistoryGone) {
        io::logEvent(LogLevel::Info, "store-history-gone", {{"table", m_table}});
        m_parts.plan.storeAnswered();
        m_isAllWanted = true;
        read();
        return;
    }
    if (outcome.error) {
        failed(outcome.error);
        return;
    }
    m_parts.plan.storeAnswered();
    m_answered(adopt(std::move(outcome), isWhole, sentAt));
    m_parts.group.published();
    if (m_pace.pause > Duration::zero() && !isWhole)
        m_parts.timers.after(m_pace.pause, [this](Instant) { next(); });
    else
        next();
}

/** Takes in an answer of the store. \returns an instant at which it held just these rows. */
Instant TableFollower::adopt(platform::RowsOutcome outcome, bool isWhole, Instant sentAt)
{
    const Instant now = io::hostNow();
    const Instant givenAt =
        outcome.storeTime ? m_parts.clock.givenAt(sentAt, now, *outcome.storeTime) : sentAt;
    if (outcome.skipped > 0)
        io::logEvent(LogLevel::Error, "rows-unreadable",
                     {{"table", m_table}, {"count", std::to_string(outcome.skipped)}});
    const std::uint64_t storeVersion = outcome.version;
    // What has come from elsewhere meanwhile must not be undone by a call that was sent before.
    if (isWhole)
        m_rows.bringUpToDate(outcome);
    else if (outcome.version <= m_rows.version())
        outcome.rows.clear();
    const bool isAfterOutage = wasAway(now);
    const Instant unchangedUntil = m_knownAt;
    noteKnown(givenAt);
    if (m_source == storeSource)
        logSource();
    recovered();
    remember(outcome, isWhole, isAfterOutage);
    if (isWhole || !outcome.rows.empty())
        m_changed(
            {std::move(outcome.rows), m_rows.version(), isWhole, isAfterOutage, unchangedUntil});
    m_parts.group.noteStoreVersion(storeVersion, givenAt);
    return givenAt;
}

/** Sees to it that the rows are confirmed, and that it shows when they can't be. */
void TableFollower::look(Instant now)
{
    // Where the loop was held up, answers may be there that are yet to be taken: one look is
    // skipped.
    const bool wasHeldUp = now - std::exchange(m_lookedAt, now) > 2 * lookEvery;
    m_isLookSkipped = wasHeldUp && !m_isLookSkipped;
    if (!m_rows.areKnown() || m_isFailing || m_isLookSkipped)
        return;
    const Duration age = now - m_knownAt;
    if (m_source == storeSource && age >= m_pace.confirmAfter && !m_confirmingSince)
        confirmAtStore(now);
    if (!m_pace.confirmation)
        return;
    if (m_confirmingSince) {
        const bool isLate = now - *m_confirmingSince >= m_pace.confirmation->within;
        if (isLate && age >= m_pace.confirmation->after)
            m_isUnconfirmed = true;
        return;
    }
    if (m_source == storeSource || age < m_pace.confirmation->askBesideAfter)
        return;
    const bool isAskingOthers = askBeside(now);
    if (!isAskingOthers || age >= m_pace.confirmation->after)
        confirmAtStore(now);
}

/** Asks others than the one that is waited for. \returns whether any is being asked. */
bool TableFollower::askBeside(Instant now)
{
    if (m_askedBeside > 0)
        return true;
    const FollowQuestion question{m_table, m_rows.version(), now - m_knownAt};
    for (const RowsReader &reader : m_parts.plan.readersBeside(HostName{m_source}, now)) {
        ++m_askedBeside;
        m_parts.relay.askBeside(
            reader.address, question, [this, host = reader.host](FollowAnswer answer) {
                --m_askedBeside;
                if (!answer.rows && answer.failure != ReaderFailure::Busy)
                    m_parts.plan.readerFailed(host, ReaderFailure::Refused, io::hostNow());
                else if (answer.rows && adoptRelayed(std::move(*answer.rows), answer.asOf))
                    m_parts.group.published();
            });
    }
    return m_askedBeside > 0;
}

void TableFollower::confirmAtStore(Instant now)
{
    if (!m_parts.plan.mayAskStore(now)) {
        m_isUnconfirmed = true;
        return;
    }
    // A store that is silent is silent about all tables: one call finds out.
    if (m_parts.group.isConfirming(now))
        return;
    const Duration age = now - m_knownAt;
    if (m_pace.confirmation && age >= m_pace.confirmation->askBesideAfter)
        io::logEvent(
            LogLevel::Warning, "rows-old",
            {{"table", m_table}, {"source", m_source}, {"age-ms", io::millisecondsText(age)}});
    confirm();
}

bool TableFollower::isConfirming(Instant now) const
{
    return m_confirmingSince && now - *m_confirmingSince < confirmPatience;
}

void TableFollower::noteStoreVersion(std::uint64_t version, Instant givenAt)
{
    if (!m_rows.areKnown() || version != m_rows.version() || givenAt <= m_knownAt)
        return;
    noteKnown(givenAt);
    m_answered(givenAt);
}

void TableFollower::confirm()
{
    if (m_confirmingSince || !m_rows.areKnown() || m_isFailing || m_isReading)
        return;
    const Instant sentAt = io::hostNow();
    m_confirmingSince = sentAt;
    m_waitDoubted = m_wait;
    m_parts.store.follow(m_table, m_rows.version(), Duration::zero(),
                         [this, sentAt](platform::RowsOutcome outcome) {
                             m_confirmingSince.reset();
                             confirmed(std::move(outcome), sentAt);
                         });
}

void TableFollower::confirmed(platform::RowsOutcome outcome, Instant sentAt)
{
    const bool isWaitDoubted = m_wait && m_wait == m_waitDoubted;
    if (outcome.error) {
        m_parts.plan.storeFailed(io::hostNow());
        m_isUnconfirmed = true;
        if (isWaitDoubted)
            askAnew();
        return;
    }
    m_parts.plan.storeAnswered();
    if (m_isFailing || m_isReading)
        return;
    const bool isNews = !outcome.rows.empty();
    m_answered(adopt(std::move(outcome), false, sentAt));
    m_parts.group.published();
    if (!isWaitDoubted || !isNews)
        return;
    // The wait should have brought that: its answer may be lost.
    m_parts.store.cancel(*m_wait);
    followStore();
}

void TableFollower::askAnew()
{
    if (!m_wait)
        return;
    m_parts.store.cancel(*m_wait);
    m_wait.reset();
    failed(platform::StoreError::Unknown);
}

void TableFollower::failed(std::error_code error)
{
    m_parts.plan.storeFailed(io::hostNow());
    // Changes may have been missed: everything is read again.
    m_isAllWanted = true;
    m_reason = "store-failed";
    const bool isFirst = noteLost(error.message());
    if (isFirst && error == platform::StoreError::Unknown)
        m_parts.group.storeSilent(*this);
    m_parts.group.published();
    next();
}

/** Notes that nothing is heard of changes. \returns whether that is news. */
bool TableFollower::noteLost(std::string_view reason)
{
    if (std::exchange(m_isFailing, true))
        return false;
    m_failingSince = io::hostNow();
    io::logEvent(LogLevel::Warning, "store-lost",
                 {{"table", m_table}, {"error", std::string{reason}}});
    askPeers();
    return true;
}

/** Notes that the store's word has come, here or by another daemon. */
void TableFollower::recovered()
{
    if (std::exchange(m_isFailing, false))
        io::logEvent(LogLevel::Info, "store-regained", {{"table", m_table}, {"by", m_source}});
}

/** \returns whether nobody told of rows for so long that rows may have lapsed. */
bool TableFollower::wasAway(Instant now) const
{
    return m_isFailing && now - m_failingSince > outage;
}

void TableFollower::remember(const platform::RowsOutcome &outcome, bool isWhole, bool isAfterOutage)
{
    if (isWhole) {
        m_rows.takeAll(outcome, isAfterOutage);
        m_isAllWanted = false;
    } else {
        m_rows.takeChanges(outcome);
    }
}

void TableFollower::askPeers()
{
    if (!m_isFailing)
        return;
    m_parts.relay.ask({m_table, m_rows.version()}, [this](FollowAnswer answer) {
        // One that lost the store as well tells what it knew; whoever serves rows is followed.
        if (m_isFailing && answer.rows)
            adoptRelayed(std::move(*answer.rows), answer.asOf);
    });
    m_parts.timers.after(askPeersEvery, [this](Instant) { askPeers(); });
}

bool TableFollower::isServing() const
{
    return m_parts.group.isServing() && !m_parts.plan.isStoreFailing();
}

bool TableFollower::isFresh(Instant now) const
{
    return m_rows.areKnown()
        && (!m_pace.confirmation || now - m_knownAt < m_pace.confirmation->after);
}

RelayedRows TableFollower::rowsSince(std::uint64_t version, Instant askedAt) const
{
    RelayedRows told = m_rows.since(version);
    told.age = askedAt - m_knownAt;
    told.chain = m_chain;
    return told;
}

} // namespace bulrush
