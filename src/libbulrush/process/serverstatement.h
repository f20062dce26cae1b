#pragma once

#include "process/clock.h"
#include "process/serverlimit.h"
#include "process/serverload.h"

#include <optional>
#include <string>
#include <variant>

namespace bulrush {

/** An answer that asks for no pause. */
struct NoBackoff
{
    bool operator==(const NoBackoff &) const = default;
};

/** A refusal whose server wants no requests from this daemon for a time. */
struct Backoff
{
    Duration duration{};

    bool operator==(const Backoff &) const = default;
};

/** A refusal that names a time which is not a number of seconds from 0. */
struct UnreadableBackoff
{
    std::string text;

    bool operator==(const UnreadableBackoff &) const = default;
};

/** What one answer of a backend server states about a pause. */
using BackoffStatement = std::variant<NoBackoff, Backoff, UnreadableBackoff>;

/** What one answer of a backend server states about the server and its handling of the request. */
struct ServerStatement
{
    /** The server did not run the request. */
    bool isNotRun = false;
    /** Another server has the address, so the one that the request was addressed to has stopped. */
    bool isReplaced = false;
    /** The server is about to stop. */
    bool isLeaving = false;
    /** Nothing if it is missing or malformed. */
    std::optional<ServerLoad> load;
    LimitStatement limit;
    BackoffStatement backoff;
};

} // namespace bulrush
