#include "platform/table.h"

namespace bulrush::standins {

Outcome Table::transact(const Transaction &transaction)
{
    Conflicted conflicted;
    for (const Condition &condition : transaction.conditions) {
        Row row = read(condition.id);
        if (row.version != condition.version)
            conflicted.rows.push_back(std::move(row));
    }
    if (!conflicted.rows.empty())
        return conflicted;

    Committed committed;
    for (const Write &entry : transaction.writes)
        committed.versions.push_back(write(entry));
    return committed;
}

Row Table::read(const RowId &id) const
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return Row{id, 0, Json::Value{}};

    return toRow(id, found->second);
}

std::vector<Row> Table::scan(std::string_view table, std::string_view prefix,
                             std::string_view after, std::size_t limit) const
{
    const std::string tableName{table};
    std::vector<Row> rows;
    auto storedRow = m_rows.lower_bound(RowId{tableName, std::string{prefix}});
    for (; storedRow != m_rows.end() && rows.size() < limit; ++storedRow) {
        const auto &[id, content] = *storedRow;
        if (id.table != table || !id.key.starts_with(prefix))
            break;
        if (content.value && id.key > after)
            rows.push_back(toRow(id, content));
    }
    return rows;
}

std::uint64_t Table::write(const Write &write)
{
    StoredRow &storedRow = m_rows[write.id];
    ++storedRow.version;
    storedRow.value = write.value.isNull() ? std::nullopt : std::optional{write.value};
    return storedRow.version;
}

Row Table::toRow(const RowId &id, const StoredRow &storedRow)
{
    if (!storedRow.value)
        return Row{id, 0, Json::Value{}};

    return Row{id, storedRow.version, *storedRow.value};
}

} // namespace bulrush::standins
