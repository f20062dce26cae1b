#pragma once

#include "process/shareallocator.h"
#include "version/identifier.h"

#include <vector>

namespace bulrush {

/** A daemon's demand for a share of one limit of an organisation. */
struct LimitDemand
{
    ShareDemand demand;
    /** The share that it applies now, by whichever leader it was issued. */
    double held = 0.0;
};

/** A daemon's demands for one organisation. */
struct OrganisationDemand
{
    OrganisationName organisation;
    /** In requests per second. */
    LimitDemand rate;
    /** In concurrent requests. */
    LimitDemand concurrency;
};

/** A daemon's request to its domain leader for shares of all organisations' limits. */
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

/** A leader's answer; it omits organisations whose contract the leader does not have yet. */
struct ShareReply
{
    /** False while the leader can only confirm what daemons hold from its predecessor. */
    bool isSettled = false;
    std::vector<OrganisationGrant> organisations;
};

} // namespace bulrush
