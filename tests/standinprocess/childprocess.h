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
 * One of the project's own programs, run as a process of its own. The process is killed with the
 * object. Not thread safe.
 */
class ChildProcess
{
public:
    /** How a process ended. */
    struct Exit
    {
        /** The exit code, if it ended by itself. */
        std::optional<int> code;
        /** The signal that ended it, if one did. */
        std::optional<int> signal;
    };

    /**
     * Starts \a program, a path, and waits until it prints the line "ready". On the way, lines
     * "listening [NAME] IP:PORT" are noted. Throws std::runtime_error if the process can't be
     * started, or ends or stays silent for \a limit before it is ready.
     */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 std::chrono::seconds limit = std::chrono::seconds{20});
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const;

    /**
     * \returns `IP:PORT` of the listener \a name; a listener without a name has the empty one.
     * Throws std::out_of_range if the process printed none.
     */
    const std::string &address(const std::string &name = "") const;

    /** Freezes the process, as if its host had paused it, and returns once it stands still. */
    void stop();

    /** Lets a frozen process go on. */
    void resume();

    /** Kills the process and waits for its end. */
    Exit kill();

    /**
     * Asks the process to end and waits. Kills it if that takes longer than \a limit, which then
     * shows in the result.
     */
    Exit terminate(std::chrono::seconds limit = std::chrono::seconds{20});

    /** \returns whether the process has not ended yet. */
    bool isRunning();

private:
    void spawn(const std::string &program, const std::vector<std::string> &arguments);
    void awaitReady(std::chrono::seconds limit);
    void noteLine(std::string_view line);
    bool readMore(std::chrono::steady_clock::time_point limit);
    void drainOutput() const;
    Exit waitForEnd();
    void note(int status);

    /** Of the program, without its folder. */
    std::string m_name;
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_unread;
    bool m_isReady = false;
    std::map<std::string, std::string> m_addresses;
    std::optional<Exit> m_exit;
    /** Reads on, so that a process that prints is never blocked by a full pipe. */
    std::thread m_drain;
};

inline pid_t ChildProcess::pid() const
{
    return m_pid;
}

} // namespace bulrush::test
