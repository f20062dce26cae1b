#include "http/program.h"

#include <asio/signal_set.hpp>
#include <sys/prctl.h>

#include <csignal>
#include <iostream>

namespace bulrush::standins {

void terminateWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
}

void runUntilSignal(asio::io_context &loop)
{
    asio::signal_set signals{loop, SIGTERM, SIGINT};
    signals.async_wait([&loop](asio::error_code, int) { loop.stop(); });
    std::cout << "ready" << std::endl;
    loop.run();
}

} // namespace bulrush::standins
