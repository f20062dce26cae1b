#pragma once

#include <asio/io_context.hpp>

namespace bulrush::standins {

/** Asks the kernel to send SIGTERM to this process when the thread that started it ends. */
void terminateWithParent();

/**
 * Prints the line "ready" and runs \a loop until SIGTERM or SIGINT arrives. Both signals are
 * already handled when the line is printed.
 */
void runUntilSignal(asio::io_context &loop);

} // namespace bulrush::standins
