#include "tablefollower.h"

#include "process/hostclock.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace bulrush {

TableFollower::TableFollower(const FollowParts &parts, std::string table, FollowPace pace)
    : m_parts(parts)
    , m_table(std::move(table))
    , m_pace(pace)
{ }

void TableFollower::start(ChangeHandler changed, AnswerHandler answered)
{
    m_changed = std::move(changed);
    m_answered = std::move(answered);
    read();
}

void TableFollower::read()
{
    const Instant sentAt = io::hostNow();
    m_parts.store.read(m_table, [this, sentAt](platform::RowsOutcome outcome) {
        taken(std::move(outcome), true, sentAt);
    });
}

void TableFollower::follow()
{
    const Instant sentAt = io::hostNow();
    m_parts.store.follow(m_table, m_version, m_pace.wait,
                         [this, sentAt](platform::RowsOutcome outcome) {
                             taken(std::move(outcome), false, sentAt);
                         });
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
    const Instant now = io::hostNow();
    const bool wasFailing = std::exchange(m_isFailing, false);
    if (wasFailing)
        io::logEvent(LogLevel::Info, "store-regained", {{"table", m_table}});
    m_retry = firstRetry;
    const Instant givenAt =
        outcome.storeTime ? m_parts.clock.givenAt(sentAt, now, *outcome.storeTime) : sentAt;
    m_version = std::max(m_version, outcome.version);
    m_knownAt = std::max(m_knownAt, givenAt);
    remember(outcome, isWhole);
    m_answered(givenAt);
    if (isWhole || !outcome.rows.empty())
        m_changed({std::move(outcome.rows), m_version, isWhole,
                   wasFailing && now - m_failingSince > outage});
    if (m_pace.pause > Duration::zero() && !isWhole)
        m_parts.timers.after(m_pace.pause, [this](Instant) { follow(); });
    else
        follow();
}

void TableFollower::failed(std::error_code error)
{
    if (!std::exchange(m_isFailing, true)) {
        m_failingSince = io::hostNow();
        io::logEvent(LogLevel::Warning, "store-lost",
                     {{"table", m_table}, {"error", error.message()}});
        askPeers();
    }
    // Changes may have been missed: everything is read again.
    m_parts.timers.after(m_retry, [this](Instant) { read(); });
    m_retry = std::min(m_retry * 2, longestRetry);
}

void TableFollower::remember(const platform::RowsOutcome &outcome, bool isWhole)
{
    if (isWhole)
        m_rows.clear();
    for (const platform::StoreRow &row : outcome.rows) {
        if (row.isRemoved)
            m_rows.erase(row.key);
        else
            m_rows[row.key] = row;
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
    m_version = rows.version;
    m_knownAt = asOf;
    m_answered(asOf);
    if (!hasChanged)
        return;
    const platform::RowsOutcome outcome{{}, std::move(rows.rows), rows.version};
    remember(outcome, true);
    m_changed({outcome.rows, m_version, true, false});
}

std::string TableFollower::encodedRows() const
{
    RelayedRows relayed{{}, m_version, io::hostNow() - m_knownAt};
    for (const auto &[key, row] : m_rows)
        relayed.rows.push_back(row);
    return encodeRows(relayed);
}

} // namespace bulrush
