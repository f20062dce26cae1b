#pragma once

#include "process/clock.h"
#include "process/permit.h"
#include "process/serverlimits.h"

#include <cstddef>
#include <optional>

namespace bulrush {

/**
 * The permission of one request to be sent to a server that names a limit; at most one at a time.
 *
 * Not thread safe.
 */
class RequestPermit
{
public:
    /** A permit may be used for this long; the request may have to wait for a connection. */
    static constexpr Duration validity = std::chrono::milliseconds{300};

    /** Records a permit for \a server that may be used from \a validFrom on. */
    void grant(const ServerName &server, Instant validFrom);

    void reset();

    /** \returns whether the permit allows to send to \a server at \a now. */
    bool allows(const ServerName &server, Instant now) const;

    /** \returns the instant until which the permit allows to send to \a server, if it does. */
    std::optional<Instant> validUntil(const ServerName &server) const;

    /** \returns the server of the permit; empty if there is none. */
    const ServerName &server() const;

private:
    ServerName m_server;
    Instant m_validFrom;
};

inline const ServerName &RequestPermit::server() const
{
    return m_server;
}

/**
 * \returns how long a daemon queries no further permit for a server with \a limit after one was
 * refused: the mean time between two of its permits if all \a daemonCount daemons have equal parts,
 * at most ten seconds. Thread safe.
 */
Duration permitPause(const KnownLimit &limit, std::size_t daemonCount);

} // namespace bulrush
