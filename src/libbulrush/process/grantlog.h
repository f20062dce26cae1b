#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <map>
#include <optional>

namespace bulrush {

/**
 * Latest possible arrival of the last grant that this daemon sent to each server, as a hold starts
 * on arrival. A grant that found no connection did not arrive. One without an answer may have
 * arrived up to the end of its call.
 *
 * Not thread safe. Instants never decrease.
 */
class GrantLog
{
public:
    /** \a start is the start of this run of the daemon; calls end within \a maxCallDuration. */
    GrantLog(Instant start, Duration maxCallDuration);

    /** Records that a grant is being sent to \a server. Calls to one server do not overlap. */
    void recordSent(const ServerName &server, Instant now);

    /** Records the end of that call, and whether the grant may have arrived. */
    void recordResult(const ServerName &server, bool mayHaveArrived, Instant now);

    /**
     * \returns the minimum time since the last grant to \a server arrived; negative while one may
     * still arrive. Never longer than the time since the start, as an earlier run may have sent a
     * grant until then.
     */
    Duration lastAgo(const ServerName &server, Instant now) const;

private:
    struct Entry
    {
        /** Latest possible arrival. */
        std::optional<Instant> arrivedBy;
        std::optional<Instant> sentAt;
    };

    Instant m_start;
    Duration m_maxCallDuration;
    std::map<ServerName, Entry> m_entries;
};

} // namespace bulrush
