#pragma once

#include "process/clock.h"
#include "process/crashrecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/**
 * Which requests were under way at a server that has ended. A connection that breaks is no end of
 * its server: it may be a cut, a reset or an answer that was lost. So requests that broke, or were
 * given up there, are remembered for a while, and reported if the server turns out to have ended.
 *
 * Not thread safe. Instants never go back.
 */
class CrashWatch
{
public:
    /**
     * How long a request is remembered that got no answer: a server that reaches nobody is taken
     * for gone after three heartbeats, some 4.5 s.
     */
    static constexpr Duration memory = std::chrono::seconds{6};
    /** How long an end is remembered, for requests whose break is noticed after it. */
    static constexpr Duration endMemory = std::chrono::seconds{30};
    /** Requests that are remembered of one server: more than its slots and its queue hold. */
    static constexpr std::size_t mostOfServer = 16;
    /** A server is connected to again after this, to see whether it has ended. */
    static constexpr Duration lookAgain = std::chrono::seconds{1};

    /** How a request came to have no answer of a server that it was sent to. */
    enum class Loss {
        Broke,     ///< the connection ended
        Abandoned, ///< it was given up, as its time was over or its caller had left
    };

    /** Notes that a request got no answer. \returns a report if the server had ended already. */
    std::optional<CrashReport> lost(const CrashReport &report, Loss loss, Instant now);

    /** Notes that a server has ended. \returns what is to be reported. */
    std::vector<CrashReport> serverEnded(const ServerName &server, Instant now);

    /** Notes that \a server answered, so that it has not ended, whatever it looked like. */
    void serverAnswered(const ServerName &server);

    /**
     * \returns whether to look now if \a server still listens, and notes that it is looked:
     * requests broke there, and it was not looked just before.
     */
    bool takeLook(const ServerName &server, Instant now);

    /** \returns the servers that requests broke at. */
    std::vector<ServerName> doubted() const;

    /** Forgets what is too old. To be called now and then. */
    void forget(Instant now);

private:
    struct Entry
    {
        CrashReport report;
        Loss loss = Loss::Broke;
        Instant since;
    };

    std::map<ServerName, std::vector<Entry>> m_entries;
    std::map<ServerName, Instant> m_lookedAt;
    std::map<ServerName, Instant> m_ended;
};

} // namespace bulrush
