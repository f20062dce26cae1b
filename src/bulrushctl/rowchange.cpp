#include "rowchange.h"

#include "jsontext.h"

namespace bulrush::ctl {

namespace {

std::optional<CommitResult> resolveOutcome(PlatformTable &table, const RowChange &change)
{
    const RowsResult rows = table.read({change.before.id});
    if (rows.error || rows.rows.size() != 1)
        return std::nullopt;

    const TableRow &now = rows.rows.front();
    const char *idField = change.idField.c_str();
    if (now.version == change.before.version)
        return std::nullopt;
    if (stringIn(now.value, idField) == stringIn(change.value, idField))
        return CommitResult{CommitOutcome::Committed, {now.version}, {}, {}};
    // This write may have taken effect before it was overwritten; it is only certain that the row
    // now holds the write of another author.
    return CommitResult{CommitOutcome::Conflict, {}, {now}, "the row was changed by someone else"};
}

} // namespace

CommitResult changeRow(PlatformTable &table, const RowChange &change, const RetryPolicy &policy)
{
    const Transaction transaction{stringIn(change.value, change.idField.c_str()),
                                  change.writer,
                                  {{change.before.id, change.before.version}},
                                  {{change.before.id, change.value}}};
    return commitWithRetries(table, transaction, policy,
                             [&] { return resolveOutcome(table, change); });
}

} // namespace bulrush::ctl
