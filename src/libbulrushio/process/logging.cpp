#include "process/logging.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <atomic>
#include <iostream>

namespace bulrush {

// Boost.Log finds this by argument-dependent lookup, so it stands in the namespace of LogLevel.
static std::ostream &operator<<(std::ostream &out, LogLevel level)
{
    static constexpr std::array names{"debug", "info", "warning", "error"};
    return out << names.at(static_cast<std::size_t>(level));
}

namespace io {

namespace {

namespace expressions = boost::log::expressions;

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

Logger &logger()
{
    static Logger instance;
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' ? ' ' : c;
    }
    line += '"';
}

std::string formatLine(std::string_view event, const std::vector<LogField> &fields)
{
    std::string line{event};
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        if (needsQuotes(field.value))
            appendQuoted(line, field.value);
        else
            line += field.value;
    }
    return line;
}

std::atomic<std::uint64_t> droppedLineCount{0};
/** Those of them that a line has reported. */
std::atomic<std::uint64_t> reportedLineCount{0};
/** Lines in the queue; counted only while the logging thread runs. */
std::atomic<std::size_t> queuedLineCount{0};
std::atomic<bool> isStarted{false};

/**
 * Overflow policy of the queue: drops and counts the newest line if the queue is full. Boost.Log
 * prescribes the function names.
 */
struct CountingDropPolicy
{
    template<typename Lock>
    // NOLINTNEXTLINE(readability-identifier-naming)
    static bool on_overflow(const boost::log::record_view &, Lock &)
    {
        droppedLineCount.fetch_add(1, std::memory_order_relaxed);
        queuedLineCount.fetch_sub(1, std::memory_order_relaxed);
        return false;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    static void on_queue_space_available()
    { }

    static void interrupt()
    { }
};

/** Counts the lines that leave the queue. */
class Backend : public boost::log::sinks::text_ostream_backend
{
    using Base = boost::log::sinks::text_ostream_backend;

public:
    void consume(const boost::log::record_view &record, const string_type &line)
    {
        queuedLineCount.fetch_sub(1, std::memory_order_relaxed);
        Base::consume(record, line);
    }
};

using Sink = boost::log::sinks::asynchronous_sink<
    Backend, boost::log::sinks::bounded_fifo_queue<maxQueuedLogLines, CountingDropPolicy>>;

boost::shared_ptr<Sink> &sink()
{
    static boost::shared_ptr<Sink> instance;
    return instance;
}

/** \returns whether the line is dropped to keep room for lines that must not be lost. */
bool isDropped(LogLevel level, std::string_view event)
{
    const bool isDetail = level < LogLevel::Warning && event != requestEvent;
    return isDetail && queuedLineCount.load(std::memory_order_relaxed) >= maxQueuedDetailLines;
}

void queueLine(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    boost::log::record record = logger().open_record(boost::log::keywords::severity = level);
    if (!record)
        return;
    if (isDropped(level, event)) {
        droppedLineCount.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (isStarted)
        queuedLineCount.fetch_add(1, std::memory_order_relaxed);
    boost::log::record_ostream stream{record};
    stream << formatLine(event, fields);
    stream.flush();
    logger().push_record(std::move(record));
}

/** Reports the lines that were dropped since the last report, if there is room again. */
void reportDroppedLines()
{
    const std::uint64_t dropped = droppedLineCount.load(std::memory_order_relaxed);
    std::uint64_t reported = reportedLineCount.load(std::memory_order_relaxed);
    if (dropped <= reported || queuedLineCount >= maxQueuedLogLines / 2
        || !reportedLineCount.compare_exchange_strong(reported, dropped))
        return;
    queueLine(LogLevel::Warning, "log-lines-dropped",
              {{"count", std::to_string(dropped - reported)}});
}

} // namespace

void startLogging(LogLevel level, std::string host)
{
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute(
        "Host", boost::log::attributes::constant<std::string>(std::move(host)));
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= level);

    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter{}));
    backend->auto_flush(true);
    sink() = boost::make_shared<Sink>(backend);
    sink()->set_formatter(expressions::stream
                          << expressions::format_date_time<boost::posix_time::ptime>(
                                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                          << ' ' << expressions::attr<LogLevel>("Severity") << ' '
                          << expressions::attr<std::string>("Host") << ' '
                          << expressions::smessage);
    queuedLineCount = 0;
    isStarted = true;
    boost::log::core::get()->add_sink(sink());
}

void stopLogging()
{
    if (!sink())
        return;
    isStarted = false;
    boost::log::core::get()->remove_sink(sink());
    sink()->stop();
    sink()->flush();
    sink().reset();
}

std::string millisecondsText(Duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::uint64_t droppedLogLineCount()
{
    return droppedLineCount.load(std::memory_order_relaxed);
}

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    reportDroppedLines();
    queueLine(level, event, fields);
}

} // namespace io
} // namespace bulrush
