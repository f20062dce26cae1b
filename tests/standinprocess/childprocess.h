#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bulrush::test {

/**
 * Runs one of the project's own programs as a child process, which is killed when the object is
 * destroyed. Not thread safe.
 */
class ChildProcess
{
public:
    struct Exit
    {
        /** The exit code, if the process exited by itself. */
        std::optional<int> code;
        /** The signal that terminated the process, if one did. */
        std::optional<int> signal;
    };

    /**
     * Starts the program at the path \a program and waits until it prints the line "ready". Until
     * then, lines "listening [NAME] IP:PORT" are recorded as addresses. Throws std::runtime_error
     * if the process can't be started, exits, or does not print the line within \a timeout.
     */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 std::chrono::seconds timeout = std::chrono::seconds{20});
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;

    /**
     * \returns `IP:PORT` of the listener \a name, which is empty for a listener without a name.
     * Throws std::out_of_range if the process printed no such listener.
     */
    const std::string &address(const std::string &name = "") const;

    /** Suspends the process, as if its host had paused it, and waits until it is suspended. */
    void stop();

    /** Resumes a suspended process. */
    void resume();

    /** Kills the process and waits for its exit. */
    Exit kill();

    /**
     * Sends SIGTERM and waits for the process to exit. Kills it if that takes longer than
     * \a timeout; the result then contains SIGKILL.
     */
    Exit terminate(std::chrono::seconds timeout = std::chrono::seconds{20});

    /** \returns whether the process has not exited yet. */
    bool isRunning();

private:
    void spawn(const std::string &program, const std::vector<std::string> &arguments);
    void waitUntilReady(std::chrono::seconds timeout);
    void handleLine(std::string_view line);
    bool readOutput(std::chrono::steady_clock::time_point deadline);
    void drainOutput() const;
    Exit waitForExit();
    void recordExit(int status);

    /** File name of the program, without its folder. */
    std::string m_name;
    pid_t m_pid = -1;
    int m_outputPipe = -1;
    std::string m_unprocessedOutput;
    bool m_isReady = false;
    std::map<std::string, std::string> m_addresses;
    std::optional<Exit> m_exit;
    /** Reads the output continuously, so that the process never blocks on a full pipe. */
    std::thread m_outputReader;
};

inline pid_t ChildProcess::pid() const
{
    return m_pid;
}

} // namespace bulrush::test
