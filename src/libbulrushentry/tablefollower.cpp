#include "tablefollower.h"

#include "process/hostclock.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view storeSource = "store";

std::string_view reasonFor(ReaderFailure failure)
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

/** \returns whether a call failed because the store does not have the changes that it asked for. */
bool isHistoryMissing(std::error_code error)
{
    return error == platform::StoreError::HistoryExpired || error == platform::StoreError::Restored;
}

} // namespace

TableFollower::TableFollower(const FollowerDependencies &deps, std::string table,
                             FollowTimings timings)
    : m_deps(deps)
    , m_table(std::move(table))
    , m_timings(timings)
    , m_rereadBackoff(minRereadBackoff, maxRereadBackoff, m_table)
{
    m_deps.group.add(*this);
}

void TableFollower::start(ChangeHandler changed, AnswerHandler answered)
{
    begin(std::move(changed), std::move(answered));
    runNextStep();
}

void TableFollower::startWithStore(ChangeHandler changed, AnswerHandler answered)
{
    begin(std::move(changed), std::move(answered));
    execute(QueryStore{});
}

void TableFollower::begin(ChangeHandler changed, AnswerHandler answered)
{
    m_changeHandler = std::move(changed);
    m_answerHandler = std::move(answered);
    m_deps.timers.every(checkInterval, [this](Instant now) { checkAge(now); });
}

void TableFollower::runNextStep()
{
    const FollowedTable table{m_rows.isLoaded(), m_timings.confirmation.has_value()};
    const FollowStep step = m_deps.plan.next(table, io::hostNow());
    std::visit([this](const auto &known) { execute(known); }, step);
}

void TableFollower::execute(const RetryLater &step)
{
    if (m_deps.plan.isStoreFailing())
        enterFailing("nobody has rows to tell");
    m_deps.timers.after(step.after, [this](Instant) { runNextStep(); });
}

void TableFollower::execute(const QueryStore & /*step*/)
{
    setSource(std::string{storeSource});
    m_chainLength = 0;
    if (m_rows.isLoaded() && !m_needsAllRows)
        followStore();
    else
        readAllRows();
}

void TableFollower::execute(const QueryReader &step)
{
    const RowsReader reader = step.reader;
    setSource(reader.host.value());
    // A reader that has read the complete table since this version returns all rows.
    m_deps.rowsClient.follow(
        reader.address, {m_table, m_rows.version()},
        [this, reader](FollowAnswer answer) { handleReaderAnswer(reader, std::move(answer)); });
}

void TableFollower::readAllRows()
{
    const Instant sentAt = io::hostNow();
    m_isReading = true;
    m_deps.store.read(m_table, [this, sentAt](platform::RowsOutcome outcome) {
        m_isReading = false;
        handleRowsResult(std::move(outcome), true, sentAt);
    });
}

void TableFollower::followStore()
{
    const Instant sentAt = io::hostNow();
    // The answer must come at once if the call tests whether the store is reachable, or if other
    // daemons wait for rows that this one reads.
    const bool isFirst = std::exchange(m_isFirstStoreCall, false);
    const bool isUrgent = isFirst || m_isFailing || m_deps.plan.isStoreFailing();
    const Duration wait = isUrgent ? Duration::zero() : m_timings.wait;
    m_waitCall = m_deps.store.follow(m_table, m_rows.version(), wait,
                                     [this, sentAt](platform::RowsOutcome outcome) {
                                         m_waitCall.reset();
                                         handleRowsResult(std::move(outcome), false, sentAt);
                                     });
}

void TableFollower::handleReaderAnswer(const RowsReader &reader, FollowAnswer answer)
{
    if (!answer.rows) {
        m_switchReason = reasonFor(answer.failure);
        handleReaderFailure(reader, answer.failure);
        return;
    }
    m_chainLength = answer.rows->chain + 1;
    if (m_chainLength > maxChainLength) {
        m_switchReason = "chain-too-long";
        handleReaderFailure(reader, ReaderFailure::Refused);
        return;
    }
    m_deps.plan.recordReaderSuccess(reader.host);
    if (answer.rows->version < m_rows.version()) {
        execute(RetryLater{outdatedReaderRetryDelay});
        return;
    }
    const bool isNew = applyRelayedRows(std::move(*answer.rows), answer.asOf);
    logSource();
    leaveFailing();
    if (isNew)
        m_deps.group.notifyChanged();
    runNextStep();
}

