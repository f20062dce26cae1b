#pragma once

#include "connection/incomingrequest.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace bulrush::io {

/** Receives a complete body, which is valid only if the error is clear. */
using CompleteBodyHandler = std::function<void(std::error_code, const std::string &)>;

/**
 * Reads the complete body of \a request and passes it to \a handler, exactly once. If the body is
 * already buffered, the handler is called from within this function. For messages between daemons,
 * whose length is bounded. Must be called on the server's event loop.
 */
void readCompleteBody(const std::shared_ptr<IncomingRequest> &request, CompleteBodyHandler handler);

} // namespace bulrush::io
