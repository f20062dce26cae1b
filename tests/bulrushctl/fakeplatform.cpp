#include "fakeplatform.h"

#include "exitcode.h"

#include <utility>

namespace bulrush::test {

ctl::RowsResult FakePlatform::read(const std::vector<ctl::RowId> &ids)
{
    commitDelayed();
    if (areReadsFailing)
        return {make_error_code(ctl::CtlError::Unreachable), "reads are down", {}};
    ctl::RowsResult result;
    for (const ctl::RowId &id : ids)
        result.rows.push_back(row(id));
    return result;
}

ctl::RowsResult FakePlatform::scan(const std::string &table, const std::string &prefix)
{
    commitDelayed();
    if (areReadsFailing)
        return {make_error_code(ctl::CtlError::Unreachable), "reads are down", {}};
    ctl::RowsResult result;
    for (const auto &[key, stored] : m_tables[table]) {
        if (key.starts_with(prefix) && !stored.value.isNull())
            result.rows.push_back({{table, key}, stored.version, stored.value});
    }
    return result;
}

ctl::CommitResult FakePlatform::transact(const ctl::Transaction &transaction)
{
    commitDelayed();
    ++transactions;
    if (auto hook = std::exchange(beforeTransact, nullptr))
        hook();

    Fault fault = Fault::None;
    if (!faults.empty()) {
        fault = faults.front();
        faults.erase(faults.begin());
    }
    switch (fault) {
    case Fault::None:
        return commit(transaction);
    case Fault::NotSent:
        return {ctl::CommitOutcome::NotSent, {}, {}, "connection refused"};
    case Fault::AnswerLostAfterCommit:
        commit(transaction);
        break;
    case Fault::AnswerLostCommitDelayed:
        m_delayed.push_back(transaction);
        break;
    case Fault::LostBeforeCommit:
        break;
    }
    return {ctl::CommitOutcome::Unknown, {}, {}, "the answer was lost"};
}

ctl::HostsResult FakePlatform::hosts()
{
    return {{}, {}, 800, listedHosts};
}

void FakePlatform::set(const ctl::RowId &id, const Json::Value &value)
{
    Stored &stored = m_tables[id.table][id.key];
    ++stored.version;
    stored.value = value;
}

void FakePlatform::remove(const ctl::RowId &id)
{
    set(id, Json::Value{});
}

ctl::TableRow FakePlatform::row(const ctl::RowId &id) const
{
    const auto table = m_tables.find(id.table);
    if (table == m_tables.end())
        return {id, 0, {}};
    const auto found = table->second.find(id.key);
    if (found == table->second.end() || found->second.value.isNull())
        return {id, 0, {}};
    return {id, found->second.version, found->second.value};
}

ctl::CommitResult FakePlatform::commit(const ctl::Transaction &transaction)
{
    ctl::CommitResult result;
    for (const ctl::RowCondition &condition : transaction.conditions) {
        const ctl::TableRow now = row(condition.id);
        if (now.version != condition.version)
            result.conflicts.push_back(now);
    }
    if (!result.conflicts.empty()) {
        result.outcome = ctl::CommitOutcome::Conflict;
        result.cause = "a row has changed";
        return result;
    }

    result.outcome = ctl::CommitOutcome::Committed;
    for (const ctl::RowWrite &write : transaction.writes) {
        set(write.id, write.value);
        result.versions.push_back(row(write.id).version);
    }
    return result;
}

void FakePlatform::commitDelayed()
{
    for (const ctl::Transaction &transaction : std::exchange(m_delayed, {}))
        commit(transaction);
}

} // namespace bulrush::test