void TableFollower::handleReaderFailure(const RowsReader &reader, ReaderFailure failure)
{
    // The store has enough bandwidth. The reader is not recorded as failed, so that the plan can
    // select it again for the next call.
    if (failure == ReaderFailure::Busy && !m_deps.plan.isStoreFailing()) {
        execute(QueryStore{});
        return;
    }
    m_deps.plan.recordReaderFailure(reader.host, failure, io::hostNow());
    runNextStep();
}

/** Applies the answer of another daemon. \returns whether it changed or confirmed the rows. */
bool TableFollower::applyRelayedRows(RelayedRows rows, Instant asOf)
{
    // A daemon with an older version has no new rows, and cannot confirm the rows held here.
    if (rows.version < m_rows.version())
        return false;
    const Instant now = io::hostNow();
    const bool isRestored = isRestoredBy(rows.version);
    if (isRestored && !rows.isComplete)
        return false;
    const bool isAfterOutage = rows.isAfterOutage || isOutage(now) || isRestored;
    const bool isNew = rows.version > m_rows.version() || !m_rows.isLoaded()
        || (m_needsAllRows && rows.isComplete);
    if (!isNew && asOf <= m_confirmedAt)
        return false;
    const Instant unchangedUntil = m_confirmedAt;
    recordConfirmation(asOf);
    if (isNew) {
        const platform::RowsOutcome outcome{{}, std::move(rows.rows), rows.version};
        if (isRestored)
            logRestore(outcome.version, outcome.rows.size());
        updateRows(outcome, rows.isComplete, isAfterOutage);
        if (rows.isComplete || !outcome.rows.empty())
            m_changeHandler({outcome.rows, m_rows.version(), rows.isComplete, isAfterOutage,
                             unchangedUntil, isRestored});
    }
    m_answerHandler(asOf);
    return true;
}

void TableFollower::recordConfirmation(Instant asOf)
{
    if (asOf <= m_confirmedAt)
        return;
    m_confirmedAt = asOf;
    m_isUnconfirmed = false;
}

void TableFollower::setSource(const std::string &source)
{
    if (std::exchange(m_source, source) != source)
        m_isFirstStoreCall = source == storeSource;
}

/** Logs the source of rows if it has changed. */
void TableFollower::logSource()
{
    if (std::exchange(m_loggedSource, m_source) == m_source)
        return;
    io::logEvent(LogLevel::Info, "rows-source",
                 {{"table", m_table},
                  {"source", m_source},
                  {"reason", std::string{std::exchange(m_switchReason, "order")}},
                  {"age-ms", io::millisecondsText(io::hostNow() - m_confirmedAt)}});
}

void TableFollower::handleRowsResult(platform::RowsOutcome outcome, bool isComplete, Instant sentAt)
{
    if (isHistoryMissing(outcome.error)) {
        readAgain(outcome.error);
        return;
    }
    if (isOutdated(outcome))
        outcome.error = platform::StoreError::OutdatedEra;
    if (outcome.error) {
        handleStoreFailure(outcome.error);
        return;
    }
    m_deps.plan.recordStoreAnswer();
    if (!isComplete) {
        m_wasHistoryMissing = false;
        m_rereadBackoff.succeeded();
    }
    m_answerHandler(applyStoreRows(std::move(outcome), isComplete, sentAt));
    m_deps.group.notifyChanged();
    if (m_timings.pause > Duration::zero() && !isComplete)
        m_deps.timers.after(m_timings.pause, [this](Instant) { runNextStep(); });
    else
        runNextStep();
}

