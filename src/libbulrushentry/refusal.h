#pragma once

#include "process/clock.h"
#include "relaymessage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrush {

/** Reasons for refusals, as they are logged. Those of RequestQueue have names of their own. */
namespace refusal {

/** The server takes no more requests now. */
constexpr std::string_view limited = "server-limited";
/** The server asked for a pause. */
constexpr std::string_view backingOff = "server-backoff";
/** The server could not be connected to. */
constexpr std::string_view unreachable = "server-unreachable";
/** A probe is finding out whether the request crashes servers. */
constexpr std::string_view mayCrash = "may-crash-servers";
/** Reasons for which another daemon may be able to handle the request. */
constexpr std::string_view shuttingDown = "shutting-down";
constexpr std::string_view noConfig = "no-configuration";
constexpr std::string_view outdatedConfig = "configuration-behind";
constexpr std::string_view relayLimit = "relay-limit";

} // namespace refusal

/**
 * \returns what a refusal for \a reason means to the daemon that relays the request. \a
 * isOutOfReach tells whether this daemon reaches no server. Thread safe.
 */
RelayOutcome relayOutcomeOf(std::string_view reason, bool isOutOfReach);

/**
 * \returns the seconds after which a refused caller is to retry, as text: at least \a earliest, and
 * spread by \a hash so that not all callers return at once. Thread safe.
 */
std::string retryAfterText(std::uint64_t hash, Duration earliest);

} // namespace bulrush
