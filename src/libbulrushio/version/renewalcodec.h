#pragma once

#include "process/erarecovery.h"
#include "process/knownassignments.h"
#include "process/renewerregistry.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** A planner's query to a daemon about the grants of a service. */
struct RenewalQuery
{
    ServiceName service;
    /**
     * Sent only to a daemon that uses an earlier assignment. An assignment of 500 ranges takes
     * 30 KB, which would otherwise go to 195 daemons every 0.7 s while the keys of a lost server
     * have no owner.
     */
    std::optional<KeyAssignment> assignment;
    /** Version of the assignment's row. */
    StoreVersion version;
    std::vector<ServerName> servers;
};

/** \returns \a question encoded as JSON text. Thread safe. */
std::string encodeRenewalQuery(const RenewalQuery &question);

/** \returns the query in \a text, or nothing if it is invalid. Thread safe. */
std::optional<RenewalQuery> decodeRenewalQuery(std::string_view text);

/** \returns \a answer encoded as JSON text. Thread safe. */
std::string encodeRenewalAnswer(const RenewerAnswer &answer);

/** \returns the answer in \a text, or nothing if it is invalid. Thread safe. */
std::optional<RenewerAnswer> decodeRenewalAnswer(std::string_view text);

/** \returns \a known encoded as JSON text, a planner's query for later ones. Thread safe. */
std::string encodeSequences(const AssignmentSequences &known);

/** \returns the sequences in \a text, or nothing if it is invalid. Thread safe. */
std::optional<AssignmentSequences> decodeSequences(std::string_view text);

/** \returns \a remembered encoded as JSON text. Thread safe. */
std::string encodeRememberedAssignments(const RememberedAssignments &remembered);

/** \returns the assignments in \a text, or nothing if it is invalid. Thread safe. */
std::optional<RememberedAssignments> decodeRememberedAssignments(std::string_view text);

/** \returns \a row encoded as JSON text. Thread safe. */
std::string encodeDaemonRow(const DaemonRow &row);

/** \returns the row of a daemon in \a text, or nothing if it is invalid. Thread safe. */
std::optional<DaemonRow> decodeDaemonRow(std::string_view text);

} // namespace bulrush::io
