#pragma once

#include "admission/returnadvice.h"
#include "process/clock.h"
#include "relaymessage.h"
#include "version/routetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** Reasons for refusals, as they are logged. Those of RequestQueue have names of their own. */
namespace refusal {

/** The owner of the key can't serve all requests for it; the planner told what part it can. */
constexpr std::string_view keyTooHot = "key-too-hot";
/** The owner of the key can't serve all requests for its keys. */
constexpr std::string_view ownerTooBusy = "owner-too-busy";
/** The caller sends more than its fair share while its service is short of capacity. */
constexpr std::string_view callerOverShare = "caller-over-share";
/** The server did not run the request. */
constexpr std::string_view serverRefused = "server-refused";
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

/** The circumstances of a refusal. */
struct RefusalCircumstances
{
    /** Null if no configuration is known. */
    const RouteTable *routes = nullptr;
    /** Null if the request was refused before its route was found. */
    const Route *route = nullptr;
    ServiceName service;
    /** The caller's own deadline, from the arrival of the request; not set if it stated none. */
    std::optional<Duration> deadline;
    /** Since the arrival of the request. */
    Duration elapsed{};
    /** Time after which capacity is expected; zero if it is unknown. */
    Duration availableIn{};
    /** Hash of the request's ID. */
    std::uint64_t hash = 0;
    /** The last report of the key's owner says that it has room. */
    bool hasOwnerRoom = false;
};

/** \returns what decides when a caller returns that is refused for \a reason. Thread safe. */
RefusedRequest refusedRequest(std::string_view reason, const RefusalCircumstances &circumstances);

/** \returns whether a refusal for \a reason shows that the service lacks capacity. Thread safe. */
bool isForLackOfCapacity(std::string_view reason);

/** \returns what \a reason says about the time at which the request can be served. Thread safe. */
RefusalCause refusalCauseOf(std::string_view reason);

/** \returns the seconds after which the caller of \a refused is to return. Thread safe. */
std::string retryAfterText(const RefusedRequest &refused);

} // namespace bulrush
