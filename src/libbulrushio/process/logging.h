#pragma once

#include "process/daemonsettings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** One named value of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/**
 * Lines that wait to be written, at most. What comes beyond is dropped and counted, so that nobody
 * waits for a reader of the log that is slow or gone. At some 300 bytes a line, about 1 MB.
 */
constexpr std::size_t logQueueLength = 4096;

/** \returns \a span in whole milliseconds, as log lines give it. Thread safe. */
std::string millisecondsText(Duration span);

/**
 * Sends log lines of \a level and above to standard output, as `time level host event name=value
 * …`, from a thread of their own. Called once, before any thread logs.
 */
void startLogging(LogLevel level, std::string host);

/** Writes what waits and ends the thread; lines that come later are lost. */
void stopLogging();

/** Writes one line for a decision or a change of belief. Never waits. Thread safe. */
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/** \returns how many lines were dropped so far. Thread safe. */
std::uint64_t droppedLogLines();

} // namespace bulrush::io
