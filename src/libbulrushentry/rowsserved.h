#pragma once

#include "process/linkbudget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bulrush {

/**
 * Decides which answers with rows a daemon gives to others, by what its link bears, and counts them
 * by table.
 *
 * Used on the control thread.
 */
class RowsServed
{
public:
    explicit RowsServed(const LinkBudget &link);

    /**
     * \returns whether an answer with rows of \a table and a body of \a bytes is to be sent, which
     * is then reckoned with.
     */
    bool admits(const std::string &table, std::size_t bytes, Instant now);

    /** \returns all counts as text for a metrics page, a line for each value. */
    std::string text() const;

    /** Writes a log line with the answers since the last one, if they had many bytes. */
    void log();

private:
    struct Count
    {
        std::uint64_t answers = 0;
        std::uint64_t bytes = 0;
        std::uint64_t declined = 0;
    };

    LinkBudget m_link;
    std::map<std::string, Count> m_counts;
    /** Since the last log line. */
    std::map<std::string, Count> m_unlogged;
};

} // namespace bulrush
