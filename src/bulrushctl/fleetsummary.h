#pragma once

#include "daemonaccess.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/**
 * \returns the problems that need an operator, one line each; empty in normal operation. Failures
 * that the system repairs automatically are not included, unless hosts contradict each other or do
 * not answer. Thread safe.
 */
std::vector<std::string> operatorIssues(const FleetStatus &fleet);

/**
 * \returns an overview of the complete system: hosts, domain leaders, assignments, servers,
 * contracts, counters, and the problems that need an operator. Thread safe.
 */
std::string summaryText(const FleetStatus &fleet);

/** \returns the overview as JSON, for programs. Thread safe. */
Json::Value summaryJson(const FleetStatus &fleet);

} // namespace bulrush::ctl
