#include "tablefollower.h"

#include "process/hostclock.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view storeSource = "store";

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
    m_changed = std::move(changed);
    m_answered = std::move(answered);
    if (m_pace.confirmation)
        m_parts.timers.every(lookEvery, [this](Instant now) { look(now); });
    read();
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

void TableFollower::follow()
{
    if (const auto reader = m_parts.readers.reader(io::hostNow()))
        followReader(*reader);
    else
        followStore();
}

void TableFollower::followReader(const RowsReader &reader)
{
    noteSource(reader.host.value());
    m_parts.relay.follow(reader.address, m_table, m_version,
                         [this, reader](std::optional<RelayedRows> rows, Instant asOf) {
                             takenFromReader(reader, std::move(rows), asOf);
                         });
}

void TableFollower::takenFromReader(const RowsReader &reader, std::optional<RelayedRows> rows,
                                    Instant asOf)
{
    if (!rows) {
        m_parts.readers.failed(reader.host, io::hostNow());
        followStore();
        return;
    }
    m_parts.readers.served(reader.host);
    const Instant unchangedUntil = m_knownAt;
    noteKnown(asOf);
    // A reader that knows less than this daemon did when it asked has no rows for it.
    if (rows->version > m_version) {
        const platform::RowsOutcome outcome{{}, std::move(rows->rows), rows->version};
        m_version = rows->version;
        remember(outcome, rows->isWhole);
        if (rows->isWhole || !outcome.rows.empty())
            m_changed({outcome.rows, m_version, rows->isWhole, false, unchangedUntil});
    }
    m_answered(asOf);
    follow();
}

void TableFollower::noteKnown(Instant asOf)
{
    if (asOf <= m_knownAt)
        return;
    m_knownAt = asOf;
    m_isUnconfirmed = false;
}

void TableFollower::noteSource(const std::string &source)
{
    if (std::exchange(m_source, source) == source)
        return;
    io::logEvent(LogLevel::Info, "rows-source", {{"table", m_table}, {"source", source}});
    m_parts.group.published();
}

void TableFollower::followStore()
{
    noteSource(std::string{storeSource});
    const Instant sentAt = io::hostNow();
    m_wait = m_parts.store.follow(m_table, m_version, storeWait(sentAt),
                                  [this, sentAt](platform::RowsOutcome outcome) {
                                      m_wait.reset();
                                      taken(std::move(outcome), false, sentAt);
                                  });
}

Duration TableFollower::storeWait(Instant now) const
{
    return m_parts.group.isTroubled(now) ? std::min(m_pace.wait, troubledWait) : m_pace.wait;
}

void TableFollower::taken(platform::RowsOutcome outcome, bool isWhole, Instant sentAt)
{
    if (outcome.error == platform::StoreError::HistoryGone) {
        io::logEvent(LogLevel::Info, "store-history-gone", {{"table", m_table}});
        read();
        return;
    }
    if (outcome.error) {
        failed(outcome.error);
        return;
    }
    const bool wasFailing = std::exchange(m_isFailing, false);
    if (wasFailing)
        io::logEvent(LogLevel::Info, "store-regained", {{"table", m_table}});
    m_retry = firstRetry;
    m_answered(adopt(std::move(outcome), isWhole, wasFailing, sentAt));
    m_parts.group.published();
    if (m_pace.pause > Duration::zero() && !isWhole)
        m_parts.timers.after(m_pace.pause, [this](Instant) { follow(); });
    else
        follow();
}

/** Takes in an answer of the store. \returns an instant at which it held just these rows. */
Instant TableFollower::adopt(platform::RowsOutcome outcome, bool isWhole, bool wasFailing,
                             Instant sentAt)
{
    const Instant now = io::hostNow();
    const Instant givenAt =
        outcome.storeTime ? m_parts.clock.givenAt(sentAt, now, *outcome.storeTime) : sentAt;
    if (outcome.skipped > 0)
        io::logEvent(LogLevel::Error, "rows-unreadable",
                     {{"table", m_table}, {"count", std::to_string(outcome.skipped)}});
    // What a confirmation has brought already must not be undone by a call that was sent before.
    if (!isWhole && outcome.version <= m_version)
        outcome.rows.clear();
    const Instant unchangedUntil = m_knownAt;
    m_version = std::max(m_version, outcome.version);
    noteKnown(givenAt);
    remember(outcome, isWhole);
    if (isWhole || !outcome.rows.empty())
        m_changed({std::move(outcome.rows), m_version, isWhole,
                   wasFailing && now - m_failingSince > outage, unchangedUntil});
    return givenAt;
}