/** Reads the complete table again, as the store does not have the changes since the last rows. */
void TableFollower::readAgain(std::error_code reason)
{
    io::logEvent(LogLevel::Info, "store-history-gone",
                 {{"table", m_table},
                  {"known-version", toString(m_rows.version())},
                  {"reason", reason.message()}});
    m_deps.plan.recordStoreAnswer();
    m_needsAllRows = true;
    if (!std::exchange(m_wasHistoryMissing, true)) {
        readAllRows();
        return;
    }
    const Instant now = io::hostNow();
    m_deps.timers.after(m_rereadBackoff.failed(now) - now, [this](Instant) { runNextStep(); });
}

/** \returns whether \a outcome was given before the store was restored. */
bool TableFollower::isOutdated(const platform::RowsOutcome &outcome) const
{
    return !outcome.error && outcome.version.era < m_rows.version().era;
}

/** \returns whether rows of \a version are the first ones since the store was restored. */
bool TableFollower::isRestoredBy(const StoreVersion &version) const
{
    return m_rows.isLoaded() && version.era > m_rows.version().era;
}

void TableFollower::logRestore(const StoreVersion &version, std::size_t rowCount) const
{
    io::logEvent(LogLevel::Warning, "store-restored",
                 {{"table", m_table},
                  {"before", toString(m_rows.version())},
                  {"version", toString(version)},
                  {"rows", std::to_string(rowCount)},
                  {"source", m_source},
                  {"age-ms", io::millisecondsText(io::hostNow() - m_confirmedAt)}});
}

/** Applies an answer of the store. \returns an instant at which it held exactly these rows. */
Instant TableFollower::applyStoreRows(platform::RowsOutcome outcome, bool isComplete,
                                      Instant sentAt)
{
    const Instant now = io::hostNow();
    const Instant givenAt = outcome.storeTime
        ? m_deps.clock.givenAt(sentAt, now, *outcome.storeTime, outcome.version.era)
        : sentAt;
    if (outcome.skipped > 0)
        io::logEvent(LogLevel::Error, "rows-unreadable",
                     {{"table", m_table}, {"count", std::to_string(outcome.skipped)}});
    const StoreVersion storeVersion = outcome.version;
    const bool isRestored = isRestoredBy(outcome.version);
    if (isComplete)
        io::logEvent(LogLevel::Info, "rows-read",
                     {{"table", m_table},
                      {"version", toString(outcome.version)},
                      {"known-version", toString(m_rows.version())},
                      {"rows", std::to_string(outcome.rows.size())}});
    // The answer to an earlier call must not undo changes received from another source meanwhile.
    if (isComplete)
        m_rows.mergeLaterChanges(outcome);
    else if (outcome.version <= m_rows.version())
        outcome.rows.clear();
    if (isRestored)
        logRestore(outcome.version, outcome.rows.size());
    const bool isAfterOutage = isOutage(now) || isRestored;
    const Instant unchangedUntil = m_confirmedAt;
    recordConfirmation(givenAt);
    if (m_source == storeSource)
        logSource();
    leaveFailing();
    updateRows(outcome, isComplete, isAfterOutage);
    if (isComplete || !outcome.rows.empty())
        m_changeHandler({std::move(outcome.rows), m_rows.version(), isComplete, isAfterOutage,
                         unchangedUntil, isRestored});
    m_deps.group.applyStoreVersion(storeVersion, givenAt);
    return givenAt;
}

/** Requests a confirmation of rows that are too old, and records when none can be had. */
void TableFollower::checkAge(Instant now)
{
    // If the loop was blocked, answers may have arrived that are not processed yet, so one check is
    // skipped.
    const bool wasHeldUp = now - std::exchange(m_checkedAt, now) > 2 * checkInterval;
    m_isCheckSkipped = wasHeldUp && !m_isCheckSkipped;
    if (!m_rows.isLoaded() || m_isFailing || m_isCheckSkipped)
        return;
    const Duration age = now - m_confirmedAt;
    if (m_source == storeSource && age >= m_timings.confirmAfter && !m_confirmingSince)
        confirmAtStore(now);
    if (!m_timings.confirmation)
        return;
    if (m_confirmingSince) {
        const bool isLate = now - *m_confirmingSince >= m_timings.confirmation->answerTimeout;
        if (isLate && age >= m_timings.confirmation->askStoreAfter)
            m_isUnconfirmed = true;
        return;
    }
    if (m_source == storeSource || age < m_timings.confirmation->askAlternatesAfter)
        return;
    const bool isAskingAlternates = askAlternates(now);
    if (!isAskingAlternates || age >= m_timings.confirmation->askStoreAfter)
        confirmAtStore(now);
}

