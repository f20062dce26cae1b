#include "process/hostclock.h"

#include <ctime>

namespace bulrush::io {

Instant hostNow()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

} // namespace bulrush::io