/** Sees to it that the rows are confirmed, and that it shows when they can't be. */
void TableFollower::look(Instant now)
{
    // Where the loop was held up, answers may be there that are yet to be taken: one look is
    // skipped.
    const bool wasHeldUp = now - std::exchange(m_lookedAt, now) > 2 * lookEvery;
    m_isLookSkipped = wasHeldUp && !m_isLookSkipped;
    if (!m_hasRows || m_isFailing || m_isLookSkipped)
        return;
    if (m_confirmingSince) {
        const bool isLate = now - *m_confirmingSince >= m_pace.confirmation->within;
        if (isLate && now - m_knownAt >= m_pace.confirmation->after
            && !std::exchange(m_isUnconfirmed, true))
            m_parts.group.published();
        return;
    }
    if (now - m_knownAt < m_pace.confirmation->after || now < m_confirmAgainAt)
        return;
    io::logEvent(LogLevel::Warning, "rows-old",
                 {{"table", m_table},
                  {"source", m_source},
                  {"age-ms", io::millisecondsText(now - m_knownAt)}});
    // A reader's silence shows with each table; the store's may hide behind a wait of ten seconds.
    if (m_source == storeSource)
        m_parts.group.confirmAll();
    else
        confirm();
}

void TableFollower::confirm()
{
    if (m_confirmingSince || !m_hasRows || m_isFailing || m_isReading)
        return;
    const Instant sentAt = io::hostNow();
    m_confirmingSince = sentAt;
    m_waitDoubted = m_wait;
    m_parts.store.follow(m_table, m_version, Duration::zero(),
                         [this, sentAt](platform::RowsOutcome outcome) {
                             m_confirmingSince.reset();
                             confirmed(std::move(outcome), sentAt);
                         });
}

void TableFollower::confirmed(platform::RowsOutcome outcome, Instant sentAt)
{
    const bool isWaitDoubted = m_wait && m_wait == m_waitDoubted;
    if (outcome.error) {
        const Instant now = io::hostNow();
        m_parts.group.noteTrouble(now);
        m_confirmAgainAt = now + longestRetry;
        m_isUnconfirmed = true;
        if (isWaitDoubted)
            askAnew();
        return;
    }
    if (m_isFailing || m_isReading)
        return;
    m_answered(adopt(std::move(outcome), false, false, sentAt));
    m_parts.group.published();
    if (!isWaitDoubted)
        return;
    // All that the wait could bring is known now.
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
    const bool isFirst = !m_isFailing;
    m_parts.group.noteTrouble(io::hostNow());
    if (!std::exchange(m_isFailing, true)) {
        m_failingSince = io::hostNow();
        io::logEvent(LogLevel::Warning, "store-lost",
                     {{"table", m_table}, {"error", error.message()}});
        m_parts.group.published();
        askPeers();
    }
    if (isFirst && error == platform::StoreError::Unknown)
        m_parts.group.storeSilent(*this);
    // Changes may have been missed: everything is read again.
    m_parts.timers.after(m_retry, [this](Instant) { read(); });
    m_retry = std::min(m_retry * 2, longestRetry);
}

void TableFollower::remember(const platform::RowsOutcome &outcome, bool isWhole)
{
    if (isWhole) {
        m_rows.clear();
        m_removed.clear();
        m_removedSince = outcome.version;
    }
    for (const platform::StoreRow &row : outcome.rows) {
        if (row.isRemoved) {
            m_rows.erase(row.key);
            m_removed.push_back(row);
        } else {
            m_rows[row.key] = row;
        }
    }
    if (m_removed.size() > mostRemoved) {
        m_removed.clear();
        m_removedSince = m_version;
    }
    m_hasRows = true;
}

void TableFollower::askPeers()
{
    if (!m_isFailing)
        return;
    m_parts.relay.ask(m_table,
                      [this](RelayedRows rows, Instant asOf) { relayed(std::move(rows), asOf); });
    m_parts.timers.after(askPeersEvery, [this](Instant) { askPeers(); });
}

void TableFollower::relayed(RelayedRows rows, Instant asOf)
{
    if (!m_isFailing || rows.version < m_version || asOf < m_knownAt)
        return;
    const bool hasChanged = rows.version > m_version || !m_hasRows;
    const Instant unchangedUntil = m_knownAt;
    m_version = rows.version;
    noteKnown(asOf);
    if (hasChanged) {
        const platform::RowsOutcome outcome{{}, std::move(rows.rows), rows.version};
        remember(outcome, true);
        m_changed({outcome.rows, m_version, true, false, unchangedUntil});
    }
    m_answered(asOf);
}

bool TableFollower::isServing(Instant now) const
{
    return m_hasRows && m_source == storeSource && m_parts.group.isServing(now);
}

bool TableFollower::isFresh(Instant now) const
{
    return !m_pace.confirmation || now - m_knownAt < m_pace.confirmation->after;
}

RelayedRows TableFollower::allRows(Instant askedAt) const
{
    RelayedRows relayed{{}, m_version, askedAt - m_knownAt, true};
    for (const auto &[key, row] : m_rows)
        relayed.rows.push_back(row);
    return relayed;
}

RelayedRows TableFollower::rowsSince(std::uint64_t version, Instant askedAt) const
{
    if (version < m_removedSince)
        return allRows(askedAt);
    RelayedRows changes{{}, m_version, askedAt - m_knownAt, false};
    for (const platform::StoreRow &row : m_removed) {
        if (row.version > version)
            changes.rows.push_back(row);
    }
    for (const auto &[key, row] : m_rows) {
        if (row.version > version)
            changes.rows.push_back(row);
    }
    return changes;
}

} // namespace bulrush
