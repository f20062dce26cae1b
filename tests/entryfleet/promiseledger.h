#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/**
 * Joins the answers that callers got with the requests that servers began to run, by request id.
 * Servers append each run to a file of their own before it begins, so that the runs of servers that
 * crashed or were killed count too.
 */
class PromiseLedger
{
public:
    /** Creates \a folder for the files of the servers. */
    explicit PromiseLedger(std::string folder);

    /**
     * \returns the file to which the server \a id, in all its lives, appends a line with the id and
     * the path of each request that it begins to run. Thread safe.
     */
    std::string runFile(const std::string &id) const;

    /** \returns whether \a status promises that the request did not run. Thread safe. */
    static bool isPromise(int status);

    /** Records that the caller of \a request got \a status. Thread safe. */
    void recordAnswer(const std::string &request, int status);

    /** \returns how many answers promised that their request did not run. Thread safe. */
    std::size_t promiseCount() const;

    /**
     * \returns a text for each request that was answered with 408, 421, 429 or 503 and was begun by
     * a server. Thread safe.
     */
    std::vector<std::string> brokenPromises() const;

    /**
     * \returns a text for each request whose path begins with one of \a prefixes and that was begun
     * more than once. Thread safe.
     */
    std::vector<std::string> repeatedRuns(const std::vector<std::string> &prefixes) const;

private:
    struct Run
    {
        std::string server;
        std::string path;
    };

    /** \returns the runs of each request in all files. */
    std::map<std::string, std::vector<Run>> runs() const;

    static std::string serversOf(const std::vector<Run> &runs);

    std::string m_folder;
    mutable std::mutex m_mutex;
    std::map<std::string, std::set<int>> m_answers;
};

} // namespace bulrush::test
