#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <map>
#include <optional>

namespace bulrush {

/**
 * By when the last grant that this daemon sent to each server had come there, if it came: a hold
 * counts from there. One that found no connection did not come; one without an answer may have come
 * up to the end of its call.
 *
 * Not thread safe. Instants never go back.
 */
class GrantLog
{
public:
    /** \a start is the start of this run of the daemon; calls end within \a longestCall. */
    GrantLog(Instant start, Duration longestCall);

    /** Notes that a grant is being sent to \a server; calls to a server follow each other. */
    void sent(const ServerName &server, Instant now);

    /** Notes the end of that call, and whether the grant can have come there. */
    void ended(const ServerName &server, bool canHaveCome, Instant now);

    /**
     * \returns how long ago the last grant to \a server came there at the latest; negative while
     * one may still come. At most since the start, as an earlier run may have sent one until then.
     */
    Duration lastAgo(const ServerName &server, Instant now) const;

private:
    struct Entry
    {
        /** At the latest. */
        std::optional<Instant> came;
        std::optional<Instant> sentAt;
    };

    Instant m_start;
    Duration m_longestCall;
    std::map<ServerName, Entry> m_entries;
};

} // namespace bulrush
