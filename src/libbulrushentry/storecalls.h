#pragma once

#include "platform/storeclient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace bulrush {

/**
 * Counts one daemon's calls to the store by kind, table and outcome: each call is billed, and the
 * store limits the rate of the calls of all daemons together.
 *
 * Used on the control thread.
 */
class StoreCalls
{
public:
    /** Counts a finished call. */
    void add(const platform::StoreCallResult &call);

    /** \returns the counts in the text format of the metrics page, one line for each value. */
    std::string text() const;

    /** Logs the calls since the last log line, if there were any. */
    void log();

private:
    struct Count
    {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;
    };
    /** Kind, table, outcome. */
    using Key = std::tuple<std::string, std::string, std::string>;

    static std::string toLabels(const Key &key);
    void recordEra(std::uint64_t era, const std::string &table);

    std::map<Key, Count> m_counts;
    /** The counts since the last log line. */
    std::map<Key, std::uint64_t> m_unlogged;
    /** The era in the last answer that had one. */
    std::optional<std::uint64_t> m_era;
};

} // namespace bulrush
