#include "standinprocess/childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

extern char **environ;

namespace bulrush::test {

namespace {

constexpr std::string_view listeningWord = "listening ";
constexpr std::string_view readyWord = "ready";
/** Names a folder in which what processes print is kept, to explain a failed test. */
constexpr const char *outputFolderVariable = "BULRUSH_TEST_OUTPUT";
constexpr std::chrono::milliseconds pollStep{5};

std::vector<char *> pointersTo(std::vector<std::string> &words)
{
    std::vector<char *> pointers;
    for (std::string &word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           std::chrono::seconds limit)
    : m_name(program.substr(program.rfind('/') + 1))
{
    spawn(program, arguments);
    try {
        awaitReady(limit);
    } catch (...) {
        kill();
        ::close(m_output);
        throw;
    }
    m_drain = std::thread{[this] {
        drainOutput();
    }};
}

ChildProcess::~ChildProcess()
{
    kill();
    m_drain.join();
    ::close(m_output);
}

const std::string &ChildProcess::address(const std::string &name) const
{
    return m_addresses.at(name);
}

void ChildProcess::stop()
{
    ::kill(m_pid, SIGSTOP);
    int status = 0;
    if (::waitpid(m_pid, &status, WUNTRACED) == m_pid && !WIFSTOPPED(status))
        note(status);
}

void ChildProcess::resume()
{
    ::kill(m_pid, SIGCONT);
}

ChildProcess::Exit ChildProcess::kill()
{
    if (!m_exit)
        ::kill(m_pid, SIGKILL);
    return waitForEnd();
}

ChildProcess::Exit ChildProcess::terminate(std::chrono::seconds limit)
{
    if (m_exit)
        return *m_exit;

    ::kill(m_pid, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollStep);
    return kill();
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!m_exit && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        note(status);
    return !m_exit;
}

void ChildProcess::spawn(const std::string &program, const std::vector<std::string> &arguments)
{
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe2");

    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);

    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    const int error = ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                    pointersTo(words).data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    m_output = pipe[0];
    if (error != 0) {
        ::close(m_output);
        throw std::system_error(error, std::generic_category(), "can't start " + program);
    }
}

void ChildProcess::awaitReady(std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!m_isReady) {
        if (!readMore(end))
            throw std::runtime_error("the process ended or was silent before it was ready");

        std::size_t newline = m_unread.find('\n');
        while (newline != std::string::npos) {
            noteLine(std::string_view{m_unread}.substr(0, newline));
            m_unread.erase(0, newline + 1);
            newline = m_unread.find('\n');
        }
    }
}

void ChildProcess::noteLine(std::string_view line)
{
    if (line == readyWord)
        m_isReady = true;
    if (!line.starts_with(listeningWord))
        return;

    line.remove_prefix(listeningWord.size());
    const std::size_t space = line.rfind(' ');
    const bool isNamed = space != std::string_view::npos;
    const std::string name{isNamed ? line.substr(0, space) : ""};
    m_addresses[name] = std::string{isNamed ? line.substr(space + 1) : line};
}

bool ChildProcess::readMore(std::chrono::steady_clock::time_point limit)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        limit - std::chrono::steady_clock::now());
    pollfd output{m_output, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&output, 1, static_cast<int>(left.count())) <= 0)
        return false;

    std::array<char, 4096> buffer{};
    const ssize_t length = ::read(m_output, buffer.data(), buffer.size());
    if (length <= 0)
        return false;

    m_unread.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

void ChildProcess::drainOutput() const
{
    std::ofstream kept;
    if (const char *folder = std::getenv(outputFolderVariable))
        kept.open(std::string{folder} + '/' + m_name + '-' + std::to_string(m_pid) + ".log");
    kept << m_unread;
    std::array<char, 4096> buffer{};
    ssize_t length = 1;
    while (length > 0) {
        length = ::read(m_output, buffer.data(), buffer.size());
        if (length > 0 && kept.is_open())
            kept.write(buffer.data(), length).flush();
    }
}

ChildProcess::Exit ChildProcess::waitForEnd()
{
    int status = 0;
    while (!m_exit) {
        if (::waitpid(m_pid, &status, 0) == m_pid)
            note(status);
        else if (errno != EINTR)
            m_exit = Exit{};
    }
    return *m_exit;
}

void ChildProcess::note(int status)
{
    Exit exit;
    if (WIFEXITED(status))
        exit.code = WEXITSTATUS(status);
    if (WIFSIGNALED(status))
        exit.signal = WTERMSIG(status);
    m_exit = exit;
}

} // namespace bulrush::test
