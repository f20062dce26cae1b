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
 * Maximum number of queued log lines. Further lines are dropped and counted, so that a slow or
 * stopped consumer of the log never blocks a logging thread. At about 300 bytes a line, the queue
 * takes about 1 MB.
 */
constexpr std::size_t maxQueuedLogLines = 4096;

/**
 * Beyond this number of queued lines, only the lines that end a request, warnings and errors are
 * queued: a host that lacks processor time must not lose the only line that names a request for
 * lines about its attempts.
 */
constexpr std::size_t maxQueuedDetailLines = maxQueuedLogLines * 3 / 4;

/** The event of the line that ends a request; there is one for each request. */
constexpr std::string_view requestEvent = "request";

/** \returns \a span in whole milliseconds, the unit of durations in log lines. Thread safe. */
std::string millisecondsText(Duration span);

/**
 * Starts a thread that writes log lines of \a level and above to standard output, in the format
 * `time level host event name=value …`. Must be called once, before any thread logs.
 */
void startLogging(LogLevel level, std::string host);

/** Writes the queued lines and stops the thread; lines logged later are lost. */
void stopLogging();

/**
 * Queues one line for a decision or a state change. Never blocks. Lines that were dropped are
 * reported by a line `log-lines-dropped count=N` once the queue is half empty. Thread safe.
 */
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/** \returns the number of log lines dropped since the start. Thread safe. */
std::uint64_t droppedLogLineCount();

} // namespace bulrush::io
