#pragma once

#include "process/configproblem.h"
#include "version/fieldproblem.h"

#include <map>
#include <string>

namespace bulrush::io {

/** A position in a file. Lines count from 1. */
struct ConfigPosition
{
    std::string file;
    int line = 1;
};

/**
 * Collects the problems found while reading a set of files, and the position of each field.
 *
 * Not thread safe.
 */
class ConfigReport
{
public:
    void add(const ConfigPosition &position, std::string field, std::string what,
             std::string allowed = {});

    /** Stores the position of \a field, for problems that are found after reading. */
    void recordPosition(const std::string &field, const ConfigPosition &position);

    /** Adds semantic problems, each at its field or at the nearest enclosing field. */
    void addFieldProblems(const FieldProblems &problems);

    bool isEmpty() const;

    /** \returns all problems, sorted by file in reading order, then by line. */
    ConfigProblems sorted() const;

private:
    ConfigPosition positionOf(std::string field) const;
    std::size_t readingOrderOf(const std::string &file) const;

    ConfigProblems m_problems;
    std::map<std::string, ConfigPosition> m_positions;
    std::vector<std::string> m_files;
};

inline bool ConfigReport::isEmpty() const
{
    return m_problems.empty();
}

} // namespace bulrush::io
