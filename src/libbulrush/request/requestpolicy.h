#pragma once

#include "process/clock.h"

namespace bulrush {

/** Order in which requests are shed under overload. */
enum class RequestClass {
    Ordinary, ///< shed first
    Priority, ///< shed only if no ordinary requests are left to shed
};

/** Properties of a request that the contract defines and that affect its handling. */
struct RequestPolicy
{
    RequestClass requestClass = RequestClass::Ordinary;
    /** Whether the request may safely be executed more than once. */
    bool isIdempotent = false;
    /** After this instant an answer is of no use to the caller. */
    Instant deadline;
};

} // namespace bulrush
