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
        return false;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    static void on_queue_space_available()
    { }

    static void interrupt()
    { }
};

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<
    Backend, boost::log::sinks::bounded_fifo_queue<maxQueuedLogLines, CountingDropPolicy>>;

boost::shared_ptr<Sink> &sink()
{
    static boost::shared_ptr<Sink> instance;
    return instance;
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
    boost::log::core::get()->add_sink(sink());
}

void stopLogging()
{
    if (!sink())
        return;
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
    BOOST_LOG_SEV(logger(), level) << formatLine(event, fields);
}

} // namespace io
} // namespace bulrush
