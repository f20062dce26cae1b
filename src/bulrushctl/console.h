#pragma once

#include <istream>
#include <ostream>
#include <string>

namespace bulrush::ctl {

/** Format in which results are printed. */
enum class OutputFormat {
    Table, ///< for people
    Json,  ///< for programs
};

/** Streams and output format of a command. */
struct Console
{
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    OutputFormat format = OutputFormat::Table;

    bool isJson() const;
};

/**
 * Prints \a question and reads one line. \returns true if the answer is "y", "Y" or "yes"; the end
 * of input counts as no.
 */
bool confirm(Console &console, const std::string &question);

inline bool Console::isJson() const
{
    return format == OutputFormat::Json;
}

} // namespace bulrush::ctl
