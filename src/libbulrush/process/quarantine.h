#pragma once

#include "request/requestfingerprint.h"
#include "version/identifier.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace bulrush {

/** A request under which servers have ended, and that was not answered since. */
struct SuspectRequest
{
    /** The runs that ended. */
    std::vector<ServerName> servers;
    /** The request was sent to one of them after another of them was known to have ended. */
    bool isRepeated = false;

    /** \returns whether the request is kept from all servers. */
    bool isBlocked() const;
};

/**
 * The requests under which servers have ended, by what all daemons saw: those that crash servers
 * are kept from them, whoever sends them again and wherever.
 *
 * Made by the control thread, never changed, read by those that carry traffic.
 */
class Quarantine
{
public:
    /**
     * Servers that have to end under a request before it is blocked. One or two may end for another
     * reason while a request is there.
     */
    static constexpr std::size_t blockingCrashes = 3;

    using Suspects = std::map<RequestFingerprint, SuspectRequest>;

    Quarantine() = default;
    /** \a leftToOthers are those that another daemon is to try. */
    explicit Quarantine(Suspects suspects, std::set<RequestFingerprint> leftToOthers = {});

    /** \returns whether \a request is to be refused. Thread safe. */
    bool blocks(const RequestFingerprint &request) const;

    /** \returns whether another daemon is to find out if \a request crashes servers. Thread safe.
     */
    bool isLeftToOthers(const RequestFingerprint &request) const;

    /**
     * \returns the runs that ended under \a request, which was not answered since. Valid as long as
     * this object. Thread safe.
     */
    std::span<const ServerName> endedUnder(const RequestFingerprint &request) const;

    /** \returns all suspects. Valid as long as this object. Thread safe. */
    const Suspects &requests() const;

private:
    Suspects m_suspects;
    std::set<RequestFingerprint> m_leftToOthers;
};

inline const Quarantine::Suspects &Quarantine::requests() const
{
    return m_suspects;
}

} // namespace bulrush
