#pragma once

#include "process/shareallocator.h"
#include "version/identifier.h"

#include <vector>

namespace bulrush {

/** What a daemon tells of one limit of an organisation when it asks for a share of it. */
struct LimitDemand
{
    ShareDemand demand;
    /** The share that it acts by now, whichever steward gave it. */
    double held = 0.0;
};

/** What a daemon tells of one organisation. */
struct OrganisationDemand
{
    OrganisationName organisation;
    /** In requests a second. */
    LimitDemand rate;
    /** In requests at once. */
    LimitDemand concurrency;
};

/** A daemon asks the steward of its failure domain for shares of all organisations' limits. */
struct ShareRequest
{
    Incarnation incarnation;
    std::vector<OrganisationDemand> organisations;
};

/** A daemon's new shares of one organisation's limits. */
struct OrganisationGrant
{
    OrganisationName organisation;
    ShareGrant rate;
    ShareGrant concurrency;
};

/** A steward's answer; it leaves out organisations whose contract it doesn't know yet. */
struct ShareReply
{
    /** False while the steward can only confirm what daemons hold from its predecessor. */
    bool isSettled = false;
    std::vector<OrganisationGrant> organisations;
};

} // namespace bulrush
