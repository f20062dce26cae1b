#pragma once

#include "version/keyloads.h"
#include "version/priorityloads.h"

#include <vector>

namespace bulrush {

/** Request rates of a service, as input of ServiceAdmission. */
struct AdmissionTraffic
{
    /** Rates of all requests, as they are used to assign keys. */
    KeyTraffic all;
    /** Rates over a shorter period; empty if the requests have only one priority. */
    KeyTraffic recent = {};
    /** Most urgent first; empty if the requests have only one priority. */
    std::vector<PriorityCounts> byPriority = {};
};

} // namespace bulrush