/** Queries daemons other than the silent source. \returns whether any request is pending. */
bool TableFollower::askAlternates(Instant now)
{
    if (m_pendingAlternates > 0)
        return true;
    const FollowRequest request{m_table, m_rows.version(), now - m_confirmedAt};
    for (const RowsReader &reader : m_deps.plan.alternateReaders(HostName{m_source}, now)) {
        ++m_pendingAlternates;
        m_deps.rowsClient.askAlternate(
            reader.address, request, [this, host = reader.host](FollowAnswer answer) {
                --m_pendingAlternates;
                if (!answer.rows && answer.failure != ReaderFailure::Busy)
                    m_deps.plan.recordReaderFailure(host, ReaderFailure::Refused, io::hostNow());
                else if (answer.rows && applyRelayedRows(std::move(*answer.rows), answer.asOf))
                    m_deps.group.notifyChanged();
            });
    }
    return m_pendingAlternates > 0;
}

void TableFollower::confirmAtStore(Instant now)
{
    if (!m_deps.plan.mayCallStore(now)) {
        m_isUnconfirmed = true;
        return;
    }
    // A store that does not answer affects all tables, so one call at a time is enough.
    if (m_deps.group.isConfirming(now))
        return;
    const Duration age = now - m_confirmedAt;
    if (m_timings.confirmation && age >= m_timings.confirmation->askAlternatesAfter)
        io::logEvent(
            LogLevel::Warning, "rows-old",
            {{"table", m_table}, {"source", m_source}, {"age-ms", io::millisecondsText(age)}});
    requestConfirmation();
}

bool TableFollower::isConfirming(Instant now) const
{
    return m_confirmingSince && now - *m_confirmingSince < confirmTimeout;
}

void TableFollower::applyStoreVersion(const StoreVersion &version, Instant givenAt)
{
    // A wait that was sent before the store was restored may miss changes.
    if (isRestoredBy(version) && m_waitCall) {
        m_deps.store.cancel(*m_waitCall);
        m_waitCall.reset();
        readAgain(platform::StoreError::Restored);
        return;
    }
    if (!m_rows.isLoaded() || version != m_rows.version() || givenAt <= m_confirmedAt)
        return;
    recordConfirmation(givenAt);
    m_answerHandler(givenAt);
}

void TableFollower::requestConfirmation()
{
    if (m_confirmingSince || !m_rows.isLoaded() || m_isFailing || m_isReading)
        return;
    const Instant sentAt = io::hostNow();
    m_confirmingSince = sentAt;
    m_suspectWait = m_waitCall;
    m_deps.store.follow(m_table, m_rows.version(), Duration::zero(),
                        [this, sentAt](platform::RowsOutcome outcome) {
                            m_confirmingSince.reset();
                            handleConfirmation(std::move(outcome), sentAt);
                        });
}

void TableFollower::handleConfirmation(platform::RowsOutcome outcome, Instant sentAt)
{
    const bool isWaitSuspect = m_waitCall && m_waitCall == m_suspectWait;
    if (isHistoryMissing(outcome.error)) {
        readToConfirm();
        return;
    }
    if (isOutdated(outcome))
        outcome.error = platform::StoreError::OutdatedEra;
    if (outcome.error) {
        m_deps.plan.recordStoreFailure(io::hostNow());
        m_isUnconfirmed = true;
        if (isWaitSuspect)
            rereadFromStore();
        return;
    }
    m_deps.plan.recordStoreAnswer();
    if (m_isFailing || m_isReading)
        return;
    const bool isNew = !outcome.rows.empty();
    m_answerHandler(applyStoreRows(std::move(outcome), false, sentAt));
    m_deps.group.notifyChanged();
    if (!isWaitSuspect || !isNew)
        return;
    // The pending wait should have returned these rows, so its answer may be lost.
    m_deps.store.cancel(*m_waitCall);
    followStore();
}

