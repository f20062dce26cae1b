#include "process/platformtable.h"

#include "process/platformerror.h"

#include <algorithm>
#include <utility>

namespace bulrush::io {

namespace {

constexpr const char *markMember = "lastWrite";

Json::Value markOf(const Transaction &transaction)
{
    Json::Value mark{Json::objectValue};
    mark["writer"] = transaction.writer.value();
    mark["requestId"] = transaction.id.value();
    return mark;
}

/** What a row shows about a transaction that did not write it last. */
enum class RowEvidence { None, OtherWroteFirst, OverwrittenRepeatedly };

RowEvidence evidenceOf(const TableRow &row, std::uint64_t expected)
{
    if (row.version == expected)
        return RowEvidence::None;
    // Exactly one write led to this version, and another transaction made it.
    if (row.version == expected + 1)
        return RowEvidence::OtherWroteFirst;

    return RowEvidence::OverwrittenRepeatedly;
}

const TableRow *rowAt(const std::vector<TableRow> &rows, const RowId &id)
{
    const auto found = std::ranges::find(rows, id, &TableRow::id);
    return found == rows.end() ? nullptr : &*found;
}

RowEvidence evidenceOf(const Transaction &transaction, const std::vector<TableRow> &rows)
{
    RowEvidence strongest = RowEvidence::None;
    for (const RowWrite &write : transaction.writes) {
        const TableRow *row = rowAt(rows, write.id);
        const auto condition =
            std::ranges::find(transaction.conditions, write.id, &RowCondition::id);
        // A value without a mark cannot be distinguished from one written by another transaction.
        const bool isIdentifiable = write.value.isObject() || write.value.isNull();
        if (row == nullptr || condition == transaction.conditions.end() || !isIdentifiable)
            continue;

        const RowEvidence evidence = evidenceOf(*row, condition->version);
        if (evidence == RowEvidence::OtherWroteFirst)
            return evidence;
        if (evidence == RowEvidence::OverwrittenRepeatedly)
            strongest = evidence;
    }
    return strongest;
}

} // namespace

Json::Value withTransactionMark(Json::Value value, const Transaction &transaction)
{
    if (value.isObject())
        value[markMember] = markOf(transaction);
    return value;
}

bool isWrittenBy(const TableRow &row, const Transaction &transaction)
{
    if (row.version == 0 || !row.value.isObject())
        return false;

    return row.value[markMember] == markOf(transaction);
}

Settlement settlementFrom(const Transaction &transaction, std::vector<TableRow> rows)
{
    const auto isWrittenByTransaction = [&transaction](const TableRow &row) {
        return isWrittenBy(row, transaction);
    };
    // All writes take effect atomically, so one written row proves that all took effect.
    if (std::ranges::any_of(rows, isWrittenByTransaction))
        return SettledCommitted{std::move(rows)};

    switch (evidenceOf(transaction, rows)) {
    case RowEvidence::OtherWroteFirst:
        return SettledSuperseded{std::move(rows)};
    case RowEvidence::OverwrittenRepeatedly:
        return SettledUndecidable{std::move(rows)};
    case RowEvidence::None:
        break;
    }
    return StillUnknown{PlatformError::RowsUnchanged};
}

} // namespace bulrush::io
