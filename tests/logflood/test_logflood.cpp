#define BOOST_TEST_MODULE LogFlood

#include "process/logging.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr int writers = 4;
constexpr int linesPerWriter = 10'000;

std::uint64_t occurrences(const std::string &text, const std::string &part)
{
    std::uint64_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

/** Redirects the standard output of this process to a pipe, until restoreAndRead() is called. */
class CapturedOutput
{
public:
    CapturedOutput()
    {
        BOOST_REQUIRE(::pipe(m_pipe.data()) == 0);
        m_saved = ::dup(STDOUT_FILENO);
        ::dup2(m_pipe[1], STDOUT_FILENO);
        ::close(m_pipe[1]);
    }

    /** Stops logging and restores the standard output. \returns everything that was written. */
    std::string restoreAndRead()
    {
        std::string all;
        std::thread reader{[this, &all] {
            std::array<char, 65'536> buffer{};
            for (;;) {
                const ssize_t length = ::read(m_pipe[0], buffer.data(), buffer.size());
                if (length <= 0)
                    return;
                all.append(buffer.data(), static_cast<std::size_t>(length));
            }
        }};
        io::stopLogging();
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        reader.join();
        ::close(m_pipe[0]);
        return all;
    }

private:
    std::array<int, 2> m_pipe{};
    int m_saved = -1;
};

} // namespace

/**
 * Nothing reads the pipe, so it fills up at once. Logging threads must not block on it, and dropped
 * lines must be counted.
 */
BOOST_AUTO_TEST_CASE(logFloodDoesNotBlockAndIsBounded)
{
    CapturedOutput output;
    io::startLogging(LogLevel::Info, "host-1");
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int i = 0; i < writers; ++i)
        threads.emplace_back([i] {
            for (int line = 0; line < linesPerWriter; ++line)
                io::logEvent(LogLevel::Info, "request",
                             {{"id", std::to_string(i) + '-' + std::to_string(line)},
                              {"reason", "a text with blanks"}});
        });
    for (std::thread &thread : threads)
        thread.join();
    const auto took = std::chrono::steady_clock::now() - start;
    const std::uint64_t dropped = io::droppedLogLineCount();
    const std::string text = output.restoreAndRead();
    const std::uint64_t written = occurrences(text, " info host-1 request id=");

    // A thread that waited for the reader of the pipe would never finish.
    BOOST_TEST((took < 60s));
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(written + dropped == static_cast<std::uint64_t>(writers * linesPerWriter));
    // The length of the queue, plus the lines in the pipe and in its reader.
    BOOST_TEST(written < io::maxQueuedLogLines + 4000U);
    BOOST_TEST(text.find("info host-1 request id=0-0 reason=\"a text with blanks\"")
               != std::string::npos);
}
