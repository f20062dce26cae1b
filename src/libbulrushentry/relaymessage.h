#pragma once

#include "connection/httpclient.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** What a daemon states with a request that it relays. */
struct RelayTerms
{
    /** The host of that daemon. */
    HostName from;
    /** The version of the configuration by which it admitted the request. */
    std::uint64_t configVersion = 0;
};

/** What became of a relayed request, as the daemon that relayed it states with its answer. */
enum class RelayOutcome {
    Answered,    ///< the answer is the server's own
    NotRun,      ///< refused; another daemon would not do better
    Denied,      ///< not run: its server can't be reached from that daemon
    CutOff,      ///< not run: no server can be reached from that daemon
    Unavailable, ///< not run: that daemon can't handle it now
    Unknown,     ///< it may have run
    Rejected,    ///< invalid by that daemon's configuration
};

/** The outcome of a relayed request and its reason, as for log lines. */
struct RelayStatement
{
    RelayOutcome outcome = RelayOutcome::Unknown;
    std::string reason;
    /** The server that gave the answer; empty if none did. */
    ServerName server = {};
    /** The id of the request. */
    std::string request = {};
};

/** \returns whether \a outcome states that no server has run the request or will. Thread safe. */
bool statesNotRun(RelayOutcome outcome);

/** \returns the name of \a outcome in messages and logs. Thread safe. */
std::string_view nameOf(RelayOutcome outcome);

/** Adds \a terms to the \a headers of a request. Thread safe. */
void addRelayTerms(std::vector<io::HttpHeader> &headers, const RelayTerms &terms);

/** \returns the terms in the \a headers of a request, or nothing if they are invalid. Thread safe.
 */
std::optional<RelayTerms> relayTerms(std::span<const io::HttpHeader> headers);

/** Adds \a statement to the \a headers of an answer. Thread safe. */
void addRelayStatement(std::vector<io::HttpHeader> &headers, const RelayStatement &statement);

/** \returns the statement in the \a headers of an answer, or nothing if it is invalid. Thread safe.
 */
std::optional<RelayStatement> relayStatement(std::span<const io::HttpHeader> headers);

/** Removes from \a headers all fields that only daemons use. Thread safe. */
void removeRelayFields(std::vector<io::HttpHeader> &headers);

} // namespace bulrush
