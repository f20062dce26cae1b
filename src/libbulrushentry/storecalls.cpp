#include "storecalls.h"

#include "process/logging.h"

#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

std::string_view kindName(platform::StoreCallKind kind)
{
    switch (kind) {
    case platform::StoreCallKind::Read:
        return "read";
    case platform::StoreCallKind::Follow:
        return "follow";
    case platform::StoreCallKind::Commit:
        break;
    }
    return "commit";
}

std::string_view outcomeName(std::error_code error)
{
    if (!error)
        return "done";
    if (error == platform::StoreError::ConditionFailed)
        return "condition-failed";
    if (error == platform::StoreError::Unknown)
        return "unknown";
    if (error == platform::StoreError::HistoryExpired)
        return "history-gone";
    if (error == platform::StoreError::Restored)
        return "restored";
    if (error == platform::StoreError::OutdatedEra)
        return "outdated-era";
    return error == platform::StoreError::NotExecuted ? "not-done" : "bad-answer";
}

} // namespace

void StoreCalls::add(const platform::StoreCallResult &call)
{
    const Key key{kindName(call.kind), call.table, outcomeName(call.error)};
    Count &count = m_counts[key];
    ++count.calls;
    count.bytes += call.bytes;
    ++m_unlogged[key];
    if (call.era && m_era != call.era)
        recordEra(*call.era, call.table);
}

void StoreCalls::recordEra(std::uint64_t era, const std::string &table)
{
    io::logEvent(LogLevel::Info, "store-era",
                 {{"era", std::to_string(era)},
                  {"before", m_era ? std::to_string(*m_era) : "unknown"},
                  {"table", table}});
    m_era = era;
}

std::string StoreCalls::text() const
{
    std::string calls;
    std::string bytes;
    for (const auto &[key, count] : m_counts) {
        const std::string labels = toLabels(key);
        calls.append("bulrush_store_calls_total").append(labels);
        calls.append(std::to_string(count.calls)).append("\n");
        bytes.append("bulrush_store_answer_bytes_total").append(labels);
        bytes.append(std::to_string(count.bytes)).append("\n");
    }
    const std::string era =
        m_era ? "bulrush_store_era " + std::to_string(*m_era) + '\n' : std::string{};
    return calls + bytes + era;
}

std::string StoreCalls::toLabels(const Key &key)
{
    const auto &[kind, table, outcome] = key;
    std::string labels{"{call=\""};
    labels.append(kind).append("\",table=\"").append(table);
    labels.append("\",outcome=\"").append(outcome).append("\"} ");
    return labels;
}

void StoreCalls::log()
{
    if (m_unlogged.empty())
        return;
    std::vector<std::string> names;
    for (const auto &[key, count] : m_unlogged) {
        const auto &[kind, table, outcome] = key;
        std::string &name = names.emplace_back(kind);
        name.append(":").append(table).append(":").append(outcome);
    }
    std::vector<io::LogField> fields;
    for (auto name = names.begin(); const auto &[key, count] : m_unlogged)
        fields.push_back({*name++, std::to_string(count)});
    io::logEvent(LogLevel::Info, "store-calls", fields);
    m_unlogged.clear();
}

} // namespace bulrush
