#pragma once

#include "process/linkbudget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bulrush {

/**
 * Decides whether an answer with rows to another daemon fits the bandwidth of this daemon's link,
 * and counts the answers by table.
 *
 * Used on the control thread.
 */
class RowsAdmission
{
public:
    explicit RowsAdmission(const LinkBudget &link);

    /**
     * \returns whether an answer with rows of \a table and a body of \a bytes may be sent. If so,
     * it is charged to the link's budget.
     */
    bool admits(const std::string &table, std::size_t bytes, Instant now);

    /** \returns the counts in the text format of the metrics page, one line for each value. */
    std::string text() const;

    /** Logs the answers since the last log line, if they were large or some were declined. */
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
    /** The counts since the last log line. */
    std::map<std::string, Count> m_unlogged;
};

} // namespace bulrush
