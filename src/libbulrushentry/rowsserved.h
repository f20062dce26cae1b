#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bulrush {

/**
 * Counts the answers with rows that a daemon gives to others, by table: on a narrow link they are
 * what keeps later ones back.
 *
 * Used on the control thread.
 */
class RowsServed
{
public:
    /** Notes an answer with rows of \a table and a body of \a bytes. */
    void add(const std::string &table, std::size_t bytes);

    /** \returns all counts as text for a metrics page, a line for each value. */
    std::string text() const;

    /** Writes a log line with the answers since the last one, if they had many bytes. */
    void log();

private:
    struct Count
    {
        std::uint64_t answers = 0;
        std::uint64_t bytes = 0;
    };

    std::map<std::string, Count> m_counts;
    /** Since the last log line. */
    std::map<std::string, Count> m_unlogged;
};

} // namespace bulrush
