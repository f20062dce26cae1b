#include "record.h"

#include "net.h"

#include <cstdio>

namespace review {

namespace {

constexpr std::size_t maxLineLength = 1000;

} // namespace

Record::Record(const std::string &path)
    : m_file(path)
{ }

void Record::write(const char *format, ...)
{
    char line[maxLineLength];
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", nowSeconds());
    const std::lock_guard lock{m_mutex};
    m_file << time << line << std::endl;
}

} // namespace review
