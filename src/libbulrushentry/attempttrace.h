#pragma once

#include "connection/servercall.h"
#include "process/clock.h"
#include "process/serverdirectory.h"
#include "request/serverpicker.h"

#include <optional>
#include <string>

namespace bulrush {

/**
 * The age of the routing data by which the server of one attempt was chosen, and the steps of the
 * attempt, which are logged if the server may have left by that data.
 *
 * Not thread safe.
 */
class AttemptTrace
{
public:
    /** Begins a trace of an attempt that is sent at \a sentAt to \a server, null if unknown. */
    void begin(const ServerPicker &picker, const KnownServer *server, Instant sentAt);

    /** \returns the age of the routing data when the server was chosen. */
    Duration routingDataAge() const;

    /** Logs \a times of the attempt if its server may have left. To be called at its end. */
    void log(const std::string &request, const ServerName &server, const io::CallTimes &times);

private:
    Instant m_sentAt;
    Duration m_routingDataAge{};
    /** The last instant at which the chosen server was known not to drain, if it drains. */
    std::optional<Instant> m_drainsAfter;
    bool m_isLogged = false;
};

inline Duration AttemptTrace::routingDataAge() const
{
    return m_routingDataAge;
}

} // namespace bulrush
