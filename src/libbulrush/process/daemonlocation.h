#pragma once

#include "version/identifier.h"

namespace bulrush {

/** An entry daemon by its host and failure domain. */
struct DaemonLocation
{
    HostName host;
    DomainName domain;

    bool operator==(const DaemonLocation &) const = default;
};

} // namespace bulrush
