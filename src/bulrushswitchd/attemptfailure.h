#pragma once

#include "connection/proxyexchange.h"
#include "request/outcome.h"

#include <optional>

namespace bulrush {

/**
 * \returns where an exchange failed, or nothing if its complete answer was sent to the caller.
 * Thread safe.
 */
std::optional<FailurePoint> failurePointOf(const io::ExchangeResult &end);

} // namespace bulrush
