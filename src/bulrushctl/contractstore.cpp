#include "contractstore.h"

#include "contracttext.h"
#include "jsontext.h"

#include <algorithm>

namespace bulrush::ctl {

namespace {

constexpr const char *contractTable = "contract";
constexpr const char *historyTable = "contracthistory";

RowId contractRow(const OrganisationName &organisation)
{
    return {contractTable, organisation.value()};
}

RowId historyRow(const OrganisationName &organisation, std::uint64_t version)
{
    return {historyTable, organisation.value() + "/" + std::to_string(version)};
}

Json::Value encode(const StoredContract &contract)
{
    Json::Value json{Json::objectValue};
    json["version"] = Json::UInt64{contract.version};
    json["text"] = contract.text;
    json["changedBy"] = contract.changedBy;
    json["requestId"] = contract.requestId;
    return json;
}

StoredContract decode(const TableRow &row, std::uint64_t version)
{
    StoredContract contract;
    contract.organisation = OrganisationName{row.id.key.substr(0, row.id.key.find('/'))};
    contract.version = row.version == 0 ? 0 : version;
    contract.text = stringIn(row.value, "text");
    contract.changedBy = stringIn(row.value, "changedBy");
    contract.requestId = stringIn(row.value, "requestId");
    return contract;
}

/** Uses the version of the row, not the version that its value contains. */
StoredContract decodeCurrentRow(const TableRow &row)
{
    return decode(row, row.version);
}

StoredContract decodeHistoryRow(const TableRow &row)
{
    return decode(row, numberIn(row.value, "version"));
}

ContractsResult decodeContracts(const RowsResult &rows,
                                StoredContract (*decodeRow)(const TableRow &))
{
    ContractsResult result{rows.error, rows.cause, {}};
    std::ranges::transform(rows.rows, std::back_inserter(result.contracts), decodeRow);
    return result;
}

ChangeResult failedChange(ChangeOutcome outcome, std::string cause)
{
    ChangeResult result;
    result.outcome = outcome;
    result.cause = std::move(cause);
    return result;
}

ChangeResult acceptedChange(std::uint64_t version)
{
    ChangeResult result;
    result.outcome = ChangeOutcome::Accepted;
    result.version = version;
    return result;
}

ChangeResult conflictWith(StoredContract current)
{
    ChangeResult result;
    result.outcome = ChangeOutcome::Conflict;
    result.current = std::move(current);
    return result;
}

} // namespace

ContractStore::ContractStore(PlatformTable &table, std::string writer, RetryPolicy policy)
    : m_table(table)
    , m_writer(std::move(writer))
    , m_policy(std::move(policy))
{ }

ContractsResult ContractStore::current(const OrganisationName &organisation)
{
    return decodeContracts(m_table.read({contractRow(organisation)}), decodeCurrentRow);
}

ContractsResult ContractStore::pastVersion(const OrganisationName &organisation,
                                           std::uint64_t version)
{
    return decodeContracts(m_table.read({historyRow(organisation, version)}), decodeHistoryRow);
}

ContractsResult ContractStore::list()
{
    return decodeContracts(m_table.scan(contractTable, {}), decodeCurrentRow);
}

ContractsResult ContractStore::history(const OrganisationName &organisation)
{
    ContractsResult result =
        decodeContracts(m_table.scan(historyTable, organisation.value() + "/"), decodeHistoryRow);
    std::ranges::sort(result.contracts, {}, &StoredContract::version);
    return result;
}

ChangeResult ContractStore::apply(const ContractChange &change)
{
    ChangeResult result = applyOnce(change);
    const bool isVersionAhead =
        result.outcome == ChangeOutcome::Accepted && result.version != change.baseVersion + 1;
    if (!isVersionAhead)
        return result;

    // A row that was deleted and created again continues its old version count, so the written text
    // contains a wrong version. The text is written again with the right one.
    ContractChange retry = change;
    retry.baseVersion = result.version;
    return applyOnce(retry);
}

ChangeResult ContractStore::applyOnce(const ContractChange &change)
{
    const CommitResult result = commitWithRetries(m_table, transactionFor(change), m_policy,
                                                  [&] { return resolveOutcome(change); });
    switch (result.outcome) {
    case CommitOutcome::Committed:
        return acceptedChange(result.versions.empty() ? change.baseVersion + 1
                                                      : result.versions.front());
    case CommitOutcome::Conflict:
        return conflictResult(change, result);
    case CommitOutcome::Refused:
        return failedChange(ChangeOutcome::Refused, result.cause);
    case CommitOutcome::NotSent:
        return failedChange(ChangeOutcome::Unreachable, result.cause);
    case CommitOutcome::Unknown:
        break;
    }
    return failedChange(ChangeOutcome::Unknown, result.cause);
}

Transaction ContractStore::transactionFor(const ContractChange &change) const
{
    const std::uint64_t version = change.baseVersion + 1;
    const std::string text = withVersion(change.text, version).value_or(change.text);
    const Json::Value value = encode(
        {change.organisation, version, text, change.author.changedBy, change.author.requestId});

    Transaction transaction;
    transaction.requestId = change.author.requestId + "/" + std::to_string(version);
    transaction.writer = m_writer;
    transaction.conditions = {{contractRow(change.organisation), change.baseVersion}};
    transaction.writes = {{contractRow(change.organisation), value},
                          {historyRow(change.organisation, version), value}};
    return transaction;
}

ChangeResult ContractStore::conflictResult(const ContractChange &change, const CommitResult &result)
{
    if (!result.conflicts.empty())
        return conflictWith(decodeCurrentRow(result.conflicts.front()));

    const ContractsResult now = current(change.organisation);
    return conflictWith(now.contracts.empty() ? StoredContract{} : now.contracts.front());
}

std::optional<CommitResult> ContractStore::resolveOutcome(const ContractChange &change)
{
    const std::uint64_t version = change.baseVersion + 1;
    const RowsResult rows =
        m_table.read({contractRow(change.organisation), historyRow(change.organisation, version)});
    if (rows.error || rows.rows.size() != 2)
        return std::nullopt;

    const StoredContract now = decodeCurrentRow(rows.rows[0]);
    const StoredContract next = decodeHistoryRow(rows.rows[1]);
    if (next.version == version && next.requestId == change.author.requestId) {
        const bool isLaterVersionOwn = now.version > version && now.requestId == next.requestId;
        return CommitResult{
            CommitOutcome::Committed, {isLaterVersionOwn ? now.version : version}, {}, {}};
    }
    if (now.version > change.baseVersion)
        return CommitResult{CommitOutcome::Conflict, {}, {rows.rows[0]}, {}};
    return std::nullopt;
}

} // namespace bulrush::ctl
