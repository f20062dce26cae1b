#pragma once

#include <cstdarg>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes what was sent, answered and run to a file, one event a line. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const char *format, ...) __attribute__((format(printf, 2, 3)));

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
