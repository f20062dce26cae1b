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

constexpr std::string_view listeningPrefix = "listening ";
constexpr std::string_view readyLine = "ready";
/** Names the folder in which the output of processes is stored, to help diagnose failed tests. */
constexpr const char *outputFolderEnvVariable = "BULRUSH_TEST_OUTPUT";
constexpr std::chrono::milliseconds exitPollInterval{5};

std::vector<char *> argumentPointers(std::vector<std::string> &argv)
{
    std::vector<char *> pointers;
    for (std::string &argument : argv)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           std::chrono::seconds timeout)
    : m_name(program.substr(program.rfind('/') + 1))
{
    spawn(program, arguments);
    try {
        waitUntilReady(timeout);
    } catch (...) {
        kill();
        ::close(m_outputPipe);
        throw;
    }
    m_outputReader = std::thread{[this] {
        drainOutput();
    }};
}

ChildProcess::~ChildProcess()
{
    kill();
    m_outputReader.join();
    ::close(m_outputPipe);
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
        recordExit(status);
}

void ChildProcess::resume()
{
    ::kill(m_pid, SIGCONT);
}

ChildProcess::Exit ChildProcess::kill()
{
    if (!m_exit)
        ::kill(m_pid, SIGKILL);
    return waitForExit();
}

ChildProcess::Exit ChildProcess::terminate(std::chrono::seconds timeout)
{
    if (m_exit)
        return *m_exit;

    ::kill(m_pid, SIGTERM);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (isRunning() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(exitPollInterval);
    return kill();
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!m_exit && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        recordExit(status);
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

    std::vector<std::string> argv{program};
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    const int error = ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                    argumentPointers(argv).data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    m_outputPipe = pipe[0];
    if (error != 0) {
        ::close(m_outputPipe);
        throw std::system_error(error, std::generic_category(), "can't start " + program);
    }
}

void ChildProcess::waitUntilReady(std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!m_isReady) {
        if (!readOutput(deadline))
            throw std::runtime_error(
                "process exited, or did not print \"ready\" within the timeout");

        std::size_t newline = m_unprocessedOutput.find('\n');
        while (newline != std::string::npos) {
            handleLine(std::string_view{m_unprocessedOutput}.substr(0, newline));
            m_unprocessedOutput.erase(0, newline + 1);
            newline = m_unprocessedOutput.find('\n');
        }
    }
}

void ChildProcess::handleLine(std::string_view line)
{
    if (line == readyLine)
        m_isReady = true;
    if (!line.starts_with(listeningPrefix))
        return;

    line.remove_prefix(listeningPrefix.size());
    const std::size_t space = line.rfind(' ');
    const bool isNamed = space != std::string_view::npos;
    const std::string name{isNamed ? line.substr(0, space) : ""};
    m_addresses[name] = std::string{isNamed ? line.substr(space + 1) : line};
}

bool ChildProcess::readOutput(std::chrono::steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd output{m_outputPipe, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&output, 1, static_cast<int>(left.count())) <= 0)
        return false;

    std::array<char, 4096> buffer{};
    const ssize_t length = ::read(m_outputPipe, buffer.data(), buffer.size());
    if (length <= 0)
        return false;

    m_unprocessedOutput.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

void ChildProcess::drainOutput() const
{
    std::ofstream logFile;
    if (const char *folder = std::getenv(outputFolderEnvVariable))
        logFile.open(std::string{folder} + '/' + m_name + '-' + std::to_string(m_pid) + ".log");
    logFile << m_unprocessedOutput;
    std::array<char, 4096> buffer{};
    ssize_t length = 1;
    while (length > 0) {
        length = ::read(m_outputPipe, buffer.data(), buffer.size());
        if (length > 0 && logFile.is_open())
            logFile.write(buffer.data(), length).flush();
    }
}

ChildProcess::Exit ChildProcess::waitForExit()
{
    int status = 0;
    while (!m_exit) {
        if (::waitpid(m_pid, &status, 0) == m_pid)
            recordExit(status);
        else if (errno != EINTR)
            m_exit = Exit{};
    }
    return *m_exit;
}

void ChildProcess::recordExit(int status)
{
    Exit exit;
    if (WIFEXITED(status))
        exit.code = WEXITSTATUS(status);
    if (WIFSIGNALED(status))
        exit.signal = WTERMSIG(status);
    m_exit = exit;
}

} // namespace bulrush::test
