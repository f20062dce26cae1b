#pragma once

#include "version/identifier.h"

namespace bulrush {

/** An entry daemon by its host and failure domain. */
struct DaemonPlace
{
    HostName host;
    DomainName domain;

    bool operator==(const DaemonPlace &) const = default;
};

} // namespace bulrush