/** Reads the complete table, as the store could not confirm the rows by their changes. */
void TableFollower::readToConfirm()
{
    m_deps.plan.recordStoreAnswer();
    if (m_isFailing || m_isReading)
        return;
    if (m_waitCall) {
        m_deps.store.cancel(*m_waitCall);
        m_waitCall.reset();
        readAgain(platform::StoreError::HistoryExpired);
        return;
    }
    // Another daemon is the source, and its answer is pending.
    const Instant sentAt = io::hostNow();
    m_confirmingSince = sentAt;
    m_deps.store.read(m_table, [this, sentAt](platform::RowsOutcome outcome) {
        m_confirmingSince.reset();
        if (isOutdated(outcome))
            outcome.error = platform::StoreError::OutdatedEra;
        if (outcome.error)
            io::logEvent(LogLevel::Warning, "rows-not-read",
                         {{"table", m_table}, {"error", outcome.error.message()}});
        if (outcome.error || m_isFailing)
            return;
        m_answerHandler(applyStoreRows(std::move(outcome), true, sentAt));
        m_deps.group.notifyChanged();
    });
}

void TableFollower::rereadFromStore()
{
    if (!m_waitCall)
        return;
    m_deps.store.cancel(*m_waitCall);
    m_waitCall.reset();
    handleStoreFailure(platform::StoreError::Unknown);
}

void TableFollower::handleStoreFailure(std::error_code error)
{
    m_deps.plan.recordStoreFailure(io::hostNow());
    // Changes may have been missed, so the complete table is read again.
    m_needsAllRows = true;
    m_switchReason = "store-failed";
    const bool isFirst = enterFailing(error.message());
    if (isFirst && error == platform::StoreError::Unknown)
        m_deps.group.handleStoreTimeout(*this);
    m_deps.group.notifyChanged();
    runNextStep();
}

/** Records that no source supplies changes. \returns whether one did before. */
bool TableFollower::enterFailing(std::string_view reason)
{
    if (std::exchange(m_isFailing, true))
        return false;
    m_failingSince = io::hostNow();
    io::logEvent(LogLevel::Warning, "store-lost",
                 {{"table", m_table}, {"error", std::string{reason}}});
    askPeers();
    return true;
}

/** Records that the store has answered, directly or through another daemon. */
void TableFollower::leaveFailing()
{
    if (std::exchange(m_isFailing, false))
        io::logEvent(LogLevel::Info, "store-regained", {{"table", m_table}, {"by", m_source}});
}

/** \returns whether no source has answered for so long that rows may have expired. */
bool TableFollower::isOutage(Instant now) const
{
    return m_isFailing && now - m_failingSince > outageThreshold;
}

void TableFollower::updateRows(const platform::RowsOutcome &outcome, bool isComplete,
                               bool isAfterOutage)
{
    if (isComplete) {
        m_rows.replaceAll(outcome, isAfterOutage);
        m_needsAllRows = false;
    } else {
        m_rows.applyChanges(outcome);
    }
}

void TableFollower::askPeers()
{
    if (!m_isFailing)
        return;
    m_deps.rowsClient.ask({m_table, m_rows.version()}, [this](FollowAnswer answer) {
        // The rows may be old, as that daemon may have lost the store as well. They are used, but
        // only a daemon that serves rows becomes the source.
        if (m_isFailing && answer.rows)
            applyRelayedRows(std::move(*answer.rows), answer.asOf);
    });
    m_deps.timers.after(askPeersInterval, [this](Instant) { askPeers(); });
}

bool TableFollower::isServing() const
{
    return m_deps.group.isServing() && !m_deps.plan.isStoreFailing();
}

bool TableFollower::isFresh(Instant now) const
{
    return m_rows.isLoaded()
        && (!m_timings.confirmation || now - m_confirmedAt < m_timings.confirmation->askStoreAfter);
}

RelayedRows TableFollower::rowsSince(const StoreVersion &version, Instant requestedAt) const
{
    RelayedRows result = m_rows.since(version);
    result.age = requestedAt - m_confirmedAt;
    result.chain = m_chainLength;
    return result;
}

} // namespace bulrush
